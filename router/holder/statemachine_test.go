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

// newLeased returns a state machine of a router that has a lease.
func newLeased() *stateMachine {
	machine := newStateMachine("findings", lease)
	machine.plan(at(0), lease)
	return machine
}

// newGranted returns a state machine whose server holds the keys 0 to 99 from the
// start.
func newGranted(t *testing.T) *stateMachine {
	machine := newLeased()
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
		machine := newStateMachine("findings", lease)
		machine.setRanges(at(0), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned)}, server)
		calls := machine.plan(at(0), test.leaseRemaining)
		qt.Check(t, len(calls) == 1, qt.Equals, test.wantGrant, qt.Commentf(test.name))
		for _, call := range calls {
			// A server whose clock runs 2% slow holds the keys longer.
			qt.Check(t, float64(call.Hold)*1.02 <= float64(test.leaseRemaining), qt.IsTrue, qt.Commentf(test.name))
		}
	}
}

// TestGrantThatArrivesLateEndsWithTheLease checks that a hold ends with the lease also if
// the grant takes its whole timeout to arrive, since the server counts from the arrival.
func TestGrantThatArrivesLateEndsWithTheLease(t *testing.T) {
	for leaseRemaining := time.Duration(0); leaseRemaining <= lease; leaseRemaining += 50 * time.Millisecond {
		machine := newLeased()
		machine.setRanges(at(0), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned)}, server)
		for _, call := range machine.plan(at(0), leaseRemaining) {
			end := grantTimeout + time.Duration(clockDriftFactor*float64(call.Hold))
			qt.Check(t, end <= leaseRemaining, qt.IsTrue, qt.Commentf("lease of %s, hold of %s", leaseRemaining, call.Hold))
			// Nor are the keys free before the hold of such a grant has ended.
			machine.endCall(at(grantTimeout), call, Accepted, "")
			machine.plan(at(end-time.Millisecond), 0)
			qt.Check(t, machine.freed(), qt.HasLen, 0, qt.Commentf("lease of %s", leaseRemaining))
		}
	}
}

// TestShorterRenewalDoesNotEndTheHoldBefore renews a hold for a shorter time, as the lease
// was not renewed meanwhile. The server may keep the later of the two ends.
func TestShorterRenewalDoesNotEndTheHoldBefore(t *testing.T) {
	machine := newGranted(t)
	end := time.Duration(clockDriftFactor * float64(machine.keys.Find(50).Value.hold))
	renewal := machine.plan(at(1100*time.Millisecond), minHold+2*grantTimeout)
	qt.Assert(t, renewal, qt.HasLen, 1)
	qt.Assert(t, 1100*time.Millisecond+renewal[0].Hold < end-100*time.Millisecond, qt.IsTrue)
	machine.endCall(at(1100*time.Millisecond), renewal[0], Accepted, "")
	machine.plan(at(end-time.Millisecond), 0)
	qt.Check(t, machine.freed(), qt.HasLen, 0)
	machine.plan(at(end), 0)
	qt.Check(t, machine.freed(), qt.HasLen, 1)
}

// TestResumedSessionForgetsNoLongerHold ends the session before its lease, resumes it and
// grants the range for a shorter time. The server may keep the hold from before.
func TestResumedSessionForgetsNoLongerHold(t *testing.T) {
	machine := newGranted(t)
	end := time.Duration(clockDriftFactor * float64(machine.keys.Find(50).Value.hold))
	machine.setRanges(at(100*time.Millisecond), nil, server)
	machine.plan(at(100*time.Millisecond), 0)
	machine.setRanges(at(200*time.Millisecond), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned)}, server)
	calls := machine.plan(at(300*time.Millisecond), minHold+2*grantTimeout)
	qt.Assert(t, calls, qt.HasLen, 1)
	machine.endCall(at(300*time.Millisecond), calls[0], Accepted, "")
	machine.plan(at(end-time.Millisecond), 0)
	qt.Check(t, machine.freed(), qt.HasLen, 0)
}

