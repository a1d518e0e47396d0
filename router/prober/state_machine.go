package prober

import (
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// Evidence is one observation of the backend server.
type Evidence uint8

const (
	// Announced means that the server announced itself.
	Announced Evidence = iota
	// Withdrawn means that the server announced that it is leaving.
	Withdrawn
	// ProbeAnswered means that the server answered a probe.
	ProbeAnswered
	// ProbeDraining means that the health endpoint reported that the server drains.
	ProbeDraining
	// ProbeTimeout means that a probe timed out.
	ProbeTimeout
	// ProbeRefused means that a probe could not connect.
	ProbeRefused
	// TrafficAnswered means that the server answered a caller's request.
	TrafficAnswered
	// TrafficRefused means that a request could not connect.
	TrafficRefused
	// TrafficDisconnected means that a connection ended while a request ran.
	TrafficDisconnected
	// TrafficExpired means that a request was not answered before its deadline.
	TrafficExpired
	// ServerDied means that the server refused a connection just after another had broken
	// while a request ran.
	ServerDied
)

const (
	// frozenTimeout is the time without a response before a server counts as frozen.
	frozenTimeout = time.Second
	// minTimedOutProbes is how many consecutive probes must also have timed out
	// before a server counts as frozen.
	minTimedOutProbes = 3
	// minExpiredRequests is how many consecutive requests must expire before traffic
	// overrides answered probes.
	minExpiredRequests = 6
	// minUnservedTime is the time without an answered request that is also required
	// before traffic overrides answered probes.
	minUnservedTime = 2 * time.Second
	// minRefusedConnections is how many consecutive connections must be refused
	// before a server counts as down.
	minRefusedConnections = 2
	// minDrainingProbes is how many consecutive probes must report draining before a
	// server counts as leaving.
	minDrainingProbes = 3
	// minRecoveryProbes is how many consecutive probes must be answered before a
	// server counts as ready again.
	minRecoveryProbes = 2
	// minProbesIgnoredTime and maxProbesIgnoredTime bound how long probes are ignored
	// after traffic has overridden them. The time doubles with each consecutive
	// occurrence.
	minProbesIgnoredTime = 2 * time.Second
	maxProbesIgnoredTime = time.Minute
	// absentTimeout is the time without an announcement after which a server that is
	// down counts as absent.
	absentTimeout = 5 * time.Second
)

// StateMachine derives the state of the backend server from evidence. Health reports can be
// wrong, so the outcomes of real requests override the results of probes. A change
// needs several consecutive observations, so that single failures do not change the
// state.
type StateMachine struct {
	state     messenger.ServerState
	withdrawn bool
	announced timer.Instant
	// answered is the time of the last response of any kind, served the time of the
	// last response to a request.
	answered timer.Instant
	served   timer.Instant

	timedOutProbes     int
	refusedConnections int
	expiredRequests    int
	drainingProbes     int
	recoveryProbes     int

	// Probes are ignored until probesIgnoredUntil; probesIgnoredTime is the length of
	// the next such period.
	probesIgnoredUntil timer.Instant
	probesIgnoredTime  time.Duration
}

// NewStateMachine returns a StateMachine without evidence.
func NewStateMachine() *StateMachine {
	return &StateMachine{state: messenger.ServerAbsent, probesIgnoredTime: minProbesIgnoredTime}
}

// State returns the current state.
func (m *StateMachine) State() messenger.ServerState {
	return m.state
}

// Observe adds one observation and returns the resulting state.
func (m *StateMachine) Observe(now timer.Instant, evidence Evidence) messenger.ServerState {
	switch evidence {
	case Announced:
		m.announce(now)
	case Withdrawn:
		m.withdrawn = true
	case ProbeAnswered:
		m.drainingProbes = 0
		m.probeAnswered(now)
	case ProbeDraining:
		m.drainingProbes++
		m.probeAnswered(now)
	case ProbeTimeout:
		m.timedOutProbes++
		m.recoveryProbes = 0
	case ProbeRefused, TrafficRefused:
		m.refusedConnections++
		m.recoveryProbes = 0
	case ServerDied:
		m.refusedConnections = max(m.refusedConnections, minRefusedConnections)
		m.recoveryProbes = 0
	case TrafficAnswered:
		m.trafficAnswered(now)
	case TrafficDisconnected:
		m.recoveryProbes = 0
	case TrafficExpired:
		m.expiredRequests++
	}
	m.state = m.decide(now)
	return m.state
}

func (m *StateMachine) announce(now timer.Instant) {
	if m.state == messenger.ServerLeaving || m.state == messenger.ServerAbsent {
		m.recoveryProbes = minRecoveryProbes - 1
	}
	m.withdrawn = false
	m.announced = now
}

func (m *StateMachine) probeAnswered(now timer.Instant) {
	m.timedOutProbes = 0
	m.refusedConnections = 0
	m.recoveryProbes++
	m.answered = now
}

func (m *StateMachine) trafficAnswered(now timer.Instant) {
	m.timedOutProbes = 0
	m.refusedConnections = 0
	m.expiredRequests = 0
	m.probesIgnoredTime = minProbesIgnoredTime
	m.answered = now
	m.served = now
}

// decide derives the state from all evidence.
func (m *StateMachine) decide(now timer.Instant) messenger.ServerState {
	if m.announced.IsZero() {
		return messenger.ServerAbsent
	}
	if m.refusedConnections >= minRefusedConnections {
		return m.unreachableState(now)
	}
	if m.isUnresponsive(now) {
		return messenger.ServerFrozen
	}
	if m.isStuck(now) {
		return messenger.ServerFrozen
	}
	if m.withdrawn || m.drainingProbes >= minDrainingProbes {
		return messenger.ServerLeaving
	}
	return m.recover()
}

// unreachableState returns the state of a server that refuses connections.
func (m *StateMachine) unreachableState(now timer.Instant) messenger.ServerState {
	if now.Since(m.announced) >= absentTimeout {
		return messenger.ServerAbsent
	}
	return messenger.ServerDown
}

// isUnresponsive reports whether neither probes nor requests are answered.
func (m *StateMachine) isUnresponsive(now timer.Instant) bool {
	return m.timedOutProbes >= minTimedOutProbes && now.Since(m.answered) >= frozenTimeout
}

// isStuck reports whether requests are not answered, regardless of probes. It starts
// the period in which probes are ignored.
func (m *StateMachine) isStuck(now timer.Instant) bool {
	if m.expiredRequests >= minExpiredRequests && now.Since(m.served) >= minUnservedTime {
		m.expiredRequests = 0
		m.recoveryProbes = 0
		m.probesIgnoredUntil = now.Add(m.probesIgnoredTime)
		m.probesIgnoredTime = min(2*m.probesIgnoredTime, maxProbesIgnoredTime)
	}
	return !m.probesIgnoredUntil.IsZero() && m.probesIgnoredUntil.Since(now) > 0
}

// recover returns the state of a server that no evidence marks as unhealthy: the
// state stays as it is until enough probes are answered.
func (m *StateMachine) recover() messenger.ServerState {
	if m.state == messenger.ServerReady {
		return messenger.ServerReady
	}
	if m.recoveryProbes < minRecoveryProbes {
		return m.state
	}
	m.expiredRequests = 0
	return messenger.ServerReady
}
