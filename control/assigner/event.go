package assigner

import (
	"fmt"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
)

// maxGrantEvents is the maximum number of sessions in one command for which each
// gets its own event.
const maxGrantEvents = 8

// OwnerPart is the part of an owner change that concerns one session.
type OwnerPart struct {
	Session uint64
	Router  string
	Shards  ShardSet
}

// OwnerChange is one change of shard owners, kept for explanations.
type OwnerChange struct {
	Revision uint64
	Time     int64
	Service  string
	Why      string
	Parts    []OwnerPart
}

// event records a cluster event.
func (s *State) event(event logger.Event, subject, text string) {
	s.events.add(messenger.ClusterEvent{
		Revision: s.applied,
		Time:     s.time,
		Number:   event.Number,
		Subject:  subject,
		Text:     text,
	})
}

// Events returns the events after a revision, oldest first.
func (s *State) Events(after uint64) []messenger.ClusterEvent {
	var events []messenger.ClusterEvent
	for _, event := range s.events.values {
		if event.Revision > after {
			events = append(events, event)
		}
	}
	return events
}

// notice records an event reported by the leader.
func (s *State) notice(command *Notice) Result {
	s.events.add(messenger.ClusterEvent{
		Revision: s.applied,
		Time:     s.time,
		Number:   command.Number,
		Subject:  command.Subject,
		Text:     command.Text,
	})
	return applied(s.applied, 0)
}

// addHistory records that a session became the owner of shards. Calls with the
// same service and reason within one command extend the same OwnerChange.
func (s *State) addHistory(t *Table, session *Session, shards []uint32, reason string) {
	if len(shards) == 0 {
		return
	}
	part := OwnerPart{Session: session.Row.Session, Router: session.Row.Router, Shards: NewShardSet(shards)}
	if last := len(s.history.values) - 1; last >= 0 {
		change := &s.history.values[last]
		if change.Revision == s.applied && change.Service == t.Service.Name && change.Why == reason {
			change.Parts = append(change.Parts, part)
			return
		}
	}
	s.history.add(OwnerChange{
		Revision: s.applied,
		Time:     s.time,
		Service:  t.Service.Name,
		Why:      reason,
		Parts:    []OwnerPart{part},
	})
}

// recordGrantEvents records events for the owner changes made by the command being
// applied: one event per session, or a single one for more than maxGrantEvents
// sessions.
func (s *State) recordGrantEvents() {
	first := len(s.history.values)
	for first > 0 && s.history.values[first-1].Revision == s.applied {
		first--
	}
	for n := range s.history.values[first:] {
		s.recordGrantEvent(&s.history.values[first+n])
	}
}

func (s *State) recordGrantEvent(change *OwnerChange) {
	total := 0
	for _, part := range change.Parts {
		count := part.Shards.Len()
		total += count
		if len(change.Parts) <= maxGrantEvents {
			s.event(logger.ShardsGranted, part.Router, fmt.Sprintf("%d shards of %s: %s", count, change.Service, change.Why))
		}
	}
	if len(change.Parts) > maxGrantEvents {
		s.event(logger.ShardsGranted, change.Service, fmt.Sprintf("%d shards to %d routers: %s", total, len(change.Parts), change.Why))
	}
}

// addMoveHistory records the planned moves of shards from one session to others.
func (s *State) addMoveHistory(from *Session, moved map[serviceSession][]uint32) {
	for _, t := range s.Tables() {
		for _, target := range s.Sessions() {
			pair := serviceSession{service: t.Service.Name, session: target.Row.Session}
			if len(moved[pair]) > 0 {
				s.addHistory(t, target, moved[pair], "moved from "+from.Row.Router)
			}
		}
	}
}

// History returns the owner changes of a shard, newest first.
func (s *State) History(service string, shard uint32, limit int) []OwnerChange {
	var changes []OwnerChange
	for n := len(s.history.values) - 1; n >= 0 && len(changes) < limit; n-- {
		change := s.history.values[n]
		if change.Service != service {
			continue
		}
		for _, part := range change.Parts {
			if part.Shards.Has(shard) {
				change.Parts = []OwnerPart{part}
				changes = append(changes, change)
				break
			}
		}
	}
	return changes
}