// TestInheritedRangeWithAHigherFenceIsReleased is TestRangeWithAHigherFenceIsReleased for
// the first grant of a process that resumed the session of an earlier one.
func TestInheritedRangeWithAHigherFenceIsReleased(t *testing.T) {
	machine := newStateMachine("findings", lease)
	machine.setRanges(at(0), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned)}, server)
	calls := machine.plan(at(0), lease)
	qt.Assert(t, calls, qt.HasLen, 1)
	machine.endCall(at(10*time.Millisecond), calls[0], Fenced, "")
	qt.Check(t, machine.freed(), qt.HasLen, 0)
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
	qt.Assert(t, *calls[0] == Call{Service: "findings", Server: "d1", Born: 1000, From: 40, To: 59, Fence: 5, Release: true, plannedAt: at(100 * time.Millisecond)}, qt.IsTrue)
	qt.Assert(t, machine.freed(), qt.HasLen, 0)
	machine.endCall(at(200*time.Millisecond), calls[0], Accepted, "warm")
	qt.Assert(t, machine.freed(), qt.DeepEquals, []messenger.RangeRef{{Service: "findings", From: 40, To: 59, Fence: 5, Handover: "warm"}})
	qt.Assert(t, machine.checkHeld(at(200*time.Millisecond), 39), qt.Equals, messenger.ReasonNone)
	qt.Assert(t, machine.checkHeld(at(200*time.Millisecond), 60), qt.Equals, messenger.ReasonNone)
	machine.setRanges(at(300*time.Millisecond), []messenger.RangeRow{row(0, 39, 5, messenger.PhaseOwned), row(60, 99, 5, messenger.PhaseOwned)}, server)
	qt.Assert(t, machine.checkHeld(at(300*time.Millisecond), 50), qt.Equals, messenger.ReasonMisrouted)
}

// Guards against work that fails because the hold of its key ends while the key moves.
func TestMovingKeysAreHeldUntilTheirRequestsHaveEnded(t *testing.T) {
	moving := []messenger.RangeRow{row(0, 99, 5, messenger.PhaseMoving)}
	tests := []struct {
		name string
		key  uint32
		runs time.Duration
		// back makes the control group take the move back before the request ends.
		back bool
	}{
		{name: "no request"},
		{name: "shorter than the hold", key: 50, runs: time.Second},
		{name: "longer than the hold", key: 0, runs: 3 * lease},
		{name: "move is taken back", key: 99, runs: 2 * lease, back: true},
	}
	for _, test := range tests {
		machine, comment := newGranted(t), qt.Commentf(test.name)
		running := test.runs > 0
		if running {
			qt.Assert(t, machine.enter(at(0), test.key), qt.Equals, messenger.ReasonNone, comment)
		}
		machine.setRanges(at(100*time.Millisecond), moving, server)
		released := false
		for passed := 100 * time.Millisecond; !released && passed < 4*lease; passed += 100 * time.Millisecond {
			if running && passed > test.runs {
				machine.leave(test.key)
				running = false
			}
			if test.back && passed == lease {
				machine.setRanges(at(passed), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned)}, server)
			}
			for _, call := range machine.plan(at(passed), lease) {
				released = released || call.Release
				qt.Assert(t, call.Release && running, qt.IsFalse, comment)
				machine.endCall(at(passed), call, Accepted, "")
			}
			if running {
				qt.Assert(t, machine.keys.Find(test.key).Value.isHeld(at(passed)), qt.IsTrue, comment)
				taken := test.back && passed >= lease
				qt.Assert(t, machine.checkHeld(at(passed), 50) == messenger.ReasonNone, qt.Equals, taken, comment)
			}
		}
		qt.Check(t, released, qt.Equals, !test.back, comment)
	}
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

