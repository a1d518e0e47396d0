package keeper

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
)

// TestUnansweredIsCounted loses two responses and then receives a HeartbeatUnacknowledged
// response, which resets the count but does not renew the lease.
func TestUnansweredIsCounted(t *testing.T) {
	machine := openedSession(t)
	for failed := range 2 {
		qt.Assert(t, machine.unanswered, qt.Equals, failed)
		attempt := machine.recordAttempt(at(300 * time.Millisecond))
		machine.heartbeatFailed(at(550*time.Millisecond), attempt.sequence)
	}
	qt.Assert(t, machine.unanswered, qt.Equals, 2)
	machine.tick(at(600 * time.Millisecond))
	attempt := machine.recordAttempt(at(600 * time.Millisecond))
	unacknowledged := &messenger.HeartbeatResponse{Status: messenger.HeartbeatUnacknowledged, Session: 7}
	actions := machine.handleResponse(at(610*time.Millisecond), attempt.sequence, unacknowledged)
	qt.Assert(t, actions.sendHeartbeat, qt.IsTrue)
	qt.Assert(t, actions.apply, qt.IsFalse)
	qt.Assert(t, machine.leaseRenewedAt, qt.Equals, at(0))
	qt.Assert(t, machine.unanswered, qt.Equals, 0)
}
