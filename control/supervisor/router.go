package supervisor

import (
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const (
	// pauseTime is the time without a tick that counts as a pause of the
	// process.
	pauseTime = 500 * time.Millisecond
	// gatherTime is how long a new leader waits to hear of all routers before
	// it grants shards.
	gatherTime = 600 * time.Millisecond
	// settleTime is how long a service without any owner waits for more
	// servers, so that the first does not get everything.
	settleTime = time.Second
	// proposalTime is the time after which a proposal that was not applied is
	// taken as lost.
	proposalTime = 5 * time.Second
	// grantBatch is the most shards in one grant.
	grantBatch = 8192
)

// router is what the leader knows of a router from its heartbeats.
type router struct {
	// heard is when its last heartbeat came.
	heard    timer.Instant
	sequence uint64
	// instance is the process that sent it.
	instance uint64
	state    messenger.ServerState
	revision uint64
	queue    int
	stalled  int
	work     work
	// pace is that of its backend server, for services with ranges.
	pace pace
	// conduct is how often it fails requests, and born when it started.
	conduct conduct
	born    int64
	drain   drainPace
	// unreached are the sessions that it cannot reach.
	unreached []uint64
	// unreachedAt is when a majority of the others could not reach it last;
	// zero for never.
	unreachedAt timer.Instant
	// closing says that the closing of its session was proposed; it is not
	// renewed any more.
	closing bool
}

// lapseTime is the silence after which a session is closed.
func (s *Supervisor) lapseTime() time.Duration {
	return s.options.Timing.Lease + s.options.Timing.Margin
}

// isLapsed reports whether the lease of a router has lapsed for certain. The
// time of a router that was not heard of yet starts now.
func (s *Supervisor) isLapsed(session uint64, now timer.Instant) bool {
	known := s.routers[session]
	if known == nil {
		s.router(session).heard = now
		return false
	}
	return now.Since(s.calm) >= s.lapseTime() && now.Since(known.heard) >= s.lapseTime()
}

// hasSpoken reports whether a heartbeat of a router came in this term.
func (s *Supervisor) hasSpoken(session uint64) bool {
	known := s.routers[session]
	return known != nil && known.sequence > 0
}

// isReady reports whether a router can be given shards.
func (s *Supervisor) isReady(session uint64) bool {
	known := s.routers[session]
	return known != nil && known.state == messenger.ServerReady && !known.closing
}