// TestTerminatedServerFreesNothingWhileAGrantIsInFlight terminates the server while a
// renewal is in flight. The next start of the server, under the same name, may accept it.
func TestTerminatedServerFreesNothingWhileAGrantIsInFlight(t *testing.T) {
	restartedInPlace := incarnation{name: server.name, born: restarted.born}
	tests := []struct {
		name   string
		result CallResult
		// freed reports whether the keys are free once the call has ended.
		freed bool
	}{
		{name: "not sent", result: NotSent, freed: true},
		{name: "refused by another server", result: Misdirected, freed: true},
		{name: "accepted", result: Accepted},
		{name: "unanswered", result: Unanswered},
	}
	terminations := []struct {
		name string
		act  func(machine *stateMachine)
	}{
		{name: "port refuses connections", act: func(machine *stateMachine) { machine.serverTerminated() }},
		{name: "next start announced", act: func(machine *stateMachine) {
			machine.setRanges(at(1310*time.Millisecond), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned)}, restartedInPlace)
		}},
	}
	for _, termination := range terminations {
		for _, test := range tests {
			comment := qt.Commentf("%s, %s", termination.name, test.name)
			machine := newGranted(t)
			renewal := machine.plan(at(1300*time.Millisecond), lease)
			qt.Assert(t, renewal, qt.HasLen, 1, comment)
			termination.act(machine)
			qt.Check(t, machine.freed(), qt.HasLen, 0, comment)
			machine.endCall(at(1350*time.Millisecond), renewal[0], test.result, "")
			if test.freed && termination.name == "port refuses connections" {
				qt.Check(t, machine.freed(), qt.HasLen, 1, comment)
				continue
			}
			// The keys are revoked, or wait for the end of the grant.
			qt.Check(t, machine.freed(), qt.HasLen, 0, comment)
			calls := machine.plan(at(1600*time.Millisecond), lease)
			if test.result == Unanswered {
				qt.Check(t, calls, qt.HasLen, 0, comment)
				machine.plan(at(6*time.Second), lease)
				qt.Check(t, machine.freed(), qt.HasLen, 1, comment)
				continue
			}
			qt.Assert(t, calls, qt.HasLen, 1, comment)
			qt.Check(t, calls[0].Release, qt.IsTrue, comment)
			machine.endCall(at(1610*time.Millisecond), calls[0], Accepted, "")
			qt.Check(t, machine.freed(), qt.HasLen, 1, comment)
		}
	}
}

// TestServerRestartedUnderItsNameReleasesWhatItTook restarts the server under its name
// between two renewals. It may have accepted the second one before its announcement.
func TestServerRestartedUnderItsNameReleasesWhatItTook(t *testing.T) {
	machine := newGranted(t)
	renewal := machine.plan(at(1300*time.Millisecond), lease)
	machine.endCall(at(1310*time.Millisecond), renewal[0], Accepted, "")
	rows := []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned)}
	for _, now := range []timer.Instant{at(1320 * time.Millisecond), at(1330 * time.Millisecond)} {
		machine.setRanges(now, rows, incarnation{name: server.name, born: restarted.born})
		qt.Check(t, machine.freed(), qt.HasLen, 0)
	}
	calls := machine.plan(at(1340*time.Millisecond), lease)
	qt.Assert(t, calls, qt.HasLen, 1)
	qt.Check(t, calls[0].Release, qt.IsTrue)
	machine.endCall(at(1350*time.Millisecond), calls[0], Accepted, "")
	qt.Check(t, machine.freed(), qt.HasLen, 1)
}

