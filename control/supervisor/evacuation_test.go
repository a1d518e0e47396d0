package supervisor_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/control/assigner"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
)

// evacuationFleet is a fleet of ranged routers, r1 to r6, two in each of the domains d0
// to d2, whose moves are recorded.
type evacuationFleet struct {
	*harness
	routers []*rangedRouter
	metrics *metrics.Set
	// moves are the times of the commands that moved ranges for an evacuation, and moved
	// the keys of each.
	moves []time.Duration
	moved []int
	// emptied counts the events of empty domains.
	emptied int
}

func newEvacuationFleet(t *testing.T) *evacuationFleet {
	f := &evacuationFleet{harness: newHarness(t), metrics: metrics.NewSet()}
	f.machine = supervisor.New(supervisor.Options{Cluster: "test", Metrics: f.metrics})
	configureRanges(f.harness)
	for n := range 6 {
		f.routers = append(f.routers, newRanged(f.harness, n+1))
	}
	f.observe = func(_ uint64, data []byte, _ assigner.Result) {
		command, err := assigner.Decode(data)
		qt.Assert(t, err, qt.IsNil)
		if command.Notice != nil && command.Notice.Number == logger.DomainEmpty.Number {
			f.emptied++
		}
		if command.MoveRanges == nil || !strings.HasPrefix(command.MoveRanges.Why, "evacuation of ") {
			return
		}
		keys := 0
		for _, placement := range command.MoveRanges.Placements {
			keys += int(placement.To-placement.From) + 1
		}
		f.moves = append(f.moves, f.now.Wall)
		f.moved = append(f.moved, keys)
	}
	runRanged(f.harness, 4*time.Second, f.routers...)
	return f
}

func (f *evacuationFleet) evacuate(domain string, on bool) {
	result := f.propose(assigner.Command{Evacuate: &assigner.Evacuate{Domain: domain, On: on, By: "ann"}})
	qt.Assert(f.t, result.Verdict, qt.Equals, assigner.VerdictApplied)
}

func (f *evacuationFleet) run(length time.Duration) {
	runRanged(f.harness, length, f.routers...)
}

// keysIn returns how many keys the routers of a domain own.
func (f *evacuationFleet) keysIn(domain string) int {
	count := 0
	for _, router := range f.routers {
		if router.heartbeat.Domain == domain {
			count += router.keys()
		}
	}
	return count
}

// The ranges of an evacuated domain left all at once, as in a drain, and the other
// domains got the load of all of them within one heartbeat.
func TestRangesLeaveEvacuatedDomainInSteps(t *testing.T) {
	f := newEvacuationFleet(t)
	before := f.keysIn("d1")
	qt.Assert(t, before > 0, qt.IsTrue)
	f.evacuate("d1", true)
	f.run(3 * time.Second)
	qt.Check(t, f.keysIn("d1"), qt.Equals, 0)
	f.run(time.Second)
	qt.Check(t, f.keysIn("d0")+f.keysIn("d2"), qt.Equals, allKeys)
	qt.Assert(t, len(f.moves), qt.Equals, 5)
	for n := range f.moves {
		qt.Check(t, f.moved[n]*4 < before, qt.IsTrue, qt.Commentf("step %d moves %d of %d keys", n, f.moved[n], before))
		if n > 0 {
			qt.Check(t, f.moves[n]-f.moves[n-1] >= 400*time.Millisecond, qt.IsTrue, qt.Commentf("step %d", n))
		}
	}
	qt.Check(t, f.emptied, qt.Equals, 1)
}

// A server that is drained or stops hands over its ranges at once, also while its domain
// is evacuated.
func TestDrainedServerOfEvacuatedDomainLeavesAtOnce(t *testing.T) {
	f := newEvacuationFleet(t)
	f.evacuate("d1", true)
	f.propose(assigner.Command{Drain: &assigner.Drain{Server: "s1", On: true}})
	f.run(1200 * time.Millisecond)
	qt.Check(t, f.routers[0].keys(), qt.Equals, 0)
	qt.Check(t, f.routers[3].keys() > 0, qt.IsTrue)
}

