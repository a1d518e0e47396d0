package assigner

import (
	"cmp"
	"fmt"
	"slices"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
)

// Session is the session of one router instance.
type Session struct {
	Row      messenger.SessionRow
	Instance uint64
	// Opened is the time at which it was opened, in milliseconds.
	Opened int64
	// Changed is the revision of the last change of Row.
	Changed uint64
	// Stopping is set if the router itself reported that it is leaving,
	// regardless of drains.
	Stopping bool
	// Routed is set if its router runs in routed mode, that is, serves the routes of
	// a configuration, and thus owns ranges of keys instead of shards.
	Routed bool
	// Granted is set once it has owned a shard.
	Granted bool
	// Recording is set once it may have accepted non-idempotent requests, so
	// that its records must be recovered when it loses a shard.
	Recording bool
	// Report is the sequence number of its last crash report.
	Report uint64
	// Owned and Moving are the numbers of its shards, derived from the tables.
	Owned  int `msgpack:"-"`
	Moving int `msgpack:"-"`
}

// Service returns the service of its backend server, or an empty string.
func (s *Session) Service() string {
	if s.Row.Server == nil {
		return ""
	}
	return s.Row.Server.Service
}

// serverStart returns the start time of its backend server, or 0 if it has none.
func (s *Session) serverStart() int64 {
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

// Sessions returns the open sessions in ascending order. The slice is shared and
// must not be modified.
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

// open opens a session unless its router already has one. A retry by the same
// instance returns the open session.
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
	if command.Withdrawn {
		s.withdraw(command.Router, command.Server)
	}
	s.refreshSession(session)
	s.event(logger.SessionOpened, command.Router,
		fmt.Sprintf("session %d at %s in domain %s", s.applied, command.Address, command.Domain))
	return applied(s.applied, 1)
}

// update replaces the attributes that a session reported.
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
	if command.Withdrawn {
		s.withdraw(session.Row.Router, command.Server)
	}
	s.refreshSession(session)
	return applied(s.applied, 1)
}

// refreshSession updates the state derived from the attributes that a session
// reported, such as Leaving.
func (s *State) refreshSession(session *Session) {
	session.Row.Withdrawn = s.isWithdrawn(session.Row.Server)
	session.Row.Leaving = s.IsDraining(session) || s.IsEvacuated(session.Row.Domain)
	if !session.Routed {
		s.ensureService(session)
	}
	s.updateRecording(session)
	s.markSessionChanged(session)
}

// IsDraining reports whether a session leaves for a reason of its own: its router
// stops, or its backend server leaves or is drained.
func (s *State) IsDraining(session *Session) bool {
	return session.Stopping || session.Row.Withdrawn || session.Row.Server != nil && s.drains[session.Row.Server.Name]
}

func (s *State) markSessionChanged(session *Session) {
	session.Changed = s.applied
	s.revision = s.applied
}

// close closes all sessions of a command together, so that none of them is kept as
// a survivor of a shard.
func (s *State) close(command *Close) Result {
	var closedSessions []*Session
	for _, number := range command.Sessions {
		session := s.sessions[number]
		if session == nil {
			continue
		}
		closedSessions = append(closedSessions, session)
		delete(s.sessions, number)
		s.sorted = nil
		delete(s.routers, session.Row.Router)
		s.addTombstone(tombstone{Kind: tombstoneSession, Number: number})
		s.addCloseEvent(session, command.Lapsed)
	}
	if len(closedSessions) == 0 {
		return void()
	}
	s.removeClosedRecorders(closedSessions)
	s.freeShards(closedSessions, command.Silence)
	closed := make(map[uint64]bool, len(closedSessions))
	for _, session := range closedSessions {
		closed[session.Row.Session] = true
	}
	s.freeRanges(closed)
	return applied(s.applied, len(closedSessions))
}

func (s *State) addCloseEvent(session *Session, lapsed bool) {
	event := logger.SessionClosed
	if lapsed {
		event = logger.SessionExpired
	}
	s.event(event, session.Row.Router,
		fmt.Sprintf("session %d with %d shards", session.Row.Session, session.Owned))
}
