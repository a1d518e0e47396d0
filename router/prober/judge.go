package prober

import (
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// Evidence is one thing that was seen of the backend server.
type Evidence uint8

// The kinds of evidence.
const (
	// Announced means that it announced itself.
	Announced Evidence = iota
	// Withdrawn means that it said that it leaves.
	Withdrawn
	// ProbeAnswered means that it answered a probe.
	ProbeAnswered
	// ProbeDraining means that its health endpoint says that it drains.
	ProbeDraining
	// ProbeSilent means that a probe got no answer in time.
	ProbeSilent
	// ProbeRefused means that a probe could not connect.
	ProbeRefused
	// TrafficAnswered means that it answered a caller's request.
	TrafficAnswered
	// TrafficRefused means that a request could not connect.
	TrafficRefused
	// TrafficBroken means that a connection ended while a request ran.
	TrafficBroken
	// TrafficExpired means that a request got no answer before its deadline.
	TrafficExpired
	// Died means that it refused a connection right after one broke while a
	// request ran.
	Died
)

const (
	// frozenTime is how long a server is silent before it counts as frozen.
	frozenTime = time.Second
	// frozenProbes is how many probes in a row must be silent as well.
	frozenProbes = 3
	// expiredRequests is how many requests in a row must expire before traffic
	// overrules answers to probes.
	expiredRequests = 6
	// expiredTime is how long no request must have been answered by then.
	expiredTime = 2 * time.Second
	// refusedConnections is how many connections in a row must be refused
	// before a server counts as down.
	refusedConnections = 2
	// drainingProbes is how many probes in a row must say draining.
	drainingProbes = 3
	// recoveryProbes is how many probes in a row must be answered before a
	// server is ready again.
	recoveryProbes = 2
	// holdMin and holdMax bound how long probes are not believed after traffic
	// overruled them. The time doubles on each occurrence in a row.
	holdMin = 2 * time.Second
	holdMax = time.Minute
	// absentTime is how long a server that is down may fail to announce itself
	// before it counts as absent.
	absentTime = 5 * time.Second
)

// Judge decides on the state of the backend server. Reports mislead, so what
// the router itself sees of real requests goes before what probes say; runs of
// equal evidence are needed for each change, so that the state does not switch
// on single failures.
type Judge struct {
	state     messenger.ServerState
	withdrawn bool
	announced timer.Instant
	// answered is the newest answer of any kind, served the newest one to a
	// request.
	answered timer.Instant
	served   timer.Instant

	silent   int
	refused  int
	expired  int
	draining int
	recovery int

	// held is until when probes are not believed, hold for how long.
	held timer.Instant
	hold time.Duration
}

// NewJudge returns a Judge that has seen nothing yet.
func NewJudge() *Judge {
	return &Judge{state: messenger.ServerAbsent, hold: holdMin}
}

// State is the newest verdict.
func (j *Judge) State() messenger.ServerState {
	return j.state
}

// Take adds one piece of evidence and returns the state that follows.
func (j *Judge) Take(now timer.Instant, evidence Evidence) messenger.ServerState {
	switch evidence {
	case Announced:
		j.announce(now)
	case Withdrawn:
		j.withdrawn = true
	case ProbeAnswered:
		j.draining = 0
		j.probeAnswered(now)
	case ProbeDraining:
		j.draining++
		j.probeAnswered(now)
	case ProbeSilent:
		j.silent++
		j.recovery = 0
	case ProbeRefused, TrafficRefused:
		j.refused++
		j.recovery = 0
	case Died:
		j.refused = max(j.refused, refusedConnections)
		j.recovery = 0
	case TrafficAnswered:
		j.trafficAnswered(now)
	case TrafficBroken:
		j.recovery = 0
	case TrafficExpired:
		j.expired++
	}
	j.state = j.decide(now)
	return j.state
}

func (j *Judge) announce(now timer.Instant) {
	if j.state == messenger.ServerLeaving || j.state == messenger.ServerAbsent {
		j.recovery = recoveryProbes - 1
	}
	j.withdrawn = false
	j.announced = now
}

func (j *Judge) probeAnswered(now timer.Instant) {
	j.silent = 0
	j.refused = 0
	j.recovery++
	j.answered = now
}

func (j *Judge) trafficAnswered(now timer.Instant) {
	j.silent = 0
	j.refused = 0
	j.expired = 0
	j.hold = holdMin
	j.answered = now
	j.served = now
}

// decide weighs the evidence.
func (j *Judge) decide(now timer.Instant) messenger.ServerState {
	if j.announced.IsZero() {
		return messenger.ServerAbsent
	}
	if j.refused >= refusedConnections {
		return j.unreachable(now)
	}
	if j.isSilent(now) {
		return messenger.ServerFrozen
	}
	if j.isStuck(now) {
		return messenger.ServerFrozen
	}
	if j.withdrawn || j.draining >= drainingProbes {
		return messenger.ServerLeaving
	}
	return j.recover()
}

// unreachable is the state of a server that refuses connections.
func (j *Judge) unreachable(now timer.Instant) messenger.ServerState {
	if now.Since(j.announced) >= absentTime {
		return messenger.ServerAbsent
	}
	return messenger.ServerDown
}

// isSilent reports whether neither probes nor requests are answered.
func (j *Judge) isSilent(now timer.Instant) bool {
	return j.silent >= frozenProbes && now.Since(j.answered) >= frozenTime
}

// isStuck reports whether requests are not answered, whatever probes say. It
// starts the time in which probes are not believed.
func (j *Judge) isStuck(now timer.Instant) bool {
	if j.expired >= expiredRequests && now.Since(j.served) >= expiredTime {
		j.expired = 0
		j.recovery = 0
		j.held = now.Add(j.hold)
		j.hold = min(2*j.hold, holdMax)
	}
	return !j.held.IsZero() && j.held.Since(now) > 0
}

// recover is the state of a server that looks well.
func (j *Judge) recover() messenger.ServerState {
	if j.state == messenger.ServerReady {
		return messenger.ServerReady
	}
	if j.recovery < recoveryProbes {
		return j.state
	}
	j.expired = 0
	return messenger.ServerReady
}