func TestEvacuationLimits(t *testing.T) {
	tests := []struct {
		name string
		run  func(f *evacuationFleet)
		// empty are the domains without keys afterwards, kept those with keys.
		empty, kept []string
	}{
		{
			name: "a router starts during the evacuation", empty: []string{"d1"}, kept: []string{"d0", "d2"},
			run: func(f *evacuationFleet) {
				f.evacuate("d1", true)
				f.run(3 * time.Second)
				f.routers = append(f.routers, newRanged(f.harness, 7))
				f.run(5 * time.Second)
				qt.Check(f.t, f.routers[6].heartbeat.Session != 0, qt.IsTrue)
			},
		},
		{
			name: "all domains keep their ranges", kept: []string{"d0", "d1", "d2"},
			run: func(f *evacuationFleet) {
				f.propose(assigner.Command{Evacuate: &assigner.Evacuate{Domain: "d0", On: true}})
				f.propose(assigner.Command{Evacuate: &assigner.Evacuate{Domain: "d1", On: true}})
				f.propose(assigner.Command{Evacuate: &assigner.Evacuate{Domain: "d2", On: true}})
				f.run(5 * time.Second)
				qt.Check(f.t, len(f.moves), qt.Equals, 0)
				qt.Check(f.t, f.emptied, qt.Equals, 0)
			},
		},
		{
			name: "the last domain gets all ranges", empty: []string{"d0", "d1"}, kept: []string{"d2"},
			run: func(f *evacuationFleet) {
				f.evacuate("d0", true)
				f.evacuate("d1", true)
				f.run(4 * time.Second)
				qt.Check(f.t, f.emptied, qt.Equals, 2)
			},
		},
		{
			name: "a withdrawal stops the steps", kept: []string{"d0", "d1", "d2"},
			run: func(f *evacuationFleet) {
				f.evacuate("d1", true)
				f.run(900 * time.Millisecond)
				f.evacuate("d1", false)
				f.run(3 * time.Second)
				qt.Check(f.t, len(f.moves), qt.Equals, 3)
			},
		},
		{
			name: "a new leader takes all steps again", empty: []string{"d1"}, kept: []string{"d0", "d2"},
			run: func(f *evacuationFleet) {
				f.evacuate("d1", true)
				f.run(600 * time.Millisecond)
				f.commit()
				f.raftStatus.Term, f.raftStatus.Since = 2, f.now
				f.run(5 * time.Second)
				qt.Check(f.t, len(f.moves), qt.Equals, 2+5)
				qt.Check(f.t, f.emptied, qt.Equals, 1)
				f.raftStatus.Term, f.raftStatus.Since = 3, f.now
				f.run(2 * time.Second)
				qt.Check(f.t, f.emptied, qt.Equals, 1)
			},
		},
		{
			name: "a domain without routers", kept: []string{"d0", "d1", "d2"},
			run: func(f *evacuationFleet) {
				f.evacuate("d9", true)
				f.run(2 * time.Second)
				qt.Check(f.t, f.emptied, qt.Equals, 1)
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newEvacuationFleet(t)
			test.run(f)
			for _, domain := range test.empty {
				qt.Check(t, f.keysIn(domain), qt.Equals, 0, qt.Commentf("%s", domain))
			}
			for _, domain := range test.kept {
				qt.Check(t, f.keysIn(domain) > 0, qt.IsTrue, qt.Commentf("%s", domain))
			}
			total := f.keysIn("d0") + f.keysIn("d1") + f.keysIn("d2")
			qt.Check(t, total, qt.Equals, allKeys)
		})
	}
}

// Operators follow an evacuation by the status, by explanations and by gauges, which end
// with it.
func TestProgressOfEvacuation(t *testing.T) {
	f := newEvacuationFleet(t)
	f.evacuate("d1", true)
	since := f.now.Wall.Milliseconds()
	status := func() []messenger.EvacuationStatus {
		statuses, ok := f.request(supervisor.EvacuationsQuery{}).([]messenger.EvacuationStatus)
		qt.Assert(t, ok, qt.IsTrue)
		whole, ok := f.request(supervisor.StatusQuery{}).(*messenger.Status)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Check(t, whole.Evacuations, qt.DeepEquals, statuses)
		return statuses
	}
	started := status()
	qt.Assert(t, len(started), qt.Equals, 1)
	qt.Check(t, started[0].Ranges > 0, qt.IsTrue)
	started[0].Ranges = 0
	qt.Check(t, started[0], qt.Equals, messenger.EvacuationStatus{Domain: "d1", By: "ann", Since: since, Servers: 2, Behind: 6})
	key := f.routers[0].rows()[0].From
	explanation, ok := f.request(supervisor.ExplainQuery{Service: "findings", Key: fmt.Sprint(key)}).(*messenger.Explanation)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, explanation.Evacuation, qt.DeepEquals, &messenger.EvacuationRow{Domain: "d1", By: "ann", Since: since})

	f.run(4 * time.Second)
	qt.Check(t, status(), qt.DeepEquals, []messenger.EvacuationStatus{{Domain: "d1", By: "ann", Since: since, Servers: 2}})
	var text bytes.Buffer
	f.metrics.WritePrometheus(&text)
	for _, line := range []string{
		`marigold_evacuation_servers{domain="d1"} 2`, `marigold_evacuation_ranges{domain="d1"} 0`,
		`marigold_evacuation_shards{domain="d1"} 0`, `marigold_evacuation_behind{domain="d1"} 0`,
	} {
		qt.Check(t, text.String(), qt.Contains, line)
	}
	f.evacuate("d1", false)
	f.run(2 * time.Second)
	text.Reset()
	f.metrics.WritePrometheus(&text)
	qt.Check(t, strings.Contains(text.String(), "marigold_evacuation"), qt.IsFalse)
	qt.Check(t, len(status()), qt.Equals, 0)
}

// The shards of an evacuated domain leave in the steps of a drain.
func TestShardsLeaveEvacuatedDomain(t *testing.T) {
	h := newHarness(t)
	var routers []*fakeRouter
	for n := range 6 {
		routers = append(routers, newRouter(h, n+1, "findings"))
	}
	h.run(6*time.Second, routers...)
	owned := len(routers[0].owned())
	qt.Assert(t, owned > 0, qt.IsTrue)
	h.propose(assigner.Command{Evacuate: &assigner.Evacuate{Domain: "d1", On: true}})
	moving := func() int {
		status, ok := h.request(supervisor.StatusQuery{}).(*messenger.Status)
		qt.Assert(t, ok, qt.IsTrue)
		return status.Sessions[0].Moving
	}
	h.tick()
	h.tick()
	qt.Check(t, moving(), qt.Equals, (owned+4)/5)
	h.run(4*time.Second, routers...)
	qt.Check(t, moving(), qt.Equals, owned)
	explanation, ok := h.request(supervisor.ExplainQuery{Service: "findings", Key: "door-17"}).(*messenger.Explanation)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, (explanation.Domain == "d1") == (explanation.Evacuation != nil), qt.IsTrue)
}