// TestRestartOfRouterAndServerUnderOneName restarts the router together with its server.
// The start that is announced may have taken a renewal of the router's earlier process
// under the name that it had, unless it has another name now.
func TestRestartOfRouterAndServerUnderOneName(t *testing.T) {
	tests := []struct {
		name     string
		recorded incarnation
		next     incarnation
		// early is set if the server announces itself before the ranges are known.
		early bool
		freed bool
		// released is set if the server is asked to release the keys at once.
		released bool
	}{
		{name: "same name", recorded: server, next: incarnation{name: server.name, born: restarted.born}},
		{name: "same name, announced early", recorded: server, next: incarnation{name: server.name, born: restarted.born}, early: true},
		{name: "another name", recorded: server, next: restarted, freed: true},
		{name: "another name, announced early", recorded: server, next: restarted, early: true, freed: true},
		{name: "no name is known", next: restarted, released: true},
		{name: "no name is known, announced early", next: restarted, early: true, released: true},
		{name: "another start is known", recorded: incarnation{name: server.name, born: 1}, next: restarted, released: true},
	}
	for _, test := range tests {
		comment := qt.Commentf(test.name)
		machine := newStateMachine("findings", lease)
		machine.recorded = test.recorded
		rows := []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned)}
		if test.early {
			machine.setRanges(at(0), nil, test.next)
		} else {
			machine.setRanges(at(0), rows, incarnation{})
			qt.Check(t, machine.freed(), qt.HasLen, 0, comment)
		}
		machine.setRanges(at(100*time.Millisecond), rows, test.next)
		if test.freed {
			qt.Check(t, machine.freed(), qt.HasLen, 1, comment)
			continue
		}
		qt.Check(t, machine.freed(), qt.HasLen, 0, comment)
		if test.released {
			calls := machine.plan(at(200*time.Millisecond), lease)
			qt.Assert(t, calls, qt.HasLen, 1, comment)
			qt.Check(t, calls[0].Release, qt.IsTrue, comment)
			machine.endCall(at(210*time.Millisecond), calls[0], Accepted, "")
			qt.Check(t, machine.freed(), qt.HasLen, 1, comment)
			continue
		}
		// A late grant of the earlier process could follow a release.
		qt.Check(t, machine.plan(at(lease), lease), qt.HasLen, 0, comment)
		qt.Check(t, machine.freed(), qt.HasLen, 0, comment)
		qt.Check(t, machine.plan(at(lease+2*maxDeliveryDelay), lease), qt.HasLen, 0, comment)
		qt.Check(t, machine.freed(), qt.HasLen, 1, comment)
	}
}

// TestRangesOfATerminatedServerAreFreedAtOnce gives ranges to a router whose server has
// terminated: the control group did not know of it yet.
func TestRangesOfATerminatedServerAreFreedAtOnce(t *testing.T) {
	machine := newGranted(t)
	rows := []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned), row(100, 199, 6, messenger.PhaseOwned)}
	machine.serverTerminated()
	machine.setRanges(at(100*time.Millisecond), rows, server)
	qt.Check(t, machine.plan(at(100*time.Millisecond), lease), qt.HasLen, 0)
	qt.Check(t, machine.freed(), qt.HasLen, 2)
	// It announces itself again: a port that refused connections is open again.
	machine.serverRecovered()
	machine.setRanges(at(200*time.Millisecond), append(rows[:1:1], row(100, 199, 7, messenger.PhaseOwned)), server)
	calls := machine.plan(at(200*time.Millisecond), lease)
	qt.Assert(t, calls, qt.HasLen, 1)
	qt.Check(t, calls[0].Fence, qt.Equals, uint64(7))
}

// TestStaleAnnouncementFreesNothing announces an earlier start of the server, late, to a
// router that was restarted and knows of no other. The server holds keys that were granted
// to its newest start.
func TestStaleAnnouncementFreesNothing(t *testing.T) {
	machine := newStateMachine("findings", lease)
	rows := []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned)}
	machine.setRanges(at(0), rows, incarnation{name: "d0", born: server.born - 1})
	qt.Check(t, machine.plan(at(0), lease), qt.HasLen, 0)
	qt.Check(t, machine.freed(), qt.HasLen, 0)
	qt.Check(t, machine.checkHeld(at(0), 50), qt.Equals, messenger.ReasonMoving)
	machine.setRanges(at(time.Second), rows, server)
	calls := machine.plan(at(time.Second), lease)
	qt.Assert(t, calls, qt.HasLen, 1)
	qt.Check(t, calls[0].Server, qt.Equals, server.name)

	// The newest start never announces itself to this router.
	machine = newStateMachine("findings", lease)
	machine.setRanges(at(0), rows, incarnation{name: "d0", born: server.born - 1})
	machine.plan(at(lease), lease)
	qt.Check(t, machine.freed(), qt.HasLen, 0)
	machine.plan(at(lease+time.Second), lease)
	qt.Check(t, machine.freed(), qt.HasLen, 1)
}

