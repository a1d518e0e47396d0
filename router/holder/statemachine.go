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
	// inherited is set if an earlier process of this router may have granted the keys.
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

// fencedRange is a range under one fence.
type fencedRange struct {
	from  uint32
	to    uint32
	fence uint64
}

func (r fencedRange) overlaps(other fencedRange) bool {
	return r.from <= other.to && other.from <= r.to
}

// Call is a call to the backend server.
type Call struct {
	Service string
	// Server is the name of the backend server that the call is for. Any other server
	// at its address refuses the call.
	Server string
	From   uint32
	To     uint32
	Fence  uint64
	// Release revokes the keys; otherwise they are granted.
	Release bool
	// Hold and Handover are for grants.
	Hold     time.Duration
	Handover string
	// First is set for a grant of keys that the server does not hold yet.
	First bool

	plannedAt timer.Instant
}

func (c *Call) fencedRange() fencedRange {
	return fencedRange{from: c.From, to: c.To, fence: c.Fence}
}

// CallResult is the outcome of a call.
type CallResult uint8

const (
	// Accepted means that the server carried out the call.
	Accepted CallResult = iota
	// Fenced means that the server has seen a higher fence.
	Fenced
	// Misdirected means that another server is at the address, which refused the call.
	Misdirected
	// Unanswered means that the call failed but that the server may still carry it
	// out.
	Unanswered
	// NotSent means that the call cannot have reached the server.
	NotSent
)

// unconfirmedGrant is an unanswered grant that may still take effect.
type unconfirmedGrant struct {
	fencedRange
	plannedAt timer.Instant
	// validFor is the time from plannedAt during which the server may hold the keys.
	validFor time.Duration
}

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
	// terminated is set while the server is known to have ended.
	terminated bool
	// leased is set once this process had a lease. The ranges that it owns before that
	// belong to a session that an earlier process opened.
	leased            bool
	keys              *splitter.Map[keyState]
	calls             []*Call
	unconfirmedGrants []unconfirmedGrant
	// leaseDuration is the longest time for which the server may hold keys that an earlier
	// session, or an earlier process of this router, granted to it.
	leaseDuration time.Duration
	// resumeAt is the earliest time of the next call, after one that did not reach the
	// server.
	resumeAt timer.Instant
}

func newStateMachine(service string, leaseDuration time.Duration) *stateMachine {
	return &stateMachine{service: service, leaseDuration: leaseDuration, keys: splitter.New[keyState](messenger.LastKey)}
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
	next := splitter.New[keyState](messenger.LastKey)
	for _, row := range rows {
		for _, part := range m.keys.Within(row.From, row.To) {
			next.Set(part.From, part.To, m.updatedState(now, part.Value, row, previous))
		}
	}
	m.keys = next
	m.startReleases(now)
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
		return stateAfterRestart(state, previous, m.server)
	case state.phase == phaseAwaited:
		state.phase = phaseOwned
	}
	if m.terminated && state.phase == phaseOwned {
		return freedState(row.Fence, causeTerminated)
	}
	state.moving = row.Phase == messenger.PhaseMoving
	return state
}

// stateAfterRestart returns the state of keys that were granted for another start of the
// server than the current one. A server with another name has refused all calls for its
// predecessor. One with the same name may have accepted them before it announced itself,
// so it must release the keys.
func stateAfterRestart(state keyState, previous, server incarnation) keyState {
	switch {
	case state.phase == phaseFreed || state.phase == phaseReleasing && previous == server:
		return state
	case previous.name == server.name && !state.grantedAt.IsZero():
		state.phase = phaseReleasing
		state.due = timer.Instant{}
		return state
	}
	return freedState(state.fence, causeReplaced)
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

// startReleases begins to release moving keys, unless the server may still carry out an
// unanswered grant of an earlier process of this router after it has released them.
func (m *stateMachine) startReleases(now timer.Instant) {
	m.keys.Update(0, messenger.LastKey, func(v keyState) keyState {
		if v.phase == phaseOwned && v.moving && !m.isUnaccounted(now, v) {
			v.phase = phaseReleasing
			v.due = timer.Instant{}
		}
		return v
	})
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
		if piece.Value.phase != phaseOwned && piece.Value.phase != phaseReleasing {
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
		if !isDue(now, piece.Value.due) {
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

// expire deletes unconfirmed grants that have ended, and frees the ranges that the
// server can no longer hold because no grant succeeded. It uses the monotonic clock: a wall clock that jumps ahead does not end a hold at the server.
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

func stateAfterCall(now timer.Instant, v keyState, call *Call, result CallResult, handover string, server incarnation) keyState {
	switch {
	case result == Fenced && v.grantedAt.IsZero():
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
