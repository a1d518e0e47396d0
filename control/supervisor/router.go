package supervisor

import (
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const (
	// pauseThreshold is the time without a tick from which the process is treated
	// as having paused.
	pauseThreshold = 500 * time.Millisecond
	// reportWait is how long a new leader waits for heartbeats of all routers
	// before it grants shards.
	reportWait = 600 * time.Millisecond
	// firstGrantDelay is how long a service without any owner waits for more
	// servers, so that the first does not get all shards.
	firstGrantDelay = time.Second
	// proposalTimeout is the time after which a proposal that was not applied is
	// treated as lost.
	proposalTimeout = 5 * time.Second
	// maxGrantShards is the maximum number of shards in one grant.
	maxGrantShards = 8192
)

// routerState is what the leader keeps for a router, from its heartbeats.
type routerState struct {
	// received is when its last heartbeat was received.
	received timer.Instant
	sequence uint64
	// instance is the process that sent it.
	instance uint64
	state    messenger.ServerState
	revision uint64
	queue    int
	stalled  int
	workload workload
	// requestTime is the mean request time of its backend server, for services with
	// ranges.
	requestTime requestTime
	// failureRate is the failure rate of its backend server, born the start time of
	// that server.
	failureRate failureRate
	born        int64
	drain       drainProgress
	// unreachable lists the sessions that it cannot reach.
	unreachable []uint64
	// excludedUntil is until when it gets no shards, as others could not reach it.
	excludedUntil timer.Instant
	// provenAt is when it last proved to be alive after it may have been down or stood
	// still.
	provenAt timer.Instant
	// closing reports that the closing of its session was proposed. The session is
	// then not renewed any more.
	closing bool
}

// expiryTime is the time without heartbeats after which a session is closed.
func (s *Supervisor) expiryTime() time.Duration {
	return s.options.Timing.Lease + s.options.Timing.Margin
}

// isExpired reports whether the lease of a router has certainly expired. For a
// router without a heartbeat in this term, the time starts now. It uses the monotonic
// clock: a wall clock that is set forward ends no lease at the router.
func (s *Supervisor) isExpired(session uint64, now timer.Instant) bool {
	router := s.routers[session]
	if router == nil {
		s.routerState(session).received = now
		return false
	}
	return now.SinceMonotonic(s.graceStart) >= s.expiryTime() && now.SinceMonotonic(router.received) >= s.expiryTime()
}

// hasReported reports whether a heartbeat of a router was received in this term.
func (s *Supervisor) hasReported(session uint64) bool {
	router := s.routers[session]
	return router != nil && router.sequence > 0
}

// isReady reports whether a router can be given shards.
func (s *Supervisor) isReady(session uint64) bool {
	router := s.routers[session]
	return router != nil && router.state == messenger.ServerReady && !router.closing
}
