package estimator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/pacer"
	"marigoldhill/router/estimator"
)

// rate is the rate of the link in these tests: 100 bytes per millisecond.
const rate = 100e3

// newEstimator returns an Estimator that has seen an answer of each route: 100 bytes of
// tiny, 2,000 of small and 32 KiB of large, the last of them long ago.
func newEstimator() *estimator.Estimator {
	estimates := estimator.New(rate)
	estimates.Record(0, "tiny", 100)
	estimates.Record(0, "small", 2000)
	estimates.Record(0, "large", 32<<10)
	return estimates
}

// Guards against refusals for an empty link, and against answers that are expected earlier
// than the link can send what is ahead of them.
func TestDelay(t *testing.T) {
	tests := []struct {
		name    string
		load    pacer.Load
		running []string
		// waiting lists requests that wait, by rank.
		waiting map[int]string
		answer  estimator.Answer
		want    time.Duration
	}{
		{name: "idle link", answer: estimator.Answer{Route: "small"}},
		{name: "idle link, unknown size", answer: estimator.Answer{Route: "new"}},
		{name: "idle link, large answer", answer: estimator.Answer{Route: "large"}},
		{name: "backlog is sent during the run", load: pacer.Load{Backlog: 50 * ms}, answer: estimator.Answer{Route: "small", After: 50 * ms}},
		{name: "backlog", load: pacer.Load{Backlog: 80 * ms}, answer: estimator.Answer{Route: "small", After: 50 * ms}, want: 50 * ms},
		{name: "running requests", running: []string{"small", "small"}, answer: estimator.Answer{Route: "small", After: 30 * ms}, want: 30 * ms},
		{name: "running request of unknown size", running: []string{"new"}, answer: estimator.Answer{Route: "tiny"}, want: 41*ms + 960*time.Microsecond},
		{name: "large answers give way to small ones", running: []string{"large"}, answer: estimator.Answer{Route: "tiny"}, want: 82*ms + 920*time.Microsecond},
		{name: "large answers compete", running: []string{"large"}, answer: estimator.Answer{Route: "large"}, want: 409*ms + 600*time.Microsecond},
		{name: "chunks that wait don't delay small answers", load: pacer.Load{Waiting: 8 << 10}, answer: estimator.Answer{Route: "small"}},
		{name: "chunks that wait delay large answers", load: pacer.Load{Waiting: 8 << 10}, answer: estimator.Answer{Route: "large"}, want: 245*ms + 760*time.Microsecond},
		{name: "waiting requests", waiting: map[int]string{1: "small", 2: "small"}, answer: estimator.Answer{Route: "small", Rank: 2, Queued: true}, want: 60 * ms},
		{name: "less urgent requests that wait", waiting: map[int]string{2: "small"}, answer: estimator.Answer{Route: "small", Rank: 1, Queued: true}},
		{name: "request that starts", waiting: map[int]string{1: "small"}, answer: estimator.Answer{Route: "small", Rank: 1}},
	}
	for _, test := range tests {
		estimates := newEstimator()
		for _, route := range test.running {
			estimates.Start(route)
		}
		for rank, route := range test.waiting {
			estimates.Wait(rank, route)
		}
		delay := estimates.Delay(time.Minute, test.load, test.answer)
		qt.Check(t, delay.Round(10*time.Microsecond), qt.Equals, test.want, qt.Commentf(test.name))
		for _, route := range test.running {
			estimates.End(route)
		}
		for rank, route := range test.waiting {
			estimates.Leave(rank, route)
		}
		test.load.Backlog, test.load.Waiting = 0, 0
		qt.Check(t, estimates.Delay(time.Minute, test.load, test.answer), qt.Equals, time.Duration(0), qt.Commentf("%s, afterwards", test.name))
	}
}

