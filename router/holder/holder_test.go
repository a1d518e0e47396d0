package holder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/keeper"
)

// countingCaller counts the calls that it gets.
type countingCaller struct{ grants int }

func (c *countingCaller) Grant(context.Context, string, *Call) (CallResult, error) {
	c.grants++
	return Accepted, nil
}

func (c *countingCaller) Release(context.Context, string, *Call) (CallResult, string, error) {
	return Accepted, "", nil
}

// TestDelayedGrantIsNotSent delays a planned call until its timeout has passed, as on a
// VM that is short of processor time or was suspended.
func TestDelayedGrantIsNotSent(t *testing.T) {
	tests := []struct {
		name  string
		delay time.Duration
		sent  int
	}{
		{name: "in time", delay: grantTimeout / 2, sent: 1},
		{name: "delayed", delay: grantTimeout},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			caller := new(countingCaller)
			h := New(Options{
				Caller:        caller,
				Lease:         func() *keeper.Lease { return keeper.NewTestLease(7, timer.Now()) },
				LeaseDuration: lease,
				OnChange:      func() {},
				Log:           logger.Discard(),
			})
			row := &messenger.ServerRow{Name: server.name, Service: "findings", Born: server.born}
			h.SetRows([]messenger.RangeRow{{Service: "findings", From: 0, To: 99, Fence: 5, Life: server.born, Phase: messenger.PhaseOwned}}, row, messenger.ServerReady)
			calls := h.stateMachine.plan(timer.Now(), lease)
			qt.Assert(t, calls, qt.HasLen, 1)
			time.Sleep(test.delay)
			h.call(t.Context(), h.stateMachine, row, calls[0])
			qt.Check(t, caller.grants, qt.Equals, test.sent, qt.Commentf(test.name))
		})
	}
}

// TestTerminationIsOfOneStart terminates a server whose next start has announced itself:
// the ranges of the next start stay granted.
func TestTerminationIsOfOneStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := New(Options{
			Caller:        new(countingCaller),
			Lease:         func() *keeper.Lease { return keeper.NewTestLease(7, timer.Now()) },
			LeaseDuration: lease,
			OnChange:      func() {},
			Log:           logger.Discard(),
		})
		h.stateMachine.plan(timer.Now(), lease)
		tests := []struct {
			name   string
			server incarnation
			state  messenger.ServerState
			freed  int
		}{
			{name: "first start", server: server, state: messenger.ServerReady},
			{name: "first start down", server: server, state: messenger.ServerDown, freed: 1},
			{name: "next start", server: restarted, state: messenger.ServerReady},
			{name: "next start leaves", server: restarted, state: messenger.ServerLeaving},
			{name: "next start down", server: restarted, state: messenger.ServerDown, freed: 1},
		}
		for n, test := range tests {
			row := &messenger.ServerRow{Name: test.server.name, Service: "findings", Born: test.server.born}
			fence := uint64(5)
			if test.server == restarted {
				fence = 6
			}
			h.SetRows([]messenger.RangeRow{{Service: "findings", From: 0, To: 99, Fence: fence, Life: test.server.born, Phase: messenger.PhaseOwned}}, row, test.state)
			qt.Check(t, h.Freed(), qt.HasLen, test.freed, qt.Commentf("%d: %s", n, test.name))
		}
	})
}

// TestRestartedRouterWithoutServerFreesItsRanges restarts the router after its server has
// ended for good, so that none announces itself.
func TestRestartedRouterWithoutServerFreesItsRanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := New(Options{
			Caller:        new(countingCaller),
			Lease:         func() *keeper.Lease { return keeper.NewTestLease(7, timer.Now()) },
			LeaseDuration: lease,
			OnChange:      func() {},
			Log:           logger.Discard(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		go h.Run(ctx)
		defer cancel()
		h.SetRows([]messenger.RangeRow{{Service: "findings", From: 0, To: 99, Fence: 5, Life: server.born, Phase: messenger.PhaseOwned}}, nil, messenger.ServerAbsent)
		time.Sleep(lease)
		qt.Check(t, h.Freed(), qt.HasLen, 0)
		time.Sleep(time.Second)
		qt.Check(t, h.Freed(), qt.DeepEquals, []messenger.RangeRef{{Service: "findings", From: 0, To: 99, Fence: 5}})
	})
}
