package holder

import (
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/splitter"
	"marigoldhill/kernel/timer"
)

const (
	// clockDriftFactor is how much longer than granted a backend server may hold keys,
	// since its clock may run up to 2% slow.
	clockDriftFactor = 1.02
	// maxDeliveryDelay is the maximum time that an unanswered call may still take to
	// reach the server. It is short because the server is on the same VM.
	maxDeliveryDelay = 250 * time.Millisecond
	// minHold is the shortest hold that is granted; a shorter one is not worth a call.
	minHold = 500 * time.Millisecond
	// renewFraction is the fraction of a hold after which it is renewed. It leaves
	// time for two more attempts before the hold ends.
	renewFraction = 0.4
	// grantFailureTimeout is how long the grants of a new range may fail before the
	// range is given up. It covers the restart of a frozen server.
	grantFailureTimeout = 2 * time.Second
	// maxConcurrentGrants is the maximum number of grants in flight. Each needs a
	// connection of its own, and a new connection briefly occupies a slot of the
	// server.
	maxConcurrentGrants = 2
	// retryInterval is the time between two attempts of a failed call.
	retryInterval = 150 * time.Millisecond
)

// incarnation identifies one start of a backend server.
type incarnation struct {
	name string
	// born is when it started, in Unix milliseconds.
	born int64
}

// stateMachine decides on grants and releases. It does no I/O and reads no clock.
type stateMachine struct {
	service string
	// server is zero before a server has announced itself.
	server incarnation
	// recorded is the server that the session of this router knew before this process had
	// an announcement of one.
	recorded incarnation
	// terminated is set while the server is known to have ended.
	terminated bool
	// leased is set while this process has had a lease since it last owned no ranges. The
	// ranges that it owns before that belong to a session that ended, or that an earlier
	// process opened.
	leased            bool
	keys              *splitter.Map[keyState]
	calls             []*Call
	unconfirmedGrants []unconfirmedGrant
	// running counts the requests that the server runs, by key.
	running map[uint32]int
	// leaseDuration is the longest time for which the server may hold keys that an earlier
	// session, or an earlier process of this router, granted to it.
	leaseDuration time.Duration
	// resumeAt is the earliest time of the next call, after one that did not reach the
	// server.
	resumeAt timer.Instant
}

func newStateMachine(service string, leaseDuration time.Duration) *stateMachine {
	return &stateMachine{service: service, leaseDuration: leaseDuration, keys: splitter.New[keyState](messenger.LastKey), running: make(map[uint32]int)}
}

// setRanges updates the ranges that the session of this router owns. Ranges that were
// granted for another incarnation of the server are given up.
func (m *stateMachine) setRanges(now timer.Instant, rows []messenger.RangeRow, server incarnation) {
	previous := m.server
	if previous != server {
		m.server = server
		m.terminated = false
		m.resumeAt = timer.Instant{}
	}
	if previous.name != server.name {
		m.unconfirmedGrants = nil
	}
	// Without ranges the session may have ended; what is owned after that may be held by a
	// grant of which the state is gone.
	m.leased = m.leased && len(rows) > 0
	next := splitter.New[keyState](messenger.LastKey)
	for _, row := range rows {
		for _, part := range m.keys.Within(row.From, row.To) {
			next.Set(part.From, part.To, m.updatedState(now, part.Value, row, previous))
		}
	}
	m.keys = next
	m.startReleases(now)
}

// serverTerminated frees all keys, since the server has terminated and holds nothing any
// more.
func (m *stateMachine) serverTerminated() {
	if m.terminated {
		return
	}
	m.terminated = true
	m.unconfirmedGrants = nil
	m.keys.Update(0, messenger.LastKey, func(v keyState) keyState {
		if v.phase == phaseNone || v.phase == phaseFreed {
			return v
		}
		return freedState(v.fence, causeTerminated)
	})
}

// serverRecovered ends the effect of serverTerminated: the server has announced itself
// again.
func (m *stateMachine) serverRecovered() {
	m.terminated = false
}

