package queuer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/queuer"
)

// Guards against a start that the bound of a cold server does not allow, against one that
// waits longer than it must, and against a wrong wait for a job that has others ahead.
func TestColdWindow(t *testing.T) {
	const started = 10 * time.Second
	tests := []struct {
		name string
		most int
		// starts are the times of earlier starts, relative to started.
		starts []time.Duration
		now    time.Duration
		// waiting is the number of jobs that wait already.
		waiting int
		want    time.Duration
	}{
		{name: "no bound", starts: []time.Duration{0, 0, 0}},
		{name: "free", most: 3, starts: []time.Duration{0, 0}},
		{name: "full", most: 3, starts: []time.Duration{0, 100 * ms, 200 * ms}, now: 300 * ms, want: 700 * ms},
		{name: "a start counts for just under a second", most: 1, starts: []time.Duration{0}, now: 999 * ms, want: ms},
		{name: "free after a second", most: 1, starts: []time.Duration{0}, now: 1000 * ms},
		{name: "more than allowed while warm", most: 2, starts: []time.Duration{0, 100 * ms, 200 * ms, 300 * ms}, now: 400 * ms, want: 800 * ms},
		{name: "others ahead", most: 3, starts: []time.Duration{0, 100 * ms, 200 * ms}, now: 300 * ms, waiting: 2, want: 900 * ms},
		{name: "more ahead than allowed per second", most: 2, starts: []time.Duration{0, 100 * ms}, now: 300 * ms, waiting: 3, want: 1800 * ms},
	}
	for _, test := range tests {
		queue := queuer.NewQueue(100)
		offer := func(now time.Duration) {
			entry, refusal := queue.Offer(now, queuer.Job{Kind: "a", Aim: now + time.Hour, Deadline: now + time.Hour})
			qt.Assert(t, refusal, qt.IsNil, qt.Commentf(test.name))
			if entry.IsRunning() {
				queue.Send(now, entry)
			}
		}
		for _, at := range test.starts {
			offer(started + at)
		}
		queue.SetCold(test.most)
		for range test.waiting {
			offer(started + test.now)
		}
		qt.Check(t, queue.LimitWait(started+test.now), qt.Equals, test.want, qt.Commentf(test.name))
	}
}

// A new process does not know what its predecessor sent within the last second.
func TestColdWindowIsFullAtStart(t *testing.T) {
	queue := queuer.NewQueue(6)
	queue.SetCold(3)
	qt.Check(t, queue.LimitWait(0), qt.Equals, time.Second)
	qt.Check(t, queue.LimitWait(400*ms), qt.Equals, 600*ms)
	qt.Check(t, queue.LimitWait(time.Second), qt.Equals, time.Duration(0))
	_, refusal := queue.Offer(0, queuer.Job{Kind: "a", Aim: 500 * ms, Deadline: 2 * time.Second})
	qt.Assert(t, refusal, qt.Not(qt.IsNil))
	qt.Check(t, refusal.Reason, qt.Equals, messenger.ReasonLimit)
	qt.Check(t, refusal.Cold, qt.IsTrue)
	qt.Check(t, refusal.RetryAfter, qt.Equals, 600*ms)
}

// Guards against one of the two limits hiding the other one.
func TestTighterLimitDecides(t *testing.T) {
	tests := []struct {
		name  string
		named float64
		most  int
		limit float64
		cold  bool
	}{
		{name: "none"},
		{name: "named only", named: 4, limit: 4},
		{name: "cold only", most: 3, limit: 3, cold: true},
		{name: "cold is tighter", named: 40, most: 3, limit: 3, cold: true},
		{name: "named is tighter", named: 2, most: 30, limit: 2},
	}
	for _, test := range tests {
		queue := queuer.NewQueue(100)
		now := 5 * time.Second
		queue.SetLimit(now, test.named)
		queue.SetCold(test.most)
		qt.Check(t, queue.Limit(), qt.Equals, test.limit, qt.Commentf(test.name))
		var refusal *queuer.Refusal
		for n := 0; n < 50 && refusal == nil; n++ {
			_, refusal = queue.Offer(now, queuer.Job{Kind: "a", Aim: now + 300*ms, Deadline: now + time.Second})
		}
		if test.limit == 0 {
			qt.Check(t, refusal, qt.IsNil, qt.Commentf(test.name))
			continue
		}
		qt.Assert(t, refusal, qt.Not(qt.IsNil), qt.Commentf(test.name))
		qt.Check(t, refusal.Reason, qt.Equals, messenger.ReasonLimit, qt.Commentf(test.name))
		qt.Check(t, refusal.Cold, qt.Equals, test.cold, qt.Commentf(test.name))
	}
}

// windowRun is a server, as it sees its requests, and the owner in front of it.
type windowRun struct {
	random *rand.Rand
	most   int
	queue  *queuer.Queue
	// born is when the process of the owner started.
	born time.Duration
	// arrivals are the times of requests that arrived while the server was cold.
	arrivals []time.Duration
	coldFrom time.Duration
	// sends and ends are what happens to the jobs that run.
	sends, ends []planned
}

// planned is what happens to a job at a time.
type planned struct {
	entry *queuer.Entry
	at    time.Duration
}

// due removes and returns the plans for times up to now.
func due(plans *[]planned, now time.Duration) []*queuer.Entry {
	var entries []*queuer.Entry
	*plans = slices.DeleteFunc(*plans, func(p planned) bool {
		if p.at <= now {
			entries = append(entries, p.entry)
		}
		return p.at <= now
	})
	return entries
}

