package assigner

import (
	"cmp"
	"fmt"
	"slices"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
)

// Session is the session of one instance of a router.
type Session struct {
	Row      messenger.SessionRow
	Instance uint64
	// Opened is the time of its opening in milliseconds.
	Opened int64
	// Changed is the revision of the last change of Row.
	Changed uint64
	// Stopping says that the router itself is leaving, apart from any drain.
	Stopping bool
	// Routed says that its router serves the routes of a configuration, so that
	// it owns ranges of keys in place of shards.
	Routed bool
	// Granted says that it owned a shard at some time.
	Granted bool
	// Recording says that it may have accepted non-idempotent work, so that
	// its records matter when it loses a shard.
	Recording bool
	// Report is the number of its last report of a death.
	Report uint64
	// Owned and Moving count its shards; they are derived.
	Owned  int `msgpack:"-"`
	Moving int `msgpack:"-"`
}

// Service is the name of the service that its backend server serves, or empty.
func (s *Session) Service() string {
	if s.Row.Server == nil {
		return ""
	}
	return s.Row.Server.Service
}

// life is the start of its backend server, 0 without one.
func (s *Session) life() int64 {
	if s.Row.Server == nil {
		return 0
	}
	return s.Row.Server.Born
}

// Session returns an open session, or nil.
func (s *State) Session(number uint64) *Session {
	return s.sessions[number]
}

// SessionOf returns the open session of a router, or nil.
func (s *State) SessionOf(router string) *Session {
	return s.sessions[s.routers[router]]
}

// Sessions returns the open sessions in rising order. The list is shared and
// must not be changed.
func (s *State) Sessions() []*Session {
	if s.sorted != nil {
		return s.sorted
	}
	s.sorted = make([]*Session, 0, len(s.sessions))
	for _, session := range s.sessions {
		s.sorted = append(s.sorted, session)
	}
	slices.SortFunc(s.sorted, func(a, b *Session) int {
		return cmp.Compare(a.Row.Session, b.Row.Session)
	})
	return s.sorted
}

// open opens a session, unless one of the same router is open.
func (s *State) open(command *Open) Result {
	if number, taken := s.routers[command.Router]; taken {
		if s.sessions[number].Instance == command.Instance {
			return applied(number, 0)
		}
		return void()
	}
	session := &Session{
		Row: messenger.SessionRow{
			Session: s.applied,
			Router:  command.Router,
			Address: command.Address,
			Domain:  command.Domain,
			Region:  command.Region,
			Server:  command.Server,
		},
		Instance: command.Instance,
		Opened:   s.time,
		Stopping: command.Leaving,
		Routed:   command.Routed,
	}
	s.sessions[s.applied] = session
	s.sorted = nil
	s.routers[command.Router] = s.applied
	s.settle(session)
	s.event(logger.SessionOpened, command.Router,
		fmt.Sprintf("session %d at %s in domain %s", s.applied, command.Address, command.Domain))
	return applied(s.applied, 1)
}

// update replaces what a session said of itself.
func (s *State) update(command *Update) Result {
	session := s.sessions[command.Session]
	if session == nil {
		return void()
	}
	session.Row.Address = command.Address
	session.Row.Domain = command.Domain
	session.Row.Region = command.Region
	session.Row.Server = command.Server
	session.Stopping = command.Leaving
	s.settle(session)
	return applied(s.applied, 1)
}

// settle brings what follows from a session's own words up to date.
func (s *State) settle(session *Session) {
	session.Row.Leaving = session.Stopping || s.isDrained(session)
	if !session.Routed {
		s.ensureService(session)
	}
	s.updateRecording(session)
	s.touchSession(session)
}

func (s *State) isDrained(session *Session) bool {
	return session.Row.Server != nil && s.drains[session.Row.Server.Name]
}

func (s *State) touchSession(session *Session) {
	session.Changed = s.applied
	s.revision = s.applied
}

// close closes sessions all at once, so that no shard is left with a survivor
// that is closed by the same command.
func (s *State) close(command *Close) Result {
	var gone []*Session
	for _, number := range command.Sessions {
		session := s.sessions[number]
		if session == nil {
			continue
		}
		gone = append(gone, session)
		delete(s.sessions, number)
		s.sorted = nil
		delete(s.routers, session.Row.Router)
		s.bury(tombstone{Kind: tombSession, Number: number})
		s.closeEvent(session, command.Lapsed)
	}
	if len(gone) == 0 {
		return void()
	}
	s.dropRecorders(gone)
	s.freeShards(gone, command.Silence)
	closed := make(map[uint64]bool, len(gone))
	for _, session := range gone {
		closed[session.Row.Session] = true
	}
	s.freeRanges(closed)
	return applied(s.applied, len(gone))
}

func (s *State) closeEvent(session *Session, lapsed bool) {
	event := logger.SessionClosed
	if lapsed {
		event = logger.SessionLapsed
	}
	s.event(event, session.Row.Router,
		fmt.Sprintf("session %d with %d shards", session.Row.Session, session.Owned))
}
