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
	// drainSteps is how many steps a drain takes, so that a leaving server
	// gets no new work after drainSteps-1 intervals and a heartbeat.
	drainSteps = 5
)

// drainPace is how fast a session gives its shards away.
type drainPace struct {
	step int
	at   timer.Instant
}

// drainLeaving moves the shards of leaving sessions to others, in a few steps.
func (s *Supervisor) drainLeaving(now timer.Instant, batch *batch) {
	for _, session := range s.state.Sessions() {
		staying := session.Owned - session.Moving
		known := s.routers[session.Row.Session]
		if known == nil {
			continue
		}
		if !session.Row.Leaving {
			known.drain = drainPace{}
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
	known := s.router(number)
	pace := &known.drain
	if pace.step > 0 && now.Since(pace.at) < drainInterval {
		return
	}
	if known.isAvoided(now) {
		// Its keys are out of reach already, so there is nothing to spare.
		pace.step = staying
	}
	if pace.step == 0 {
		pace.step = (staying + drainSteps - 1) / drainSteps
	}
	servers := s.servers(t)
	if len(servers) == 0 {
		return
	}
	var moves []balancer.Move
	for _, placement := range balancer.Place(s.stayingShards(t, number, pace.step), servers) {
		for _, shard := range placement.Shards {
			moves = append(moves, balancer.Move{Shard: shard, From: number, To: placement.Session})
		}
	}
	subject := fmt.Sprintf("drain/%d", number)
	if s.proposeMoves(t, moves, subject, "drain of "+session.Row.Router, batch) {
		pace.at = now
	}
}

// stayingShards lists up to limit shards that a session owns and that do not
// move.
func (s *Supervisor) stayingShards(t *assigner.Table, session uint64, limit int) []uint32 {
	var shards []uint32
	for number := range t.Size() {
		cell := t.Ownership(number)
		if cell.Owner == session && cell.Phase == messenger.PhaseOwned && len(shards) < limit {
			shards = append(shards, number)
		}
	}
	return shards
}