// The answers of more urgent requests that are expected meanwhile are sent first.
func TestUrgentAnswersCount(t *testing.T) {
	estimates := newEstimator()
	for n := range 25 {
		estimates.Arrive(time.Duration(n)*40*ms, 1, "small")
	}
	load := pacer.Load{Backlog: 100 * ms}
	urgent := estimates.Delay(time.Second, load, estimator.Answer{Route: "small", Rank: 1})
	other := estimates.Delay(time.Second, load, estimator.Answer{Route: "small", Rank: 2})
	qt.Assert(t, urgent, qt.Equals, 120*ms)
	// 25 answers of 2,000 bytes per second are half of the rate, of which 0.63 are counted
	// after one second.
	qt.Assert(t, other > 165*ms && other < 180*ms, qt.IsTrue, qt.Commentf("%s", other))
}

// The mean size follows the answers with a weight of a tenth; downloads count at most as
// the largest answers that are sent after their request has run.
func TestSize(t *testing.T) {
	estimates := estimator.New(rate)
	qt.Assert(t, estimates.Size("a"), qt.Equals, 4096.0)
	estimates.Record(0, "a", 1000)
	qt.Assert(t, estimates.Size("a"), qt.Equals, 1000.0)
	estimates.Record(0, "a", 2000)
	qt.Assert(t, estimates.Size("a"), qt.Equals, 1100.0)
	estimates.Record(0, "b", 10<<20)
	qt.Assert(t, estimates.Size("b"), qt.Equals, 65536.0)
	estimates.Start("a")
	estimates.Start("a")
	qt.Assert(t, estimates.Expected(), qt.Equals, int64(2200))
}

// Guards against entry routers and the leader that take a VM with a full link for one with
// room, or a VM with room for a full one. Large writes give way, so a download alone takes
// nothing from the answers.
func TestLimit(t *testing.T) {
	tests := []struct {
		name string
		// answers and others are bytes per second, paced those of a download.
		answers, others, paced int
		load                   pacer.Load
		running                int
		limit                  float64
		wait                   time.Duration
	}{
		{name: "60%", answers: 60e3},
		{name: "90%", answers: 90e3, limit: 50},
		{name: "other answers take a part", answers: 60e3, others: 30e3, limit: 35},
		{name: "download", answers: 20e3, paced: 70e3, limit: 50},
		{name: "backlog", answers: 100e3, load: pacer.Load{Backlog: 300 * ms}, running: 2, limit: 50, wait: 290 * ms},
	}
	for _, test := range tests {
		estimates := estimator.New(rate)
		var load pacer.Load
		answered := 0
		for now := time.Duration(0); now < 10*time.Second; now += 100 * ms {
			for ; float64(answered) < float64(test.answers)*now.Seconds(); answered += 2000 {
				estimates.Record(now, "small", 2000)
			}
			load.Written += uint64(test.answers+test.others+test.paced) / 10
			load.Paced += uint64(test.paced) / 10
			estimates.Observe(now, load)
		}
		for range test.running {
			estimates.Start("small")
		}
		limit, wait := estimates.Limit(10*time.Second, test.load, 50*ms)
		qt.Check(t, limit >= 0.9*test.limit && limit <= 1.1*test.limit, qt.IsTrue, qt.Commentf("%s: %v", test.name, limit))
		qt.Check(t, wait, qt.Equals, test.wait, qt.Commentf(test.name))
	}
}

// Guards against answers that are expected too early because the answers of other servers,
// which the entry router of the VM passes on, use the link while the request runs.
func TestOtherAnswersCount(t *testing.T) {
	estimates := newEstimator()
	var load pacer.Load
	for n := range 100 {
		load.Written += 5000
		estimates.Observe(time.Duration(n)*100*ms, load)
	}
	load.Backlog = 100 * ms
	answer := estimator.Answer{Route: "small", After: 50 * ms}
	// Half of the link is left to drain the backlog; the answer itself takes 20 ms.
	delay := estimates.Delay(10*time.Second, load, answer)
	qt.Assert(t, delay > 93*ms && delay < 97*ms, qt.IsTrue, qt.Commentf("%s", delay))
}
