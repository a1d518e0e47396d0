package assigner

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/profiler"
)

// Profiles returns the profiles sorted by name.
func (s *State) Profiles() []Versioned[messenger.Profile] {
	return sortedValues(s.profiles)
}

func (s *State) Profile(name string) (Versioned[messenger.Profile], bool) {
	profile, ok := s.profiles[name]
	return profile, ok
}

func (s *State) putProfile(command *PutProfile) Result {
	name := command.Profile.Name
	if field, reason := profiler.CheckProfile(&command.Profile); reason != "" {
		return invalid(field, reason)
	}
	current := s.profiles[name]
	if current.Revision != command.Condition.Revision {
		return conflict(current)
	}
	s.setProfile(command.Profile)
	s.event(logger.ProfileChanged, name, fmt.Sprintf("class %s, deadline %s", command.Profile.Class, command.Profile.Deadline))
	return applied(s.applied, 1)
}

func (s *State) setProfile(profile messenger.Profile) {
	s.profiles[profile.Name] = Versioned[messenger.Profile]{Value: profile, Revision: s.applied}
	s.revision = s.applied
}

func (s *State) removeProfile(command *RemoveProfile) Result {
	current, known := s.profiles[command.Name]
	if !known {
		return notFound("no such profile")
	}
	if current.Revision != command.Condition.Revision {
		return conflict(current)
	}
	if user := s.serviceUsing(command.Name); user != "" {
		return invalid("name", "service "+user+" uses the profile")
	}
	delete(s.profiles, command.Name)
	s.addTombstone(tombstone{Kind: tombstoneProfile, Name: command.Name})
	s.event(logger.ProfileRemoved, command.Name, "by an operator")
	return applied(s.applied, 1)
}

// serviceUsing returns the name of a service that uses a profile, or an empty
// string.
func (s *State) serviceUsing(profile string) string {
	for _, t := range s.Tables() {
		for _, route := range t.Service.Routes {
			if route.Profile == profile {
				return t.Service.Name
			}
		}
	}
	return ""
}

func (s *State) putService(command *PutService) Result {
	service := command.Service
	if field, reason := s.checkService(&service); reason != "" {
		return invalid(field, reason)
	}
	t := s.tables[service.Name]
	if t == nil {
		if command.Condition.Revision != 0 {
			return Result{Verdict: VerdictConflict}
		}
		s.setService(newTable(service), service)
		return applied(s.applied, 1)
	}
	if t.Revision != command.Condition.Revision {
		return conflict(Versioned[messenger.Service]{Value: t.Service, Revision: t.Revision})
	}
	if t.Service.Shards != service.Shards {
		return invalid("shards", fmt.Sprintf("is %d and never changes", t.Service.Shards))
	}
	s.setService(t, service)
	return applied(s.applied, 1)
}

func (s *State) checkService(service *messenger.Service) (field, reason string) {
	if field, reason = profiler.CheckService(service); reason != "" {
		return field, reason
	}
	for n, route := range service.Routes {
		if _, known := s.profiles[route.Profile]; !known {
			return fmt.Sprintf("routes[%d].profile", n), "no profile is named " + route.Profile
		}
	}
	return "", ""
}

func (s *State) setService(t *Table, service messenger.Service) {
	t.Service = service
	t.Revision = s.applied
	s.tables[service.Name] = t
	s.revision = s.applied
	for _, session := range s.Sessions() {
		if session.Service() == service.Name {
			s.updateRecording(session)
		}
	}
	s.event(logger.ServiceChanged, service.Name, fmt.Sprintf("%d shards, %d routes", service.Shards, len(service.Routes)))
}

// ensureService creates the service of a session's backend server with default
// profiles, so that a new service works before an operator configures it.
func (s *State) ensureService(session *Session) {
	name := session.Service()
	if name == "" || s.tables[name] != nil || !profiler.IsValidName(name) {
		return
	}
	for _, profile := range profiler.DefaultProfiles() {
		if _, known := s.profiles[profile.Name]; !known {
			s.setProfile(profile)
		}
	}
	service := profiler.DefaultService(name)
	s.setService(newTable(service), service)
}

// conflict returns the result of a change that is based on an outdated revision.
func conflict[T any](current Versioned[T]) Result {
	result := Result{Verdict: VerdictConflict, Revision: current.Revision}
	if current.Revision == 0 {
		return result
	}
	data, err := msgpack.Marshal(current.Value)
	if err == nil {
		result.Current = data
	}
	return result
}

// drain starts or ends the drain of a backend server.
func (s *State) drain(command *Drain) Result {
	if !profiler.IsValidName(command.Server) {
		return invalid("server", profiler.NameRule)
	}
	if s.drains[command.Server] == command.On {
		return applied(s.applied, 0)
	}
	event := logger.DrainStarted
	if command.On {
		s.drains[command.Server] = true
	} else {
		delete(s.drains, command.Server)
		event = logger.DrainEnded
	}
	s.event(event, command.Server, "by an operator")
	count := 0
	for _, session := range s.Sessions() {
		if session.Row.Server != nil && session.Row.Server.Name == command.Server {
			s.refreshSession(session)
			count++
		}
	}
	return applied(s.applied, count)
}
