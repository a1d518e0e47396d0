package holder

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const lease = 3 * time.Second

var (
	server    = incarnation{name: "d1", born: 1000}
	restarted = incarnation{name: "d2", born: 1001}
)

func at(d time.Duration) timer.Instant {
	return timer.Instant{Mono: time.Hour + d, Wall: 1000*time.Hour + d}
}

func row(from, to uint32, fence uint64, phase messenger.Phase) messenger.RangeRow {
	return messenger.RangeRow{Service: "findings", From: from, To: to, Fence: fence, Phase: phase, Life: server.born}
}

// newGranted returns a state machine whose server holds the keys 0 to 99 from the
// start.
func newGranted(t *testing.T) *stateMachine {
	machine := newStateMachine("findings")
	machine.setRanges(at(0), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned)}, server)
	calls := machine.plan(at(0), lease)
	qt.Assert(t, calls, qt.HasLen, 1)
	qt.Assert(t, calls[0].Release, qt.IsFalse)
	machine.endCall(at(0), calls[0], Accepted, "")
	qt.Assert(t, machine.checkHeld(at(0), 50), qt.Equals, messenger.ReasonNone)
	return machine
}

func TestGrantEndsWithTheLease(t *testing.T) {
	tests := []struct {
		name           string
		leaseRemaining time.Duration
		wantGrant      bool
	}{
		{name: "whole lease", leaseRemaining: lease, wantGrant: true},
		{name: "lease is about to expire", leaseRemaining: 400 * time.Millisecond},
		{name: "no lease"},
	}
	for _, test := range tests {
		machine := newStateMachine("findings")
		machine.setRanges(at(0), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned)}, server)
		calls := machine.plan(at(0), test.leaseRemaining)
		qt.Check(t, len(calls) == 1, qt.Equals, test.wantGrant, qt.Commentf(test.name))
		for _, call := range calls {
			// A server whose clock runs 2% slow holds the keys longer.
			qt.Check(t, float64(call.Hold)*1.02 <= float64(test.leaseRemaining), qt.IsTrue, qt.Commentf(test.name))
		}
	}
}

func TestHoldIsRenewedAndExpires(t *testing.T) {
	machine := newGranted(t)
	qt.Assert(t, machine.plan(at(time.Second), lease), qt.HasLen, 0)
	renewal := machine.plan(at(1300*time.Millisecond), lease)
	qt.Assert(t, renewal, qt.HasLen, 1)
	qt.Assert(t, machine.plan(at(1310*time.Millisecond), lease), qt.HasLen, 0)
	machine.endCall(at(1400*time.Millisecond), renewal[0], Unanswered, "")
	qt.Assert(t, machine.checkHeld(at(2500*time.Millisecond), 50), qt.Equals, messenger.ReasonNone)
	qt.Assert(t, machine.checkHeld(at(3*time.Second), 50), qt.Equals, messenger.ReasonMoving)
}

// TestUnansweredGrantDelaysTheRelease checks that an unanswered grant, which may still
// take effect, delays both the release of the keys and the report that they are free.
func TestUnansweredGrantDelaysTheRelease(t *testing.T) {
	machine := newGranted(t)
	renewal := machine.plan(at(1300*time.Millisecond), lease)
	machine.endCall(at(1700*time.Millisecond), renewal[0], Unanswered, "")
	machine.setRanges(at(1800*time.Millisecond), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseMoving)}, server)
	qt.Assert(t, machine.checkHeld(at(1800*time.Millisecond), 50), qt.Equals, messenger.ReasonMoving)
	qt.Assert(t, machine.plan(at(1800*time.Millisecond), lease), qt.HasLen, 0)
	qt.Assert(t, machine.plan(at(4500*time.Millisecond), lease), qt.HasLen, 0)
	qt.Assert(t, machine.freed(), qt.HasLen, 0)
	release := machine.plan(at(5*time.Second), lease)
	// The hold has expired by then, so nothing is left to release.
	qt.Assert(t, release, qt.HasLen, 0)
	qt.Assert(t, machine.freed(), qt.HasLen, 1)
}

func TestReleaseReturnsTheHandoverToken(t *testing.T) {
	machine := newGranted(t)
	machine.setRanges(at(100*time.Millisecond), []messenger.RangeRow{
		row(0, 39, 5, messenger.PhaseOwned), row(40, 59, 5, messenger.PhaseMoving), row(60, 99, 5, messenger.PhaseOwned),
	}, server)
	calls := machine.plan(at(100*time.Millisecond), lease)
	qt.Assert(t, calls, qt.HasLen, 1)
	qt.Assert(t, *calls[0] == Call{Service: "findings", Server: "d1", From: 40, To: 59, Fence: 5, Release: true, sentAt: at(100 * time.Millisecond)}, qt.IsTrue)
	qt.Assert(t, machine.freed(), qt.HasLen, 0)
	machine.endCall(at(200*time.Millisecond), calls[0], Accepted, "warm")
	qt.Assert(t, machine.freed(), qt.DeepEquals, []messenger.RangeRef{{Service: "findings", From: 40, To: 59, Fence: 5, Handover: "warm"}})
	qt.Assert(t, machine.checkHeld(at(200*time.Millisecond), 39), qt.Equals, messenger.ReasonNone)
	qt.Assert(t, machine.checkHeld(at(200*time.Millisecond), 60), qt.Equals, messenger.ReasonNone)
	machine.setRanges(at(300*time.Millisecond), []messenger.RangeRow{row(0, 39, 5, messenger.PhaseOwned), row(60, 99, 5, messenger.PhaseOwned)}, server)
	qt.Assert(t, machine.checkHeld(at(300*time.Millisecond), 50), qt.Equals, messenger.ReasonMisrouted)
}

