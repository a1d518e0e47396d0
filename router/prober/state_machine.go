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
	// minSilentProbes is how many consecutive probes must have timed out by then.
	minSilentProbes = 3
	// minExpiredRequests is how many consecutive requests must expire before traffic
	// overrides answered probes.
	minExpiredRequests = 6
	// minUnservedTime is how long no request must have been answered by then.
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
	// answered is the time of the last response of any kind, served that of the last
	// response to a request.
	answered timer.Instant
	served   timer.Instant

	silentProbes       int
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
func (j *StateMachine) State() messenger.ServerState {
	return j.state
}

// Observe adds one observation and returns the resulting state.
func (j *StateMachine) Observe(now timer.Instant, evidence Evidence) messenger.ServerState {
	switch evidence {
	case Announced:
		j.announce(now)
	case Withdrawn:
		j.withdrawn = true
	case ProbeAnswered:
		j.drainingProbes = 0
		j.probeAnswered(now)
	case ProbeDraining:
		j.drainingProbes++
		j.probeAnswered(now)
	case ProbeTimeout:
		j.silentProbes++
		j.recoveryProbes = 0
	case ProbeRefused, TrafficRefused:
		j.refusedConnections++
		j.recoveryProbes = 0
	case ServerDied:
		j.refusedConnections = max(j.refusedConnections, minRefusedConnections)
		j.recoveryProbes = 0
	case TrafficAnswered:
		j.trafficAnswered(now)
	case TrafficDisconnected:
		j.recoveryProbes = 0
	case TrafficExpired:
		j.expiredRequests++
	}
	j.state = j.decide(now)
	return j.state
}

func (j *StateMachine) announce(now timer.Instant) {
	if j.state == messenger.ServerLeaving || j.state == messenger.ServerAbsent {
		j.recoveryProbes = minRecoveryProbes - 1
	}
	j.withdrawn = false
	j.announced = now
}

func (j *StateMachine) probeAnswered(now timer.Instant) {
	j.silentProbes = 0
	j.refusedConnections = 0
	j.recoveryProbes++
	j.answered = now
}

func (j *StateMachine) trafficAnswered(now timer.Instant) {
	j.silentProbes = 0
	j.refusedConnections = 0
	j.expiredRequests = 0
	j.probesIgnoredTime = minProbesIgnoredTime
	j.answered = now
	j.served = now
}

// decide derives the state from all evidence.
func (j *StateMachine) decide(now timer.Instant) messenger.ServerState {
	if j.announced.IsZero() {
		return messenger.ServerAbsent
	}
	if j.refusedConnections >= minRefusedConnections {
		return j.unreachableState(now)
	}
	if j.isUnresponsive(now) {
		return messenger.ServerFrozen
	}
	if j.isStuck(now) {
		return messenger.ServerFrozen
	}
	if j.withdrawn || j.drainingProbes >= minDrainingProbes {
		return messenger.ServerLeaving
	}
	return j.recover()
}

// unreachableState returns the state of a server that refuses connections.
func (j *StateMachine) unreachableState(now timer.Instant) messenger.ServerState {
	if now.Since(j.announced) >= absentTimeout {
		return messenger.ServerAbsent
	}
	return messenger.ServerDown
}

// isUnresponsive reports whether neither probes nor requests are answered.
func (j *StateMachine) isUnresponsive(now timer.Instant) bool {
	return j.silentProbes >= minSilentProbes && now.Since(j.answered) >= frozenTimeout
}

// isStuck reports whether requests are not answered, regardless of probes. It starts
// the period in which probes are ignored.
func (j *StateMachine) isStuck(now timer.Instant) bool {
	if j.expiredRequests >= minExpiredRequests && now.Since(j.served) >= minUnservedTime {
		j.expiredRequests = 0
		j.recoveryProbes = 0
		j.probesIgnoredUntil = now.Add(j.probesIgnoredTime)
		j.probesIgnoredTime = min(2*j.probesIgnoredTime, maxProbesIgnoredTime)
	}
	return !j.probesIgnoredUntil.IsZero() && j.probesIgnoredUntil.Since(now) > 0
}

// recover returns the state of a server that no evidence marks as unhealthy: the
// state stays as it is until enough probes are answered.
func (j *StateMachine) recover() messenger.ServerState {
	if j.state == messenger.ServerReady {
		return messenger.ServerReady
	}
	if j.recoveryProbes < minRecoveryProbes {
		return j.state
	}
	j.expiredRequests = 0
	return messenger.ServerReady
}