// TestRestartedRouterWaitsForGrantsOfItsPredecessor restarts the router while the keys
// move away. The process before may have left an unanswered grant, which the server may
// carry out after it has released the keys.
func TestRestartedRouterWaitsForGrantsOfItsPredecessor(t *testing.T) {
	tests := []struct {
		name string
		// leaseAt is when the process gets its lease, before or after the rows.
		leaseAt time.Duration
		wait    bool
	}{
		{name: "resumed session", leaseAt: time.Second, wait: true},
		{name: "granted to this process", leaseAt: 0},
	}
	for _, test := range tests {
		comment := qt.Commentf(test.name)
		machine := newStateMachine("findings", lease)
		machine.setRanges(at(0), nil, server)
		if test.leaseAt == 0 {
			machine.plan(at(0), lease)
		}
		machine.setRanges(at(0), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned)}, server)
		calls := machine.plan(at(test.leaseAt), lease)
		qt.Assert(t, calls, qt.HasLen, 1, comment)
		machine.endCall(at(test.leaseAt), calls[0], Accepted, "")
		machine.setRanges(at(1200*time.Millisecond), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseMoving)}, server)
		calls = machine.plan(at(1300*time.Millisecond), lease)
		if test.wait {
			// The server is used until the keys can be released.
			qt.Check(t, calls, qt.HasLen, 0, comment)
			qt.Check(t, machine.checkHeld(at(1300*time.Millisecond), 50), qt.Equals, messenger.ReasonNone, comment)
			calls = machine.plan(at(lease+maxDeliveryDelay), lease)
		}
		qt.Assert(t, calls, qt.HasLen, 1, comment)
		qt.Check(t, calls[0].Release, qt.IsTrue, comment)
	}
}

// TestRestartedRouterFreesNothingBeforeTheLeaseEnds makes all grants of a new process
// fail. The server may hold the keys by a grant of the process before.
func TestRestartedRouterFreesNothingBeforeTheLeaseEnds(t *testing.T) {
	machine := newStateMachine("findings", lease)
	machine.setRanges(at(0), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned)}, server)
	freedAt := time.Duration(0)
	for passed := time.Duration(0); freedAt == 0 && passed < 2*lease; passed += 100 * time.Millisecond {
		for _, call := range machine.plan(at(passed), minHold) {
			machine.endCall(at(passed), call, NotSent, "")
		}
		if len(machine.freed()) > 0 {
			freedAt = passed
		}
	}
	qt.Check(t, freedAt > lease, qt.IsTrue, qt.Commentf("freed at %s", freedAt))
}

