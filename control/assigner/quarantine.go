package assigner

import (
	"fmt"
	"slices"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
)

const (
	// quarantineDeaths is the number of crashes with the same fingerprint in flight after
	// which it is quarantined. In sharded mode a suspect runs alone, so it has caused the
	// second one.
	quarantineDeaths = 2
	// routedQuarantineDeaths is the same in routed mode, where others run beside a suspect
	// and may be sent on to the next server together with it.
	routedQuarantineDeaths = 3
	// routedSuspectLifetime is how long after its last crash a fingerprint is a suspect in
	// routed mode, in milliseconds.
	routedSuspectLifetime = 10 * 60 * 1000
)

// death records the fingerprints that were in flight when a backend server
// crashed. A fingerprint that was also in flight at earlier crashes is
// quarantined.
func (s *State) death(command *Death) Result {
	session := s.sessions[command.Session]
	if session == nil {
		return void()
	}
	if command.Number != 0 && command.Number <= session.Report {
		return applied(s.applied, 0)
	}
	session.Report = max(session.Report, command.Number)
	total := 0
	seen := make(map[string]bool, len(command.Rows))
	for _, row := range command.Rows {
		if seen[row.Fingerprint] {
			continue
		}
		seen[row.Fingerprint] = true
		if s.addSuspect(session, row) {
			total++
		}
	}
	s.event(logger.ServerDeathReported, session.Row.Router, fmt.Sprintf("%d requests were in flight", len(command.Rows)))
	return applied(s.applied, total)
}

// addSuspect records that a fingerprint was in flight at a crash of the server of a
// session and reports whether it has been quarantined as a result.
func (s *State) addSuspect(session *Session, row messenger.QuarantineRow) bool {
	if _, known := s.quarantines[row.Fingerprint]; known {
		return false
	}
	row.Since = s.time
	row.Gone = false
	s.revision = s.applied
	if deaths := s.countDeaths(session, row.Fingerprint); deaths < requiredDeaths(session) {
		s.deaths[row.Fingerprint] = deaths
		s.suspects[row.Fingerprint] = Versioned[messenger.QuarantineRow]{Value: row, Revision: s.applied}
		s.limitSuspects()
		return false
	}
	s.removeSuspect(row.Fingerprint)
	s.quarantines[row.Fingerprint] = Versioned[messenger.QuarantineRow]{Value: row, Revision: s.applied}
	s.event(logger.RequestQuarantined, row.Service, fmt.Sprintf("fingerprint %s of key %q, route %q", row.Fingerprint, row.Key, row.Route))
	return true
}

// countDeaths returns the number of crashes with a fingerprint in flight, including one of
// the server of a session now.
func (s *State) countDeaths(session *Session, fingerprint string) int {
	suspect, known := s.suspects[fingerprint]
	if !known || (session.Routed && s.time-suspect.Value.Since > routedSuspectLifetime) {
		return 1
	}
	return max(s.deaths[fingerprint], 1) + 1
}

func requiredDeaths(session *Session) int {
	if session.Routed {
		return routedQuarantineDeaths
	}
	return quarantineDeaths
}

func (s *State) removeSuspect(fingerprint string) {
	delete(s.suspects, fingerprint)
	delete(s.deaths, fingerprint)
	s.addTombstone(tombstone{Kind: tombstoneSuspect, Name: fingerprint})
}

// limitSuspects drops the oldest suspect if there are more than MaxSuspects.
func (s *State) limitSuspects() {
	if len(s.suspects) <= MaxSuspects {
		return
	}
	names := sortedKeys(s.suspects)
	oldest := slices.MinFunc(names, func(a, b string) int {
		return int(int64(s.suspects[a].Revision) - int64(s.suspects[b].Revision))
	})
	s.removeSuspect(oldest)
}

// lift ends a quarantine. The fingerprint is no longer a suspect either.
func (s *State) lift(command *Lift) Result {
	if _, known := s.quarantines[command.Fingerprint]; !known {
		return notFound("no such quarantine")
	}
	delete(s.quarantines, command.Fingerprint)
	s.addTombstone(tombstone{Kind: tombstoneQuarantine, Name: command.Fingerprint})
	s.event(logger.QuarantineLifted, command.Fingerprint, "by an operator")
	return applied(s.applied, 1)
}

// Quarantines returns the quarantined fingerprints, sorted.
func (s *State) Quarantines() []messenger.QuarantineRow {
	var rows []messenger.QuarantineRow
	for _, entry := range sortedValues(s.quarantines) {
		rows = append(rows, entry.Value)
	}
	return rows
}