func (r *windowRun) restart(now time.Duration) {
	r.queue, r.born = queuer.NewQueue(13), now
	r.queue.SetCold(r.most)
	// What had not been sent is lost with the process.
	r.sends, r.ends = nil, nil
}

// begin plans when the started jobs are sent and when they end.
func (r *windowRun) begin(now time.Duration, started ...*queuer.Entry) {
	for _, entry := range started {
		delay := time.Duration(0)
		if r.random.IntN(10) == 0 {
			delay = time.Duration(r.random.IntN(300)) * ms
		}
		r.sends = append(r.sends, planned{entry, now + delay})
	}
}

// step runs one millisecond.
func (r *windowRun) step(now time.Duration) {
	local := now - r.born
	for _, entry := range due(&r.sends, now) {
		if r.random.IntN(50) == 0 {
			// The owner released it without sending it.
			r.begin(now, r.queue.Done(local, entry, false)...)
			continue
		}
		r.queue.Send(local, entry)
		r.ends = append(r.ends, planned{entry, now + time.Duration(80+r.random.IntN(160))*ms})
		if now >= r.coldFrom {
			r.arrivals = append(r.arrivals, now)
		}
	}
	for _, entry := range due(&r.ends, now) {
		r.begin(now, r.queue.Done(local, entry, true)...)
	}
	r.begin(now, r.queue.StartWaiting(local)...)
	for range r.random.IntN(2) * r.random.IntN(3) {
		entry, refusal := r.queue.Offer(local, queuer.Job{Kind: "a", Aim: local + 400*ms, Deadline: local + 2500*ms})
		if refusal == nil && entry.IsRunning() {
			r.begin(now, entry)
		}
	}
	r.queue.RemoveLate(local)
}

// A cold server crashes above its rate. The owner is restarted at random, learns late that
// the server has become cold, and sends some requests long after it started them. No
// second may have more requests than the bound, as the server sees them.
func TestNoWindowAboveColdBound(t *testing.T) {
	const (
		overage = 1.5
		slack   = 8
	)
	for _, rate := range []float64{15, 8.1, 0.4} {
		for seed := range uint64(30) {
			t.Run(fmt.Sprintf("rate=%v/seed=%d", rate, seed), func(t *testing.T) {
				r := &windowRun{random: rand.New(rand.NewPCG(seed, 3)), most: max(int(rate*overage), 1)}
				r.restart(0)
				r.queue.SetCold(0)
				// Warm at first; then cold, which the owner learns late. What it sends
				// before is what the slack is for, so it must not be later than that.
				r.coldFrom = 3 * time.Second
				learned := r.coldFrom + time.Duration(r.random.IntN(60))*ms
				for now := time.Duration(0); now < 9*time.Second; now += ms {
					if now == learned {
						r.queue.SetCold(r.most)
					}
					if now > learned && r.random.IntN(1500) == 0 {
						r.restart(now)
					}
					r.step(now)
				}
				qt.Assert(t, len(r.arrivals) > 0, qt.IsTrue)
				most, at := mostPerSecond(r.arrivals)
				qt.Assert(t, float64(most) <= rate*overage+slack, qt.IsTrue, qt.Commentf("%d requests in the second from %s", most, at))
			})
		}
	}
}

// mostPerSecond returns the largest number of times within any second, and its beginning.
func mostPerSecond(times []time.Duration) (most int, at time.Duration) {
	times = slices.Sorted(slices.Values(times))
	first := 0
	for n, arrival := range times {
		for arrival-times[first] >= time.Second {
			first++
		}
		if n-first+1 > most {
			most, at = n-first+1, times[first]
		}
	}
	return most, at
}

// Guards against a refusal that is not counted, also of a body that was not received yet.
func TestColdRefusalsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := queuer.NewAdmission(13)
		admission.SetCold(1)
		job := queuer.Job{Kind: "a", Aim: 300 * ms, Deadline: time.Second}
		_, refusal := admission.Acquire(t.Context(), job)
		qt.Assert(t, refusal, qt.Not(qt.IsNil))
		qt.Assert(t, admission.Check(job), qt.Not(qt.IsNil))
		qt.Check(t, admission.ColdTotals(), qt.Equals, queuer.ColdTotals{Refused: 2})
	})
}

// Guards against a job that waits for the window although it may start, since the timer
// was not set.
func TestAdmissionStartsJobsOfColdServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := queuer.NewAdmission(13)
		admission.SetCold(3)
		start := time.Now()
		var waits []time.Duration
		acquire := func() {
			slot, refusal := admission.Acquire(t.Context(), queuer.Job{Kind: "a", Aim: admission.Now() + 10*time.Second, Deadline: admission.Now() + 10*time.Second})
			qt.Check(t, refusal, qt.IsNil)
			slot.Sending()
			slot.Release(true)
		}
		for range 7 {
			acquire()
			waits = append(waits, time.Since(start))
		}
		qt.Check(t, waits, qt.DeepEquals, []time.Duration{1 * time.Second, 1 * time.Second, 1 * time.Second, 2 * time.Second, 2 * time.Second, 2 * time.Second, 3 * time.Second})
		qt.Check(t, admission.ColdTotals(), qt.Equals, queuer.ColdTotals{Started: 7})
		// A server that is warm has no bound.
		admission.SetCold(0)
		acquire()
		qt.Check(t, time.Since(start), qt.Equals, 3*time.Second)
	})
}