// expire deletes unconfirmed grants that have ended, and frees the ranges that the server
// can no longer hold because no grant succeeded. It uses the monotonic clock: a wall clock
// that jumps ahead does not end a hold at the server.
func (m *stateMachine) expire(now timer.Instant) {
	kept := m.unconfirmedGrants[:0]
	for _, entry := range m.unconfirmedGrants {
		if now.SinceMonotonic(entry.plannedAt) < entry.validFor {
			kept = append(kept, entry)
		}
	}
	m.unconfirmedGrants = kept
	for _, piece := range m.keys.Within(0, messenger.LastKey) {
		value := piece.Value
		if value.phase == phaseNone || value.phase == phaseFreed {
			continue
		}
		expired := now.Mono >= value.heldUntil
		if value.grantedAt.IsZero() {
			expired = now.SinceMonotonic(value.receivedAt) >= max(grantFailureTimeout, m.leaseDuration+maxDeliveryDelay)
		}
		keyRange := fencedRange{from: piece.From, to: piece.To}
		if !expired || m.isUnaccounted(now, value) {
			continue
		}
		if m.hasUnconfirmedGrant(keyRange) {
			// Further grants would only delay the end of what the server may hold.
			value.phase = phaseReleasing
			m.keys.Set(piece.From, piece.To, value)
			continue
		}
		if !m.hasCallInFlight(keyRange) {
			m.keys.Set(piece.From, piece.To, freedState(value.fence, causeExpired))
		}
	}
}

// endCall handles the outcome of a call.
func (m *stateMachine) endCall(now timer.Instant, call *Call, result CallResult, handover string) {
	for n, other := range m.calls {
		if other == call {
			m.calls = append(m.calls[:n], m.calls[n+1:]...)
			break
		}
	}
	if result == Unanswered && !call.Release && call.Server == m.server.name {
		validFor := now.SinceMonotonic(call.plannedAt) + maxDeliveryDelay + time.Duration(clockDriftFactor*float64(call.Hold))
		m.unconfirmedGrants = append(m.unconfirmedGrants, unconfirmedGrant{fencedRange: call.fencedRange(), plannedAt: call.plannedAt, validFor: validFor})
	}
	if result == NotSent || result == Misdirected {
		m.resumeAt = now.Add(retryInterval)
	}
	m.keys.Update(call.From, call.To, func(v keyState) keyState {
		if v.phase == phaseNone || v.fence != call.Fence {
			return v
		}
		return stateAfterCall(now, v, call, result, handover, m.server)
	})
}

// freed returns the ranges that the server no longer holds, and that no grant in flight
// can give to it any more.
func (m *stateMachine) freed() []messenger.RangeRef {
	var refs []messenger.RangeRef
	for _, piece := range m.keys.Pieces() {
		keyRange := fencedRange{from: piece.From, to: piece.To}
		if piece.Value.phase != phaseFreed || m.hasUnconfirmedGrant(keyRange) || m.hasGrantInFlight(keyRange) {
			continue
		}
		refs = append(refs, messenger.RangeRef{
			Service:  m.service,
			From:     piece.From,
			To:       piece.To,
			Fence:    piece.Value.fence,
			Handover: piece.Value.handover,
		})
	}
	return refs
}

// freedRange is a range that became free.
type freedRange struct {
	fencedRange
	cause freeCause
}

// unloggedFreed returns the ranges that became free since the last call.
func (m *stateMachine) unloggedFreed() []freedRange {
	var ranges []freedRange
	for _, piece := range m.keys.Within(0, messenger.LastKey) {
		value := piece.Value
		if value.phase != phaseFreed || value.logged {
			continue
		}
		ranges = append(ranges, freedRange{fencedRange{piece.From, piece.To, value.fence}, value.cause})
		value.logged = true
		m.keys.Set(piece.From, piece.To, value)
	}
	return ranges
}

// checkHeld returns ReasonNone if the server holds a key and may receive requests for
// it, or the reason why not.
func (m *stateMachine) checkHeld(now timer.Instant, key uint32) messenger.Reason {
	value := m.keys.Find(key).Value
	switch {
	case value.phase == phaseNone:
		return messenger.ReasonMisrouted
	case value.phase != phaseOwned || !value.isHeld(now):
		return messenger.ReasonMoving
	}
	return messenger.ReasonNone
}

// enter counts a request for a key as running if checkHeld returns ReasonNone.
func (m *stateMachine) enter(now timer.Instant, key uint32) messenger.Reason {
	reason := m.checkHeld(now, key)
	if reason == messenger.ReasonNone {
		m.running[key]++
	}
	return reason
}

// leave ends what enter has begun.
func (m *stateMachine) leave(key uint32) {
	m.running[key]--
	if m.running[key] <= 0 {
		delete(m.running, key)
	}
}

// isEmpty reports whether this router owns no keys.
func (m *stateMachine) isEmpty() bool {
	return m.count() == 0
}

// count returns the number of owned ranges.
func (m *stateMachine) count() int {
	owned := 0
	for _, piece := range m.keys.Pieces() {
		if piece.Value.phase != phaseNone {
			owned++
		}
	}
	return owned
}
