package assigner

import (
	"fmt"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/profiler"
)

// Evacuate starts or ends the evacuation of a failure domain.
type Evacuate struct {
	Condition Condition
	Domain    string
	On        bool
	// By identifies the operator who gave the order.
	By string
}

// evacuate starts or ends the evacuation of a failure domain. The domain may have no
// sessions: its routers may all be down, and their next sessions are opened as leaving.
// An order that changes nothing is answered with the revision of the order in force.
func (s *State) evacuate(command *Evacuate) Result {
	current, evacuated := s.evacuations[command.Domain]
	if !evacuated && !profiler.IsValidName(command.Domain) && !s.hasDomain(command.Domain) {
		return invalid("domain", profiler.NameRule)
	}
	switch {
	case command.On && evacuated:
		return applied(current.Revision, 0)
	case command.On && len(s.evacuations) >= MaxEvacuations:
		return invalid("domain", fmt.Sprintf("at most %d failure domains can be evacuated at once", MaxEvacuations))
	case !command.On && !evacuated:
		return applied(s.withdrawalRevision(command.Domain), 0)
	}
	if command.On {
		row := messenger.EvacuationRow{Domain: command.Domain, By: command.By, Since: s.time}
		s.evacuations[command.Domain] = Versioned[messenger.EvacuationRow]{Value: row, Revision: s.applied}
		s.revision = s.applied
		s.event(logger.EvacuationStarted, command.Domain, "ordered by "+command.By)
	} else {
		delete(s.evacuations, command.Domain)
		s.addTombstone(tombstone{Kind: tombstoneEvacuation, Name: command.Domain})
		s.event(logger.EvacuationEnded, command.Domain, fmt.Sprintf("withdrawn by %s, was ordered by %s", command.By, current.Value.By))
	}
	count := 0
	for _, session := range s.Sessions() {
		if session.Row.Domain == command.Domain {
			s.refreshSession(session)
			count++
		}
	}
	return applied(s.applied, count)
}

// hasDomain reports whether a session belongs to a failure domain. The settings of routers
// allow domains that are no valid names.
func (s *State) hasDomain(domain string) bool {
	for _, session := range s.sessions {
		if session.Row.Domain == domain {
			return true
		}
	}
	return false
}

// withdrawalRevision is the revision at which the evacuation of a domain was last
// withdrawn. If that is not known, it is the revision of the routing table: routers
// reach it, while the revision of a command that changes nothing is never sent to them.
func (s *State) withdrawalRevision(domain string) uint64 {
	for n := len(s.tombstones.values) - 1; n >= 0; n-- {
		removal := &s.tombstones.values[n]
		if removal.Kind == tombstoneEvacuation && removal.Name == domain {
			return removal.Revision
		}
	}
	return s.revision
}

// IsEvacuated reports whether a failure domain is evacuated.
func (s *State) IsEvacuated(domain string) bool {
	_, evacuated := s.evacuations[domain]
	return evacuated
}

// Evacuations lists the evacuated failure domains with the revisions of the orders,
// sorted by name.
func (s *State) Evacuations() []Versioned[messenger.EvacuationRow] {
	return sortedValues(s.evacuations)
}

func (s *State) addEvacuations(delta *messenger.TableDelta) {
	for _, entry := range s.Evacuations() {
		if entry.Revision > delta.From {
			delta.Evacuations = append(delta.Evacuations, entry.Value)
		}
	}
}
