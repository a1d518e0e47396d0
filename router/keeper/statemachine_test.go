package keeper

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// at returns the instant d after the start of the test, on both clocks.
func at(d time.Duration) timer.Instant {
	return timer.Instant{}.Add(time.Hour + d)
}

func renewedResponse(session uint64) *messenger.HeartbeatResponse {
	return &messenger.HeartbeatResponse{Status: messenger.HeartbeatRenewed, Session: session}
}

// openedSession returns a state machine whose session 7 was opened by a heartbeat sent
// at 0.
func openedSession(t *testing.T) *stateMachine {
	machine := newStateMachine([]string{"a", "b", "c"}, messenger.Timing{})
	machine.tick(at(0))
	attempt := machine.recordAttempt(at(0))
	actions := machine.handleResponse(at(time.Millisecond), attempt.sequence, renewedResponse(7))
	qt.Assert(t, actions.apply, qt.IsTrue)
	actions = machine.tableApplied(at(2*time.Millisecond), false)
	qt.Assert(t, actions.publish, qt.IsTrue)
	qt.Assert(t, machine.leaseRenewedAt, qt.Equals, at(0))
	return &machine
}

func TestLeaseIsCountedFromSending(t *testing.T) {
	machine := openedSession(t)
	attempt := machine.recordAttempt(at(300 * time.Millisecond))
	machine.handleResponse(at(550*time.Millisecond), attempt.sequence, renewedResponse(7))
	machine.tableApplied(at(560*time.Millisecond), false)
	lease := NewTestLease(machine.session, machine.leaseRenewedAt)
	qt.Assert(t, lease.IsLeaseValid(at(1799*time.Millisecond)), qt.IsTrue)
	qt.Assert(t, lease.IsLeaseValid(at(1800*time.Millisecond)), qt.IsFalse)
}

func TestWallClockEndsLease(t *testing.T) {
	lease := NewTestLease(7, at(0))
	now := at(10 * time.Millisecond)
	qt.Assert(t, lease.IsLeaseValid(now), qt.IsTrue)
	// The VM was suspended: only the wall clock advanced.
	now.Wall += 2 * time.Second
	qt.Assert(t, lease.IsLeaseValid(now), qt.IsFalse)
}

// TestHeartbeatResponses passes one response to a heartbeat that was sent at 300 ms in
// session 7. A late, foreign or incomplete response must not renew the lease.
func TestHeartbeatResponses(t *testing.T) {
	tests := []struct {
		name           string
		response       messenger.HeartbeatResponse
		now            time.Duration
		sequenceOffset uint64
		session        uint64
		leaseRenewedAt time.Duration
		apply          bool
		leader         string
		wantSend       bool
		sessionEnded   bool
	}{
		{name: "alive", response: *renewedResponse(7), now: 400 * time.Millisecond, session: 7, leaseRenewedAt: 300 * time.Millisecond, apply: true},
		{name: "out of order", response: *renewedResponse(7), now: 400 * time.Millisecond, sequenceOffset: 1, session: 7},
		{name: "after the session expired", response: *renewedResponse(7), now: 1500 * time.Millisecond, wantSend: true, sessionEnded: true},
		{name: "for another session", response: *renewedResponse(8), now: 400 * time.Millisecond, session: 7, wantSend: true},
		{
			name: "more", response: messenger.HeartbeatResponse{Status: messenger.HeartbeatRenewed, Session: 7, More: true},
			now: 400 * time.Millisecond, session: 7, apply: true, wantSend: true,
		},
		{
			name: "redirect", response: messenger.HeartbeatResponse{Status: messenger.HeartbeatRedirect, Leader: "c"},
			now: 400 * time.Millisecond, session: 7, leader: "c", wantSend: true,
		},
		{
			name: "unconfirmed", response: messenger.HeartbeatResponse{Status: messenger.HeartbeatUnconfirmed},
			now: 400 * time.Millisecond, session: 7,
		},
		{
			name: "expired", response: messenger.HeartbeatResponse{Status: messenger.HeartbeatExpired},
			now: 400 * time.Millisecond, wantSend: true, sessionEnded: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			machine := openedSession(t)
			machine.tick(at(300 * time.Millisecond))
			attempt := machine.recordAttempt(at(300 * time.Millisecond))
			actions := machine.handleResponse(at(test.now), attempt.sequence+test.sequenceOffset, &test.response)
			qt.Assert(t, actions.apply, qt.Equals, test.apply)
			endedSession := actions.endedSession
			if actions.apply {
				actions = machine.tableApplied(at(test.now), test.response.More)
			}
			qt.Assert(t, machine.session, qt.Equals, test.session)
			qt.Assert(t, endedSession == 7, qt.Equals, test.sessionEnded)
			qt.Assert(t, machine.leader, qt.Equals, test.leader)
			qt.Assert(t, actions.sendHeartbeat, qt.Equals, test.wantSend)
			if test.session != 0 {
				qt.Assert(t, machine.leaseRenewedAt, qt.Equals, at(test.leaseRenewedAt))
			} else {
				qt.Assert(t, machine.leaseRenewedAt.IsZero(), qt.IsTrue)
			}
		})
	}
}

