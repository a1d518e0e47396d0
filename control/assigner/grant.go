package assigner

import (
	"fmt"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
)

// grant makes sessions the owners of free shards. It skips owned shards and closed
// sessions.
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
		total += s.grantShards(t, session, placement.Shards, command.Why)
	}
	if total == 0 {
		return void()
	}
	s.recordGrantEvents()
	return applied(s.applied, total)
}

func (s *State) grantShards(t *Table, session *Session, shards ShardSet, reason string) int {
	var granted []uint32
	shards.Each(func(number uint32) bool {
		if number < t.Size() && t.InUse(number) && t.shards[number].phase == messenger.PhaseFree {
			s.own(t, number, session, CausePlaced)
			granted = append(granted, number)
		}
		return true
	})
	s.addHistory(t, session, granted, reason)
	return len(granted)
}

// own makes a session the owner of a shard under a new fence, the log index being
// applied.
func (s *State) own(t *Table, number uint32, session *Session, cause Cause) {
	entry := &t.shards[number]
	s.countGrant(t, entry, session)
	entry.fence = s.applied
	entry.last = session.Row.Session
	entry.cause = cause
	s.setShard(t, number, session.Row.Session, messenger.PhaseOwned)
	session.Granted = true
}

// countGrant updates churn and unavailable time for the grant of a shard that was
// owned before.
func (s *State) countGrant(t *Table, entry *shard, session *Session) {
	if entry.last == 0 {
		return
	}
	t.measures.addGap(s.time, s.time-entry.since)
	if entry.last != session.Row.Session {
		t.measures.addChange(s.time)
	}
}

// move starts planned moves of owned shards to other sessions.
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
		total += s.startMoves(t, target, placement.Shards)
	}
	if total == 0 {
		return void()
	}
	s.event(logger.ShardsMoving, command.Service, fmt.Sprintf("%d shards: %s", total, command.Why))
	return applied(s.applied, total)
}

func (s *State) startMoves(t *Table, target *Session, shards ShardSet) int {
	total := 0
	shards.Each(func(number uint32) bool {
		if number >= t.Size() {
			return true
		}
		entry := &t.shards[number]
		if entry.phase != messenger.PhaseOwned || entry.owner == target.Row.Session {
			return true
		}
		t.next[number] = target.Row.Session
		s.setShard(t, number, entry.owner, messenger.PhaseMoving)
		total++
		return true
	})
	return total
}

// release ends the ownership of shards that the owner no longer serves. A moving
// shard goes to its next owner at once, provided that its session is still open.
func (s *State) release(command *Release) Result {
	session := s.sessions[command.Session]
	if session == nil {
		return void()
	}
	moved := make(map[serviceSession][]uint32)
	total := 0
	for _, ref := range command.Shards {
		if !s.Owns(command.Session, ref) {
			continue
		}
		total++
		if target := s.releaseShard(s.tables[ref.Service], ref.Shard, session); target != nil {
			pair := serviceSession{service: ref.Service, session: target.Row.Session}
			moved[pair] = append(moved[pair], ref.Shard)
		}
	}
	if total == 0 {
		return void()
	}
	s.addMoveHistory(session, moved)
	s.recordGrantEvents()
	return applied(s.applied, total)
}

// serviceSession is a map key for the shards of a service that go to a session.
type serviceSession struct {
	service string
	session uint64
}

// releaseShard releases a shard and returns its next owner, or nil if the shard is
// now free.
func (s *State) releaseShard(t *Table, number uint32, session *Session) *Session {
	planned := t.shards[number].phase == messenger.PhaseMoving
	target := s.sessions[t.next[number]]
	s.setHoldersAfterRelease(t, number, session, planned)
	if target == nil || target.Service() != t.Service.Name || target.Row.Leaving {
		s.setShard(t, number, 0, messenger.PhaseFree)
		return nil
	}
	s.own(t, number, target, CauseMoved)
	return target
}

// freeShards frees all shards of closed sessions and cancels the moves to them.
func (s *State) freeShards(closedSessions []*Session, silence int64) {
	closed := make(map[uint64]*Session, len(closedSessions))
	for _, session := range closedSessions {
		closed[session.Row.Session] = session
	}
	for _, t := range s.Tables() {
		for number := range t.Size() {
			s.freeShard(t, number, closed, silence)
		}
		s.removeClosedHolders(t, closed)
		if t.forgottenShards > 0 {
			s.event(logger.RecordCopiesLost, t.Service.Name, fmt.Sprintf("%d shards", t.forgottenShards))
			t.forgottenShards = 0
		}
	}
}

func (s *State) freeShard(t *Table, number uint32, closed map[uint64]*Session, silence int64) {
	entry := &t.shards[number]
	if entry.owner == 0 {
		return
	}
	if session := closed[entry.owner]; session != nil {
		s.setHoldersAfterLoss(t, number, session)
		s.setShard(t, number, 0, messenger.PhaseFree)
		entry.since = min(entry.since, s.time-silence)
		return
	}
	if entry.phase != messenger.PhaseMoving {
		return
	}
	if _, lost := closed[t.next[number]]; lost {
		t.measures.addGap(s.time, s.time-entry.since)
		s.setShard(t, number, entry.owner, messenger.PhaseOwned)
	}
}
