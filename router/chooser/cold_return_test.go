package chooser_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/chooser"
)

// A cold server leaves, because it crashed or its failure domain is evacuated again, and
// returns cold. Guards against routers that all send to it at once, since the shares that
// they had before its absence have become due meanwhile.
func TestColdServerThatReturnsIsNotSentToAtOnce(t *testing.T) {
	const (
		routers = 73
		rate    = 15
	)
	warm := chooser.Candidate{Session: 1, Slots: 6}
	cold := chooser.Candidate{Session: 2, Slots: 6, Cold: true, ColdRate: rate}
	choose := func(lb *chooser.Balancer, from, to time.Duration, candidates ...chooser.Candidate) int {
		count := 0
		for now := from; now < to; now += 40 * time.Millisecond {
			if lb.Choose(now, candidates, chooser.Requirements{Routers: routers}) == cold.Session {
				count++
			}
		}
		return count
	}
	total := 0
	for range routers {
		lb := chooser.New()
		// The warm server is worse than the cold one within its share.
		report(lb, 1, messenger.ServerWork{Slots: 6, Slowness: 0.9})
		report(lb, 2, messenger.ServerWork{Slots: 6, Slowness: 0.2})
		choose(lb, 0, time.Second, warm, cold)
		choose(lb, time.Second, 8*time.Second, warm)
		total += choose(lb, 8*time.Second, 9*time.Second, warm, cold)
	}
	// The cost of one server above the other is worth a wait of some 200 ms.
	qt.Check(t, total < 2*rate, qt.IsTrue, qt.Commentf("%d requests in the first second", total))
}
