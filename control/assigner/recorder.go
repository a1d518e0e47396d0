package assigner

import (
	"fmt"
	"slices"

	"marigoldhill/kernel/logger"
)

// scarceAccept is the value of Service.Scarce that allows non-idempotent
// requests to be accepted with too few recorders.
const scarceAccept = "accept"

// updateRecording sets Recording once a session may accept non-idempotent requests.
// It is never reset, because records may exist from then on.
func (s *State) updateRecording(session *Session) {
	t := s.tables[session.Service()]
	if t == nil {
		return
	}
	enough := len(session.Row.Recorders) >= t.Service.Recorders
	if enough || t.Service.Scarce == scarceAccept {
		session.Recording = true
	}
}

// join adds joining recorders to a session. A session that never owned a shard has
// no records to copy, so they become full recorders at once.
func (s *State) join(command *Join) Result {
	session := s.sessions[command.Session]
	if session == nil {
		return void()
	}
	var joining []uint64
	for _, number := range command.Joining {
		if s.canJoin(session, number) && !slices.Contains(joining, number) {
			joining = append(joining, number)
		}
	}
	if len(joining) == 0 {
		return void()
	}
	if session.Granted {
		session.Row.Joining = slices.Concat(session.Row.Joining, joining)
	} else {
		session.Row.Recorders = slices.Concat(session.Row.Recorders, joining)
	}
	s.updateRecording(session)
	s.markSessionChanged(session)
	return applied(s.applied, len(joining))
}

func (s *State) canJoin(session *Session, number uint64) bool {
	return s.sessions[number] != nil &&
		number != session.Row.Session &&
		!slices.Contains(session.Row.Recorders, number) &&
		!slices.Contains(session.Row.Joining, number)
}

// copied turns joining recorders into full recorders and removes leaving recorders
// that are no longer needed.
func (s *State) copied(command *Copied) Result {
	session := s.sessions[command.Session]
	if session == nil {
		return void()
	}
	var joined []uint64
	for _, number := range command.Joined {
		if session.IsJoining(number) && !slices.Contains(joined, number) {
			joined = append(joined, number)
		}
	}
	if len(joined) == 0 {
		return void()
	}
	session.Row.Joining = without(session.Row.Joining, func(n uint64) bool { return slices.Contains(joined, n) })
	session.Row.Recorders = slices.Concat(session.Row.Recorders, joined)
	s.removeLeavingRecorders(session)
	s.updateRecording(session)
	s.markSessionChanged(session)
	return applied(s.applied, len(joined))
}

// removeLeavingRecorders removes leaving recorders as long as the session has more
// recorders than the service requires.
func (s *State) removeLeavingRecorders(session *Session) {
	t := s.tables[session.Service()]
	if t == nil {
		return
	}
	surplus := len(session.Row.Recorders) - t.Service.Recorders
	session.Row.Recorders = without(session.Row.Recorders, func(number uint64) bool {
		if surplus <= 0 || !s.sessions[number].Row.Leaving {
			return false
		}
		surplus--
		return true
	})
}

// removeClosedRecorders removes closed sessions from all recorder sets, including
// those of the closed sessions themselves.
func (s *State) removeClosedRecorders(closedSessions []*Session) {
	isClosed := func(number uint64) bool { return s.sessions[number] == nil }
	for _, session := range closedSessions {
		session.Row.Recorders = without(session.Row.Recorders, isClosed)
	}
	for _, session := range s.Sessions() {
		recorders := without(session.Row.Recorders, isClosed)
		joining := without(session.Row.Joining, isClosed)
		lost := len(session.Row.Recorders) - len(recorders)
		if lost == 0 && len(session.Row.Joining) == len(joining) {
			continue
		}
		session.Row.Recorders = recorders
		session.Row.Joining = joining
		s.markSessionChanged(session)
		if lost > 0 {
			s.event(logger.RecordersLost, session.Row.Router, fmt.Sprintf("%d lost, %d left", lost, len(recorders)))
		}
	}
}

// without returns a copy of numbers without those for which drop returns true.
func without(numbers []uint64, drop func(uint64) bool) []uint64 {
	return slices.DeleteFunc(slices.Clone(numbers), drop)
}

// AllRecorders returns the recorders of a session, including joining ones.
func (s *Session) AllRecorders() []uint64 {
	return slices.Concat(s.Row.Recorders, s.Row.Joining)
}

// IsJoining reports whether a session is a joining recorder.
func (s *Session) IsJoining(number uint64) bool {
	return slices.Contains(s.Row.Joining, number)
}

// HasRecorder reports whether a session is a full or joining recorder.
func (s *Session) HasRecorder(number uint64) bool {
	return slices.Contains(s.Row.Recorders, number) || slices.Contains(s.Row.Joining, number)
}
