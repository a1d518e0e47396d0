package chooser_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/chooser"
)

// sendTo sends requests at a rate for a while, each of which ends at once, and counts them
// by server.
func sendTo(lb *chooser.Balancer, candidates []chooser.Candidate, routers int, rate float64, length time.Duration) map[uint64]int {
	counts := make(map[uint64]int)
	interval := time.Duration(float64(time.Second) / rate)
	for now := time.Duration(0); now < length; now += interval {
		session := lb.Choose(now, candidates, chooser.Requirements{Routers: routers})
		lb.Begin(session)
		lb.End(now, session, &messenger.ServerWork{Slots: 6, Slowness: 0.2}, false)
		counts[session]++
	}
	return counts
}

// Guards against a cold server that each of many routers takes for idle, and against one
// that gets nothing because it is cold.
func TestColdServerGetsShare(t *testing.T) {
	warm := []chooser.Candidate{{Session: 1, Slots: 6}, {Session: 2, Slots: 6}}
	tests := []struct {
		name        string
		cold        chooser.Candidate
		others      []chooser.Candidate
		routers     int
		least, most int
	}{
		// The slowness of cold servers alone keeps the balancer from them, if nothing runs.
		{name: "beside warm ones", cold: chooser.Candidate{Session: 3, Slots: 6, Cold: true, ColdRate: 15}, others: warm, routers: 10, most: 15},
		{name: "beside colder ones", cold: chooser.Candidate{Session: 3, Slots: 6, Cold: true, ColdRate: 20}, others: []chooser.Candidate{{Session: 1, Slots: 6, Cold: true, ColdRate: 10}}, routers: 10, least: 620, most: 710},
		{name: "no other one", cold: chooser.Candidate{Session: 3, Slots: 6, Cold: true, ColdRate: 15}, routers: 10, least: 1000, most: 1000},
		{name: "number of routers unknown", cold: chooser.Candidate{Session: 3, Slots: 6, Cold: true, ColdRate: 15}, others: warm, most: 150},
	}
	for _, test := range tests {
		counts := sendTo(chooser.New(), append([]chooser.Candidate{test.cold}, test.others...), test.routers, 100, 10*time.Second)
		got := counts[test.cold.Session]
		qt.Check(t, got >= test.least && got <= test.most, qt.IsTrue, qt.Commentf("%s: %d requests", test.name, got))
	}
}

// A failure domain returns while the others are full. Guards against routers that send to
// its servers at the same time, and beyond their shares while others have capacity.
func TestRoutersSendAtDifferentTimes(t *testing.T) {
	const (
		routers = 73
		rate    = 15
	)
	times := make(map[time.Duration]int)
	total := 0
	for range routers {
		lb := chooser.New()
		// The warm server is worse than the cold one within its share.
		candidates := []chooser.Candidate{{Session: 1, Slots: 6}, {Session: 2, Slots: 6, Cold: true, ColdRate: rate}}
		report(lb, 1, messenger.ServerWork{Slots: 6, Slowness: 0.9})
		report(lb, 2, messenger.ServerWork{Slots: 6, Slowness: 0.2})
		for now := time.Duration(0); now < 5*time.Second; now += 40 * time.Millisecond {
			if lb.Choose(now, candidates, chooser.Requirements{Routers: routers}) == 2 {
				times[now/time.Second]++
				total++
			}
		}
	}
	qt.Check(t, total > 3*rate, qt.IsTrue, qt.Commentf("%d requests in 5 s", total))
	for second, count := range times {
		// The cost of one server above the other is worth a wait of some 200 ms.
		qt.Check(t, count < 2*rate, qt.IsTrue, qt.Commentf("%d requests in second %d", count, second))
	}
}

// Guards against a share that stays in force when the server is warm.
func TestWarmServerHasNoShare(t *testing.T) {
	lb := chooser.New()
	cold := []chooser.Candidate{{Session: 1, Slots: 6, Cold: true, ColdRate: 1}}
	sendTo(lb, cold, 100, 100, time.Second)
	counts := sendTo(lb, []chooser.Candidate{{Session: 1, Slots: 6}, {Session: 2, Slots: 6}}, 100, 100, 2*time.Second)
	qt.Check(t, counts[1] > 50, qt.IsTrue, qt.Commentf("%d of 200 requests", counts[1]))
}

// A server that becomes cold again starts with a new share. Guards against requests beyond
// an earlier share that keep it from any.
func TestServerThatIsColdAgainHasNewShare(t *testing.T) {
	lb := chooser.New()
	cold := chooser.Candidate{Session: 1, Slots: 6, Cold: true, ColdRate: 1}
	for range 100 {
		lb.Choose(0, []chooser.Candidate{cold}, chooser.Requirements{Routers: 1})
	}
	lb.Choose(0, []chooser.Candidate{{Session: 1, Slots: 6}}, chooser.Requirements{Routers: 1})
	report(lb, 1, messenger.ServerWork{Slots: 6, Slowness: 0.2})
	report(lb, 2, messenger.ServerWork{Slots: 6, Slowness: 6})
	got := lb.Choose(time.Second, []chooser.Candidate{cold, {Session: 2, Slots: 6}}, chooser.Requirements{Routers: 1})
	qt.Check(t, got, qt.Equals, uint64(1))
}