func TestKeysAreFreedWithoutACall(t *testing.T) {
	tests := []struct {
		name  string
		cause freeCause
		act   func(machine *stateMachine)
	}{
		{name: "server restarted", cause: causeReplaced, act: func(machine *stateMachine) {
			machine.setRanges(at(time.Second), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned)}, restarted)
		}},
		{name: "server terminated", cause: causeTerminated, act: func(machine *stateMachine) { machine.serverTerminated() }},
		{name: "server has seen a higher fence", cause: causeFenced, act: func(machine *stateMachine) {
			calls := machine.plan(at(1300*time.Millisecond), lease)
			machine.endCall(at(1400*time.Millisecond), calls[0], Fenced, "")
		}},
		{name: "all renewals failed", cause: causeExpired, act: func(machine *stateMachine) {
			for n := range 60 {
				now := at(1300*time.Millisecond + time.Duration(n)*200*time.Millisecond)
				for _, call := range machine.plan(now, max(lease-time.Duration(n)*200*time.Millisecond, 0)) {
					machine.endCall(now, call, NotSent, "")
				}
			}
		}},
	}
	for _, test := range tests {
		machine := newGranted(t)
		test.act(machine)
		refs := machine.freed()
		qt.Assert(t, refs, qt.HasLen, 1, qt.Commentf(test.name))
		qt.Check(t, refs[0], qt.Equals, messenger.RangeRef{Service: "findings", From: 0, To: 99, Fence: 5}, qt.Commentf(test.name))
		qt.Check(t, machine.checkHeld(at(1500*time.Millisecond), 50), qt.Equals, messenger.ReasonMoving, qt.Commentf(test.name))
		wantLogged := []freedRange{{fencedRange{from: 0, to: 99, fence: 5}, test.cause}}
		qt.Check(t, slices.Equal(machine.unloggedFreed(), wantLogged), qt.IsTrue, qt.Commentf(test.name))
		qt.Check(t, machine.unloggedFreed(), qt.HasLen, 0, qt.Commentf(test.name))
	}
}

// TestClockJumpFreesNothing makes the wall clock of the router's VM jump ahead: its
// lease expires immediately, but the server still holds the keys, so they are not
// free.
func TestClockJumpFreesNothing(t *testing.T) {
	machine := newGranted(t)
	for _, passed := range []time.Duration{time.Second, 3 * time.Second} {
		now := timer.Instant{Mono: time.Hour + passed, Wall: 1000*time.Hour + passed + 2400*time.Second}
		machine.plan(now, 0)
		qt.Assert(t, machine.freed(), qt.HasLen, 0)
	}
	// The session is lost and opened again.
	machine.setRanges(at(3*time.Second), nil, server)
	machine.setRanges(at(3*time.Second), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned)}, server)
	machine.plan(at(5*time.Second), 0)
	qt.Assert(t, machine.freed(), qt.HasLen, 0)
	machine.plan(at(7*time.Second), 0)
	qt.Assert(t, machine.freed(), qt.HasLen, 1)
}

func TestConcurrentGrantsAreLimited(t *testing.T) {
	machine := newStateMachine("findings")
	var rows []messenger.RangeRow
	for n := range uint32(12) {
		rows = append(rows, row(n*100, n*100+99, uint64(5+n%2), messenger.PhaseOwned))
	}
	machine.setRanges(at(0), rows, server)
	granted := 0
	for granted < 12 {
		calls := machine.plan(at(0), lease)
		qt.Assert(t, len(calls) == 1 || len(calls) == 2, qt.IsTrue, qt.Commentf("%d calls", len(calls)))
		machine.endCall(at(0), calls[0], Accepted, "")
		granted++
		for _, call := range calls[1:] {
			machine.endCall(at(0), call, Accepted, "")
			granted++
		}
	}
	qt.Assert(t, machine.plan(at(0), lease), qt.HasLen, 0)
}

func TestAdjacentRangesShareACall(t *testing.T) {
	machine := newStateMachine("findings")
	machine.setRanges(at(0), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned), row(100, 199, 5, messenger.PhaseOwned), row(200, 299, 6, messenger.PhaseOwned)}, server)
	calls := machine.plan(at(0), lease)
	qt.Assert(t, calls, qt.HasLen, 2)
	qt.Assert(t, calls[0].To, qt.Equals, uint32(199))
	qt.Assert(t, calls[1].From, qt.Equals, uint32(200))
}