// TestRangeWithAHigherFenceIsReleased lets the server refuse a renewal, since it has seen
// a higher fence on some of the keys. It may still hold the others.
func TestRangeWithAHigherFenceIsReleased(t *testing.T) {
	machine := newGranted(t)
	calls := machine.plan(at(1300*time.Millisecond), lease)
	machine.endCall(at(1400*time.Millisecond), calls[0], Fenced, "")
	qt.Check(t, machine.freed(), qt.HasLen, 0)
	qt.Check(t, machine.checkHeld(at(1500*time.Millisecond), 50), qt.Equals, messenger.ReasonMoving)
	calls = machine.plan(at(1500*time.Millisecond), lease)
	qt.Assert(t, calls, qt.HasLen, 1)
	qt.Check(t, calls[0].Release, qt.IsTrue)
	machine.endCall(at(1600*time.Millisecond), calls[0], Accepted, "")
	qt.Check(t, machine.freed(), qt.DeepEquals, []messenger.RangeRef{{Service: "findings", From: 0, To: 99, Fence: 5}})

	// Nothing is held after the first grant was refused.
	machine = newLeased()
	machine.setRanges(at(0), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned)}, server)
	machine.endCall(at(10*time.Millisecond), machine.plan(at(0), lease)[0], Fenced, "")
	refs := machine.freed()
	qt.Assert(t, refs, qt.HasLen, 1)
	qt.Check(t, machine.unloggedFreed(), qt.HasLen, 1)
	qt.Check(t, machine.checkHeld(at(20*time.Millisecond), 50), qt.Equals, messenger.ReasonMoving)
}

// TestSilentServerLosesItsRanges answers no call any more. Further grants must not delay
// the end of what the server may hold for ever.
func TestSilentServerLosesItsRanges(t *testing.T) {
	tests := []struct {
		name    string
		machine func() *stateMachine
	}{
		{name: "after grants that succeeded", machine: func() *stateMachine { return newGranted(t) }},
		{name: "from the first grant on", machine: func() *stateMachine {
			machine := newLeased()
			machine.setRanges(at(0), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned)}, server)
			return machine
		}},
	}
	for _, test := range tests {
		machine := test.machine()
		freedAt := time.Duration(0)
		for passed := time.Duration(0); freedAt == 0 && passed < 10*lease; passed += grantTimeout {
			for _, call := range machine.plan(at(passed), lease) {
				machine.endCall(at(passed+grantTimeout), call, Unanswered, "")
			}
			if len(machine.freed()) > 0 {
				freedAt = passed
			}
		}
		qt.Check(t, freedAt > 0 && freedAt <= 2*lease+time.Second, qt.IsTrue, qt.Commentf("%s: freed at %s", test.name, freedAt))
	}
}

// TestClockJumpFreesNothing makes the wall clock of the router's VM jump ahead: its
// lease expires immediately, but the server still holds the keys, so they are not
// free.
func TestClockJumpFreesNothing(t *testing.T) {
	machine := newGranted(t)
	held := time.Duration(clockDriftFactor * float64(machine.keys.Find(50).Value.hold))
	for _, passed := range []time.Duration{time.Second, held - time.Millisecond} {
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

// TestExpiredRangesAreFreedTogether checks that each expired range is freed, and logged
// once, in one step.
func TestExpiredRangesAreFreedTogether(t *testing.T) {
	machine := newLeased()
	var rows []messenger.RangeRow
	for n := range uint32(12) {
		rows = append(rows, row(n*100, n*100+99, uint64(5+n%2), messenger.PhaseOwned))
	}
	machine.setRanges(at(0), rows, server)
	machine.plan(at(2*lease), 0)
	qt.Check(t, machine.freed(), qt.HasLen, 12)
	qt.Check(t, machine.unloggedFreed(), qt.HasLen, 12)
	qt.Check(t, machine.unloggedFreed(), qt.HasLen, 0)
}

func TestConcurrentGrantsAreLimited(t *testing.T) {
	machine := newStateMachine("findings", lease)
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
	machine := newStateMachine("findings", lease)
	machine.setRanges(at(0), []messenger.RangeRow{row(0, 99, 5, messenger.PhaseOwned), row(100, 199, 5, messenger.PhaseOwned), row(200, 299, 6, messenger.PhaseOwned)}, server)
	calls := machine.plan(at(0), lease)
	qt.Assert(t, calls, qt.HasLen, 2)
	qt.Assert(t, calls[0].To, qt.Equals, uint32(199))
	qt.Assert(t, calls[1].From, qt.Equals, uint32(200))
}
