package assigner

import (
	"fmt"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
)

// grant gives free shards to sessions. Shards that have an owner, and sessions
// that are closed, are passed over.
func (s *State) grant(command *Grant) Result {
	t := s.tables[command.Service]
	if t == nil {
		return void()
	}
	total := 0
	for _, placement := range command.Placements {
		session := s.sessions[placement.Session]
		if session == nil || session.Service() != command.Service {
			continue
		}
		total += s.grantTo(t, session, placement.Shards, command.Why)
	}
	if total == 0 {
		return void()
	}
	s.tellGrants()
	return applied(s.applied, total)
}

func (s *State) grantTo(t *Table, session *Session, shards ShardSet, why string) int {
	var granted []uint32
	shards.Each(func(number uint32) bool {
		if number < t.Size() && t.InUse(number) && t.shards[number].phase == messenger.PhaseFree {
			s.own(t, number, session, CausePlaced)
			granted = append(granted, number)
		}
		return true
	})
	s.remember(t, session, granted, why)
	return len(granted)
}

// own makes a session the owner of a shard under a new fence.
func (s *State) own(t *Table, number uint32, session *Session, cause Cause) {
	cell := &t.shards[number]
	s.measureGrant(t, cell, session)
	cell.fence = s.applied
	cell.last = session.Row.Session
	cell.cause = cause
	s.setShard(t, number, session.Row.Session, messenger.PhaseOwned)
	session.Granted = true
}

// measureGrant counts a grant of a shard that was owned before.
func (s *State) measureGrant(t *Table, cell *shard, session *Session) {
	if cell.last == 0 {
		return
	}
	t.measures.addGap(s.time, s.time-cell.since)
	if cell.last != session.Row.Session {
		t.measures.addChange(s.time)
	}
}

// move starts planned moves of owned shards.
func (s *State) move(command *Move) Result {
	t := s.tables[command.Service]
	if t == nil {
		return void()
	}
	total := 0
	for _, placement := range command.Placements {
		target := s.sessions[placement.Session]
		if target == nil || target.Service() != command.Service || target.Row.Leaving {
			continue
		}
		total += s.moveTo(t, target, placement.Shards)
	}
	if total == 0 {
		return void()
	}
	s.event(logger.ShardsMoving, command.Service, fmt.Sprintf("%d shards: %s", total, command.Why))
	return applied(s.applied, total)
}

func (s *State) moveTo(t *Table, target *Session, shards ShardSet) int {
	total := 0
	shards.Each(func(number uint32) bool {
		if number >= t.Size() {
			return true
		}
		cell := &t.shards[number]
		if cell.phase != messenger.PhaseOwned || cell.owner == target.Row.Session {
			return true
		}
		t.next[number] = target.Row.Session
		s.setShard(t, number, cell.owner, messenger.PhaseMoving)
		total++
		return true
	})
	return total
}

// release takes shards back from an owner that serves them no more. A moving
// shard goes to its next owner at once, if that one is open still.
func (s *State) release(command *Release) Result {
	session := s.sessions[command.Session]
	if session == nil {
		return void()
	}
	moved := make(map[shardOwner][]uint32)
	total := 0
	for _, ref := range command.Shards {
		if !s.Owns(command.Session, ref) {
			continue
		}
		total++
		if target := s.releaseShard(s.tables[ref.Service], ref.Shard, session); target != nil {
			pair := shardOwner{service: ref.Service, session: target.Row.Session}
			moved[pair] = append(moved[pair], ref.Shard)
		}
	}
	if total == 0 {
		return void()
	}
	s.rememberMoves(session, moved)
	s.tellGrants()
	return applied(s.applied, total)
}

// shardOwner names a session as the owner of shards of a service.
type shardOwner struct {
	service string
	session uint64
}

// releaseShard frees a shard and returns the session that got it, if any.
func (s *State) releaseShard(t *Table, number uint32, session *Session) *Session {
	planned := t.shards[number].phase == messenger.PhaseMoving
	target := s.sessions[t.next[number]]
	s.keepRecords(t, number, session, planned)
	if target == nil || target.Service() != t.Service.Name || target.Row.Leaving {
		s.setShard(t, number, 0, messenger.PhaseFree)
		return nil
	}
	s.own(t, number, target, CauseMoved)
	return target
}

// freeShards frees all shards of closed sessions, and ends the moves to them.
func (s *State) freeShards(gone []*Session, silence int64) {
	closed := make(map[uint64]*Session, len(gone))
	for _, session := range gone {
		closed[session.Row.Session] = session
	}
	for _, t := range s.Tables() {
		for number := range t.Size() {
			s.freeShard(t, number, closed, silence)
		}
		s.dropSurvivors(t, closed)
		if t.forgets > 0 {
			s.event(logger.RecordsForgotten, t.Service.Name, fmt.Sprintf("%d shards", t.forgets))
			t.forgets = 0
		}
	}
}

func (s *State) freeShard(t *Table, number uint32, closed map[uint64]*Session, silence int64) {
	cell := &t.shards[number]
	if cell.owner == 0 {
		return
	}
	if session := closed[cell.owner]; session != nil {
		s.inheritRecords(t, number, session)
		s.setShard(t, number, 0, messenger.PhaseFree)
		cell.since = min(cell.since, s.time-silence)
		return
	}
	if cell.phase != messenger.PhaseMoving {
		return
	}
	if _, lost := closed[t.next[number]]; lost {
		t.measures.addGap(s.time, s.time-cell.since)
		s.setShard(t, number, cell.owner, messenger.PhaseOwned)
	}
}
