package assembler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// TestHeartbeatWithoutSessionFreesNothing reports ranges as free that a server no longer
// holds. Without a session the router may resume the one that ended and own them again.
func TestHeartbeatWithoutSessionFreesNothing(t *testing.T) {
	p, err := NewRouted(RoutedSettings{
		Name: "r1", Service: "findings", Server: "r1:9000", Peer: "r1:7001", ControlPeers: []string{"c1:7000"}, Grace: time.Second,
	}, RoutedOptions{Network: disrupter.New(0).Node("r1"), Log: logger.Discard()})
	qt.Assert(t, err, qt.IsNil)
	server := &messenger.ServerRow{Name: "d1", Service: "findings", Born: 1000}
	rows := []messenger.RangeRow{{Service: "findings", From: 0, To: 99, Fence: 5, Life: server.Born, Phase: messenger.PhaseOwned}}
	p.holder.SetRows(rows, server, messenger.ServerDown)
	tests := []struct {
		name    string
		session uint64
		freed   int
	}{
		{name: "session", session: 7, freed: 1},
		{name: "no session"},
	}
	for _, test := range tests {
		var heartbeat messenger.Heartbeat
		p.Report(timer.Now(), test.session, &heartbeat)
		qt.Check(t, heartbeat.Freed, qt.HasLen, test.freed, qt.Commentf(test.name))
	}
}

// A server that has named a limit kept its keys, most requests for which it did not take.
// The leader takes all slots together to serve slots / mean time requests a second.
func TestReportShowsLimitOfServer(t *testing.T) {
	tests := []struct {
		name     string
		limit    float64
		finished uint64
		busy     time.Duration
		want     time.Duration
	}{
		{name: "no limit", finished: 20, busy: 2 * time.Second, want: 2 * time.Second},
		{name: "limit below what it can serve", limit: 4, finished: 20, busy: 2 * time.Second, want: 30 * time.Second},
		{name: "limit above", limit: 120, finished: 20, busy: 2 * time.Second, want: 2 * time.Second},
		{name: "nothing finished", limit: 4},
	}
	for _, test := range tests {
		report := &messenger.RangeLoadReport{Finished: test.finished, Busy: test.busy}
		applyLimit(report, 6, test.limit)
		qt.Check(t, report.Busy, qt.Equals, test.want, qt.Commentf(test.name))
	}
	applyLimit(nil, 6, 4)
}
