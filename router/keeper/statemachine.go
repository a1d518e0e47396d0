package keeper

import (
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// stateMachine decides how the session and the lease change on each event. It does no
// I/O and reads no clock.
type stateMachine struct {
	timing      messenger.Timing
	members     []string
	memberIndex int
	// leader is the address from the last redirect, empty without one.
	leader string
	// attempts counts the heartbeats sent since the last tick.
	attempts int

	session uint64
	// sessionRenewedAt is when the newest heartbeat that the control group accepted
	// was sent. The session expires one lease duration after it.
	sessionRenewedAt timer.Instant
	// leaseRenewedAt is when the heartbeat that renewed the lease was sent. It is
	// earlier than sessionRenewedAt while the routing table is catching up.
	leaseRenewedAt timer.Instant

	sequence uint64
	pending  *attempt
	// unanswered is the number of heartbeats sent since the last response.
	unanswered int
	// waitResponses is the number of consecutive HeartbeatWait responses, which mean that
	// the control group is still opening the session.
	waitResponses int
}

// maxEarlyHeartbeats is how many heartbeats are sent early while a session is being
// opened. A commit takes less than one MinUpdateRequestInterval; a control group that needs
// longer is overloaded and gets heartbeats at the regular interval.
const maxEarlyHeartbeats = 3

// attempt is a heartbeat that has been sent and not yet answered.
type attempt struct {
	sequence uint64
	session  uint64
	sentAt   timer.Instant
	address  string
}

// actions are what the Keeper must do after an event.
type actions struct {
	// apply requests that the delta of the response be applied.
	apply bool
	// publish requests that the session and the lease be published.
	publish bool
	// sendHeartbeat requests another heartbeat immediately.
	sendHeartbeat bool
	// sendSoon requests another heartbeat after MinUpdateRequestInterval.
	sendSoon bool
	// endedSession is the session that ended, 0 if none did.
	endedSession uint64
	// reason is the label for the heartbeat counter, empty to count nothing.
	reason string
}

func newStateMachine(members []string, timing messenger.Timing) stateMachine {
	return stateMachine{members: members, timing: timing.WithDefaults()}
}

// recordAttempt registers a heartbeat that is sent at now as the pending one.
func (m *stateMachine) recordAttempt(now timer.Instant) attempt {
	m.sequence++
	m.attempts++
	address := m.leader
	if address == "" {
		address = m.members[m.memberIndex%len(m.members)]
	}
	m.unanswered++
	m.pending = &attempt{sequence: m.sequence, session: m.session, sentAt: now, address: address}
	return *m.pending
}

// tick handles the regular heartbeat interval.
func (m *stateMachine) tick(now timer.Instant) actions {
	actions := m.checkExpiry(now)
	m.attempts = 0
	actions.sendHeartbeat = m.pending == nil
	return actions
}

// heartbeatRequested handles a change of the heartbeat's content. If a heartbeat
// without the change is pending, another one follows after MinUpdateRequestInterval.
func (m *stateMachine) heartbeatRequested(now timer.Instant) actions {
	if m.pending == nil {
		return m.tick(now)
	}
	actions := m.checkExpiry(now)
	actions.sendSoon = true
	return actions
}

// checkExpiry ends the session, or only the lease, when it has expired.
func (m *stateMachine) checkExpiry(now timer.Instant) actions {
	if m.session == 0 {
		return actions{}
	}
	if now.Since(m.sessionRenewedAt) >= m.timing.Lease {
		return m.endSession("lapsed")
	}
	if !m.leaseRenewedAt.IsZero() && now.Since(m.leaseRenewedAt) >= m.timing.Lease {
		m.leaseRenewedAt = timer.Instant{}
		return actions{publish: true}
	}
	return actions{}
}

// timeToExpiry returns the time until checkExpiry must run again.
func (m *stateMachine) timeToExpiry(now timer.Instant) time.Duration {
	if m.session == 0 {
		return m.timing.Lease
	}
	oldest := m.sessionRenewedAt
	if !m.leaseRenewedAt.IsZero() {
		oldest = m.leaseRenewedAt
	}
	return max(0, m.timing.Lease-now.Since(oldest))
}

// endSession ends the session locally. Its grants are not carried over to the next
// session.
func (m *stateMachine) endSession(reason string) actions {
	endedSession := m.session
	m.session = 0
	m.sessionRenewedAt = timer.Instant{}
	m.leaseRenewedAt = timer.Instant{}
	return actions{publish: true, endedSession: endedSession, reason: reason}
}

// heartbeatFailed handles a heartbeat that got no response, or a response that could not
// be applied.
func (m *stateMachine) heartbeatFailed(now timer.Instant, sequence uint64) actions {
	actions := m.checkExpiry(now)
	if m.pending != nil && m.pending.sequence != sequence {
		return actions
	}
	m.pending = nil
	m.selectNextMember()
	actions.sendHeartbeat = m.attempts < len(m.members)
	return actions
}

// selectNextMember drops the redirect, or without one selects the next member.
func (m *stateMachine) selectNextMember() {
	if m.leader == "" {
		m.memberIndex++
	}
	m.leader = ""
}

// handleResponse handles the response to a heartbeat. If the actions request that its
// delta be applied, the caller must then call tableApplied or heartbeatFailed.
func (m *stateMachine) handleResponse(now timer.Instant, sequence uint64, response *messenger.HeartbeatResponse) actions {
	result := m.checkExpiry(now)
	if m.pending == nil || m.pending.sequence != sequence {
		result.reason = "late"
		return result
	}
	m.unanswered = 0
	pending := *m.pending
	if result.endedSession != 0 || pending.session != m.session {
		m.pending = nil
		result.reason = "void"
		result.sendHeartbeat = true
		return result
	}
	if response.Status == messenger.HeartbeatRenewed {
		return m.handleAccepted(now, pending, response, result)
	}
	m.pending = nil
	return m.handleDeclined(pending, response, result)
}

// handleAccepted handles a response that accepts the heartbeat.
func (m *stateMachine) handleAccepted(now timer.Instant, pending attempt, response *messenger.HeartbeatResponse, result actions) actions {
	opening := pending.session == 0
	late := now.Since(pending.sentAt) >= m.timing.Lease
	if late || response.Session == 0 || (!opening && response.Session != pending.session) {
		m.pending = nil
		result.reason = "void"
		result.sendHeartbeat = m.attempts < len(m.members)
		return result
	}
	m.session = response.Session
	m.waitResponses = 0
	m.sessionRenewedAt = pending.sentAt
	result.apply = true
	result.publish = result.publish || opening
	return result
}

// handleDeclined handles a response that does not accept the heartbeat.
func (m *stateMachine) handleDeclined(pending attempt, response *messenger.HeartbeatResponse, result actions) actions {
	switch response.Status {
	case messenger.HeartbeatRedirect:
		result.reason = "redirect"
		if response.Leader == "" || response.Leader == pending.address {
			// Only some members may know the leader, such as after the loss of several
			// disks. All are asked at once, not one in each interval.
			m.selectNextMember()
			result.sendHeartbeat = m.attempts < len(m.members)
			return result
		}
		m.leader = response.Leader
		result.sendHeartbeat = m.attempts <= len(m.members)
	case messenger.HeartbeatUnconfirmed:
		result.reason = "unconfirmed"
		m.selectNextMember()
	case messenger.HeartbeatUnacknowledged:
		result.reason = "unheard"
		result.sendHeartbeat = m.attempts <= len(m.members)
	case messenger.HeartbeatWait:
		result.reason = "wait"
		m.waitResponses++
		result.sendSoon = m.waitResponses <= maxEarlyHeartbeats
	case messenger.HeartbeatExpired:
		if m.session == 0 {
			result.reason = "expired"
			return result
		}
		result = m.endSession("expired")
		result.sendHeartbeat = m.attempts <= len(m.members)
	}
	return result
}

// tableApplied renews the lease after the delta of the response was applied. If more
// deltas follow, only the session is renewed.
func (m *stateMachine) tableApplied(now timer.Instant, more bool) actions {
	pending := *m.pending
	m.pending = nil
	if more {
		m.attempts = 0
		return actions{sendHeartbeat: true, reason: "more"}
	}
	m.leaseRenewedAt = pending.sentAt
	result := m.checkExpiry(now)
	result.publish = true
	return result
}
