package holder

import (
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/splitter"
	"marigoldhill/kernel/timer"
)

// plan returns the calls that are due. No hold outlasts the lease.
func (m *stateMachine) plan(now timer.Instant, leaseRemaining time.Duration) []*Call {
	m.leased = m.leased || leaseRemaining > 0
	m.startReleases(now)
	m.expire(now)
	if m.server == (incarnation{}) || !isDue(now, m.resumeAt) {
		return nil
	}
	var due []*Call
	grants := 0
	for _, call := range m.calls {
		if !call.Release {
			grants++
		}
	}
	for _, group := range m.groups() {
		call := m.nextCall(now, leaseRemaining, group)
		if call == nil || (!call.Release && grants >= maxConcurrentGrants) {
			continue
		}
		if !call.Release {
			grants++
		}
		call.plannedAt = now
		m.calls = append(m.calls, call)
		due = append(due, call)
	}
	return due
}

// startReleases begins to release moving keys, once no request for them runs. It waits
// while the server may still carry out an unanswered grant of an earlier process of this
// router after it has released them.
func (m *stateMachine) startReleases(now timer.Instant) {
	m.keys.Update(0, messenger.LastKey, func(v keyState) keyState {
		if v.phase == phaseOwned && v.moving && !m.isUnaccounted(now, v) {
			v.phase = phaseDraining
		}
		return v
	})
	for _, piece := range m.keys.Within(0, messenger.LastKey) {
		if value := piece.Value; value.phase == phaseDraining && !m.isBusy(piece.From, piece.To) {
			value.phase = phaseReleasing
			value.due = timer.Instant{}
			m.keys.Set(piece.From, piece.To, value)
		}
	}
}

// isBusy reports whether requests for some of the keys run.
func (m *stateMachine) isBusy(from, to uint32) bool {
	for key := range m.running {
		if key >= from && key <= to {
			return true
		}
	}
	return false
}

// isUnaccounted reports whether an unanswered grant of an earlier process of this router
// may still give the keys to the server.
func (m *stateMachine) isUnaccounted(now timer.Instant, v keyState) bool {
	return v.inherited && now.SinceMonotonic(v.receivedAt) < m.leaseDuration+maxDeliveryDelay
}

// groups returns the pieces in groups of adjacent ones that one call can cover.
func (m *stateMachine) groups() [][]splitter.Piece[keyState] {
	var groups [][]splitter.Piece[keyState]
	for _, piece := range m.keys.Pieces() {
		switch piece.Value.phase {
		case phaseOwned, phaseDraining, phaseReleasing:
		default:
			continue
		}
		if last := len(groups) - 1; last >= 0 && canMerge(groups[last][len(groups[last])-1], piece) {
			groups[last] = append(groups[last], piece)
			continue
		}
		groups = append(groups, []splitter.Piece[keyState]{piece})
	}
	return groups
}

func canMerge(a, b splitter.Piece[keyState]) bool {
	return a.To+1 == b.From && a.Value.fence == b.Value.fence &&
		a.Value.phase == b.Value.phase && a.Value.handover == b.Value.handover
}

func (m *stateMachine) nextCall(now timer.Instant, leaseRemaining time.Duration, group []splitter.Piece[keyState]) *Call {
	first := group[0]
	call := &Call{
		Service: m.service,
		Server:  m.server.name,
		Born:    m.server.born,
		From:    first.From,
		To:      group[len(group)-1].To,
		Fence:   first.Value.fence,
	}
	if m.hasCallInFlight(call.fencedRange()) {
		return nil
	}
	if first.Value.phase == phaseReleasing {
		return m.planRelease(now, group, call)
	}
	return m.planGrant(now, leaseRemaining, group, call)
}

// hasCallInFlight reports whether a call for some of the keys is in flight.
func (m *stateMachine) hasCallInFlight(keys fencedRange) bool {
	for _, call := range m.calls {
		if call.fencedRange().overlaps(keys) {
			return true
		}
	}
	return false
}

// hasGrantInFlight reports whether a grant of some of the keys to the current server, or
// to one of the same name, is in flight.
func (m *stateMachine) hasGrantInFlight(keys fencedRange) bool {
	for _, call := range m.calls {
		if !call.Release && call.Server == m.server.name && call.fencedRange().overlaps(keys) {
			return true
		}
	}
	return false
}

func (m *stateMachine) planGrant(now timer.Instant, leaseRemaining time.Duration, group []splitter.Piece[keyState], call *Call) *Call {
	// The server counts the hold from the arrival of the call.
	hold := time.Duration(float64(leaseRemaining-grantTimeout) / clockDriftFactor)
	if hold < minHold {
		return nil
	}
	due := false
	for _, piece := range group {
		value := piece.Value
		needsGrant := value.grantedAt.IsZero() || now.Since(value.grantedAt) >= time.Duration(renewFraction*float64(value.hold))
		due = due || (needsGrant && isDue(now, value.due))
		call.First = call.First || value.grantedAt.IsZero()
	}
	if !due {
		return nil
	}
	call.Hold = hold
	call.Handover = group[0].Value.handover
	return call
}

func isDue(now, due timer.Instant) bool {
	return due.IsZero() || now.Mono >= due.Mono
}

// planRelease returns a call that releases keys, once no unanswered grant can take
// effect any more: such a grant would give the keys to the server again.
func (m *stateMachine) planRelease(now timer.Instant, group []splitter.Piece[keyState], call *Call) *Call {
	for _, piece := range group {
		if !isDue(now, piece.Value.due) || m.isUnaccounted(now, piece.Value) {
			return nil
		}
	}
	if m.hasUnconfirmedGrant(call.fencedRange()) {
		return nil
	}
	call.Release = true
	return call
}

func (m *stateMachine) hasUnconfirmedGrant(keys fencedRange) bool {
	for _, entry := range m.unconfirmedGrants {
		if entry.overlaps(keys) {
			return true
		}
	}
	return false
}
