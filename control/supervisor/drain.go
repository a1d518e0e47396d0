package supervisor

import (
	"fmt"
	"time"

	"marigoldhill/control/assigner"
	"marigoldhill/control/balancer"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const (
	// drainInterval is the time between two steps of a drain.
	drainInterval = 400 * time.Millisecond
	// drainSteps is the number of steps of a drain, so that a leaving server gets
	// no new requests after drainSteps-1 intervals and a heartbeat.
	drainSteps = 5
)

// drainProgress is the progress of a session that is drained.
type drainProgress struct {
	stepShards int
	lastStep   timer.Instant
}

// drainLeaving moves the shards of leaving sessions to others, in a few steps.
func (s *Supervisor) drainLeaving(now timer.Instant, batch *batch) {
	for _, session := range s.state.Sessions() {
		staying := session.Owned - session.Moving
		router := s.routers[session.Row.Session]
		if router == nil {
			continue
		}
		if !session.Row.Leaving {
			router.drain = drainProgress{}
			continue
		}
		if staying == 0 {
			continue
		}
		if t := s.state.Table(session.Service()); t != nil {
			s.drainSession(now, t, session, staying, batch)
		}
	}
}

func (s *Supervisor) drainSession(now timer.Instant, t *assigner.Table, session *assigner.Session, staying int, batch *batch) {
	number := session.Row.Session
	router := s.routerState(number)
	progress := &router.drain
	if progress.stepShards > 0 && now.Since(progress.lastStep) < drainInterval {
		return
	}
	if router.isExcluded(now) {
		// Its keys are unreachable already, so there is no reason to drain
		// gradually.
		progress.stepShards = staying
	}
	if progress.stepShards == 0 {
		progress.stepShards = (staying + drainSteps - 1) / drainSteps
	}
	servers := s.servers(t)
	if len(servers) == 0 {
		return
	}
	var moves []balancer.Move
	for _, placement := range balancer.Place(s.stayingShards(t, number, progress.stepShards), servers) {
		for _, shard := range placement.Shards {
			moves = append(moves, balancer.Move{Shard: shard, From: number, To: placement.Session})
		}
	}
	subject := fmt.Sprintf("drain/%d", number)
	if s.proposeMoves(t, moves, subject, "drain of "+session.Row.Router, batch) {
		progress.lastStep = now
	}
}

// stayingShards lists up to limit shards that a session owns and that are not
// moving.
func (s *Supervisor) stayingShards(t *assigner.Table, session uint64, limit int) []uint32 {
	var shards []uint32
	for number := range t.Size() {
		ownership := t.Ownership(number)
		if ownership.Owner == session && ownership.Phase == messenger.PhaseOwned && len(shards) < limit {
			shards = append(shards, number)
		}
	}
	return shards
}
