package holder

import (
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// phase is the state of keys at this router.
type phase uint8

const (
	// phaseNone means that this router does not own the keys.
	phaseNone phase = iota
	// phaseAwaited means that the keys were granted for a later start of the backend
	// server than the one that is known. That start may hold them, by a grant of an earlier
	// process of this router.
	phaseAwaited
	// phaseOwned means that the backend server must hold the keys.
	phaseOwned
	// phaseDraining means that the keys move and the server still runs requests for them.
	// It must hold the keys until these have ended, and gets no more.
	phaseDraining
	// phaseReleasing means that the keys must be released.
	phaseReleasing
	// phaseFreed means that the backend server no longer holds the keys.
	phaseFreed
)

// freeCause is why keys became free.
type freeCause string

const (
	causeReleased   freeCause = "released"
	causeExpired    freeCause = "expired"
	causeFenced     freeCause = "fenced"
	causeTerminated freeCause = "terminated"
	causeReplaced   freeCause = "replaced"
)

// keyState is the state of a range of keys.
type keyState struct {
	phase phase
	fence uint64
	// cause is why freed keys are free; logged is set once that was logged.
	cause  freeCause
	logged bool
	// handover is the handover token of the previous holder or, for freed keys, the
	// token of this one.
	handover string
	// receivedAt is when this router became the owner of the range.
	receivedAt timer.Instant
	// inherited is set if the keys may have been granted by an earlier process of this
	// router, or before its session ended and was resumed.
	inherited bool
	// moving is set when the keys must be released.
	moving bool
	// grantedAt is when the newest successful grant was planned, zero before the first;
	// hold is its duration.
	grantedAt timer.Instant
	hold      time.Duration
	// heldUntil is the latest moment at which any grant that the server accepted can end,
	// on the monotonic clock.
	heldUntil time.Duration
	// due is the earliest time of the next call.
	due timer.Instant
}

func freedState(fence uint64, cause freeCause) keyState {
	return keyState{phase: phaseFreed, fence: fence, cause: cause}
}

// isHeld reports whether the backend server is certain to hold the keys.
func (s keyState) isHeld(now timer.Instant) bool {
	return !s.grantedAt.IsZero() && now.Since(s.grantedAt) < s.hold
}

// updatedState returns the state of a part of a range, given its row. previous is the
// server that the state is about.
func (m *stateMachine) updatedState(now timer.Instant, state keyState, row messenger.RangeRow, previous incarnation) keyState {
	if state.phase == phaseNone || state.fence != row.Fence {
		state = keyState{phase: phaseOwned, fence: row.Fence, handover: row.Handover, receivedAt: now, inherited: !m.leased}
	}
	switch {
	case row.Life > m.server.born && state.phase != phaseFreed:
		state.phase = phaseAwaited
	case row.Life != m.server.born:
		return m.stateAfterRestart(state, row, previous)
	case state.phase == phaseAwaited:
		state.phase = phaseOwned
	}
	if m.terminated && (state.phase == phaseOwned || state.phase == phaseDraining) {
		return freedState(row.Fence, causeTerminated)
	}
	state.moving = row.Phase == messenger.PhaseMoving
	if state.phase == phaseDraining && !state.moving {
		state.phase = phaseOwned
	}
	return state
}

// stateAfterRestart returns the state of keys that were granted for another start of the
// server than the current one. A server with another name has refused all calls for its
// predecessor. One with the same name may have accepted them before it announced itself,
// so it must release the keys.
func (m *stateMachine) stateAfterRestart(state keyState, row messenger.RangeRow, previous incarnation) keyState {
	sameName := previous.name == m.server.name
	switch {
	case state.phase == phaseFreed || state.phase == phaseReleasing && previous == m.server:
		return state
	case state.grantedAt.IsZero() && state.inherited:
		// An earlier process of this router may have granted the keys, to the server that
		// the session knows. Without a name of it, the server is asked to release them: a
		// late grant that follows is for a name that is hardly the same.
		known := m.recorded.born == row.Life
		sameName = !known || m.recorded.name == m.server.name
		state.inherited = known
	case state.grantedAt.IsZero():
		sameName = false
	}
	if !sameName {
		return freedState(state.fence, causeReplaced)
	}
	state.phase = phaseReleasing
	state.due = timer.Instant{}
	return state
}

func stateAfterCall(now timer.Instant, v keyState, call *Call, result CallResult, handover string, server incarnation) keyState {
	switch {
	case result == Fenced && v.grantedAt.IsZero() && !v.inherited:
		return freedState(v.fence, causeFenced)
	case result == Fenced:
		// The server may still hold those of the keys for which it saw no higher fence.
		v.phase = phaseReleasing
		v.due = timer.Instant{}
	case result == Accepted && call.Release && v.phase == phaseReleasing:
		freed := freedState(v.fence, causeReleased)
		freed.handover = handover
		return freed
	case result == Accepted && !call.Release:
		if v.phase == phaseFreed && call.Server == server.name {
			// The next start of the server accepted it.
			v.phase = phaseReleasing
		}
		v.grantedAt = call.plannedAt
		v.hold = call.Hold
		v.heldUntil = max(v.heldUntil, now.Mono+time.Duration(clockDriftFactor*float64(call.Hold)))
		v.due = timer.Instant{}
	default:
		v.due = now.Add(retryInterval)
	}
	return v
}
