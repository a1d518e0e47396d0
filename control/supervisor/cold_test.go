package supervisor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/assigner"
	"marigoldhill/kernel/messenger"
)

// Guards against keys that move to a server that has just started or returned, which can
// handle only a few requests per second, while a warm one can take them.
func TestColdServerGetsNoRangesWhileAnotherIsWarm(t *testing.T) {
	tests := []struct {
		name string
		rate float64
		// get is set if the cold server gets keys of the one that leaves.
		get bool
	}{
		{name: "rate", rate: 15},
		{name: "no rate", get: true},
	}
	for _, test := range tests {
		h := newHarness(t)
		h.propose(assigner.Command{Configure: &assigner.Configure{Configuration: messenger.Configuration{
			Version: 1, Services: []messenger.RoutedService{{Name: "findings", Ranged: true, Cold: 3 * time.Second, ColdRate: test.rate}},
		}, Source: []byte("text")}})
		leaving, warm, cold := newRanged(h, 1), newRanged(h, 2), newRanged(h, 3)
		runRanged(h, 4*time.Second, leaving, warm, cold)
		before := cold.keys()
		qt.Assert(t, before > allKeys/4, qt.IsTrue, qt.Commentf(test.name))
		cold.heartbeat.Server.Cold = true
		runRanged(h, 600*time.Millisecond, leaving, warm, cold)
		leaving.heartbeat.Leaving = true
		runRanged(h, 1500*time.Millisecond, leaving, warm, cold)
		qt.Check(t, leaving.keys(), qt.Equals, 0, qt.Commentf(test.name))
		qt.Check(t, cold.keys() > before, qt.Equals, test.get, qt.Commentf("%s: %d keys, %d before", test.name, cold.keys(), before))
	}
}

// Guards against keys without an owner while all servers are cold, as at the start of a
// deployment.
func TestColdServersGetRangesIfNoneIsWarm(t *testing.T) {
	h := newHarness(t)
	h.propose(assigner.Command{Configure: &assigner.Configure{Configuration: messenger.Configuration{
		Version: 1, Services: []messenger.RoutedService{{Name: "findings", Ranged: true, Cold: 3 * time.Second, ColdRate: 15}},
	}, Source: []byte("text")}})
	a, b := newRanged(h, 1), newRanged(h, 2)
	a.heartbeat.Server.Cold, b.heartbeat.Server.Cold = true, true
	runRanged(h, 4*time.Second, a, b)
	qt.Check(t, a.keys()+b.keys(), qt.Equals, allKeys)
	qt.Check(t, a.keys() > allKeys/4 && b.keys() > allKeys/4, qt.IsTrue)
	a.heartbeat.Leaving = true
	runRanged(h, 1500*time.Millisecond, a, b)
	qt.Check(t, b.keys(), qt.Equals, allKeys)
}