func TestLateResponseOpensNoSession(t *testing.T) {
	machine := newStateMachine([]string{"a"}, messenger.Timing{})
	machine.tick(at(0))
	attempt := machine.recordAttempt(at(0))
	actions := machine.handleResponse(at(messenger.LeaseDuration), attempt.sequence, renewedResponse(7))
	qt.Assert(t, actions.apply, qt.IsFalse)
	qt.Assert(t, machine.session, qt.Equals, uint64(0))
}

func TestLeaseIsNotRenewedWithoutTheTable(t *testing.T) {
	machine := openedSession(t)
	attempt := machine.recordAttempt(at(300 * time.Millisecond))
	machine.handleResponse(at(400*time.Millisecond), attempt.sequence, renewedResponse(7))
	machine.heartbeatFailed(at(400*time.Millisecond), attempt.sequence)
	qt.Assert(t, machine.leaseRenewedAt, qt.Equals, at(0))
}

// triedMembers returns the members that heartbeats are sent to in one interval if each of them
// ends with the same outcome.
func triedMembers(end func(m *stateMachine, sequence uint64) actions) []string {
	machine := newStateMachine([]string{"a", "b", "c"}, messenger.Timing{})
	machine.tick(at(0))
	var tried []string
	for {
		attempt := machine.recordAttempt(at(0))
		tried = append(tried, attempt.address)
		if !end(&machine, attempt.sequence).sendHeartbeat {
			return tried
		}
	}
}

func TestUnresponsiveMembersAreSkipped(t *testing.T) {
	tried := triedMembers(func(m *stateMachine, sequence uint64) actions { return m.heartbeatFailed(at(0), sequence) })
	qt.Assert(t, tried, qt.DeepEquals, []string{"a", "b", "c"})
}

// Guards against routers that take an interval for each member without a leader to name:
// after a power loss in which replicas lost their disks, all routers had no lease for
// 0.8 s after the election, as they asked the replicas that were not members yet.
func TestMembersThatKnowNoLeaderAreSkipped(t *testing.T) {
	tried := triedMembers(func(m *stateMachine, sequence uint64) actions {
		return m.handleResponse(at(0), sequence, &messenger.HeartbeatResponse{Status: messenger.HeartbeatRedirect})
	})
	qt.Assert(t, tried, qt.DeepEquals, []string{"a", "b", "c"})
}

func TestRenewalKeepsDoneOpen(t *testing.T) {
	granted := NewTestLease(7, at(0))
	renewed := granted.successor(7, at(300*time.Millisecond))
	qt.Assert(t, renewed.Done() == granted.Done(), qt.IsTrue)
	reopened := renewed.successor(8, at(300*time.Millisecond))
	qt.Assert(t, reopened.Done() == granted.Done(), qt.IsFalse)
}
