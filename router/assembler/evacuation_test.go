package assembler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/monitor"
)

// evacuationDelta evacuates the failure domain a, or withdraws that.
func evacuationDelta(to uint64, isGone bool) *messenger.TableDelta {
	return &messenger.TableDelta{From: to - 1, To: to, Evacuations: []messenger.EvacuationRow{{Domain: "a", Since: 1, Gone: isGone}}}
}

// Guards against orders in deltas that do not reach the owner of the process.
func TestDeltasReachTheGuardInRoutedMode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, err := NewRouted(RoutedSettings{
			Name: "r1", Domain: "a", Service: "findings", Server: "r1:9000", Peer: "r1:7001", ControlPeers: []string{"c1:7000"}, Grace: time.Second,
		}, RoutedOptions{Network: disrupter.New(0).Node("r1"), Log: logger.Discard()})
		qt.Assert(t, err, qt.IsNil)
		p.server.Announce(timer.Now(), monitor.Announcement{Row: messenger.ServerRow{Name: "s1", Service: "findings", URL: "r1:9000", Slots: 1, Born: 1}})
		run := func() messenger.Reason {
			response, _ := p.owner.Run(t.Context(), &messenger.Relay{Service: "findings", Key: messenger.NoKey, Left: time.Second, Aim: time.Second}, nil)
			return response.Reason
		}
		qt.Assert(t, p.Apply(7, &messenger.TableDelta{Full: true, To: 1, Configuration: &messenger.Configuration{Version: 1}}), qt.IsNil)
		qt.Assert(t, run(), qt.Equals, messenger.ReasonDown, qt.Commentf("no server listens"))
		// The process has no lease, so the order is of unknown age.
		qt.Assert(t, p.Apply(7, evacuationDelta(2, false)), qt.IsNil)
		qt.Assert(t, run(), qt.Equals, messenger.ReasonDraining)
		qt.Assert(t, p.Apply(7, nil), qt.IsNil)
		qt.Assert(t, run(), qt.Equals, messenger.ReasonDraining)
		qt.Assert(t, p.Apply(7, evacuationDelta(3, true)), qt.IsNil)
		qt.Assert(t, run(), qt.Equals, messenger.ReasonDown)
	})
}

func TestDeltasReachTheGuardInShardedMode(t *testing.T) {
	p, err := New(Settings{Name: "r1", Domain: "a", Control: []string{"c1:1"}, Peer: "r1:2"}, Options{Network: disrupter.New(0).Node("r1"), Log: logger.Discard(), Metrics: metrics.NewSet()})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.startLink(t.Context()), qt.IsNil)
	defer func() { _ = p.stopLink(t.Context()) }()
	qt.Assert(t, p.heartbeatHandler.Apply(7, &messenger.TableDelta{Full: true, To: 1}), qt.IsNil)
	qt.Assert(t, p.evacuation.Check(timer.Now()), qt.Equals, messenger.ReasonNone)
	qt.Assert(t, p.heartbeatHandler.Apply(7, evacuationDelta(2, false)), qt.IsNil)
	qt.Assert(t, p.evacuation.Check(timer.Now()), qt.Equals, messenger.ReasonDraining)
	qt.Assert(t, p.heartbeatHandler.Apply(7, evacuationDelta(3, true)), qt.IsNil)
	qt.Assert(t, p.evacuation.Check(timer.Now()), qt.Equals, messenger.ReasonNone)
}

func TestEvacuationSettings(t *testing.T) {
	tests := []struct {
		value time.Duration
		want  string
	}{{}, {value: 5 * time.Second}, {value: -time.Second, want: "evacuation"}}
	for _, test := range tests {
		routed := RoutedSettings{
			Version: 1, Cluster: "test", Name: "r1", Domain: "a", Service: "findings", Server: "r1:1", Callers: "r1:2", Peer: "r1:3", Backend: "r1:4", Ready: "r1:5",
			ControlPeers: []string{"c1:1"}, Grace: time.Second, Evacuation: test.value,
		}
		routed.Budget.Window = time.Second
		field, _ := routed.Check()
		qt.Check(t, field, qt.Equals, test.want)
		sharded := Settings{
			Version: 1, Cluster: "test", Name: "r1", Domain: "a", Region: "tas", Listen: "r1:1", Peer: "r1:2", Backend: "r1:3", Operator: "r1:4",
			Control: []string{"c1:1"}, Evacuation: test.value,
		}
		field, _ = sharded.Check()
		qt.Check(t, field, qt.Equals, test.want)
	}
}
