package assigner

import (
	"fmt"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/profiler"
)

// Configure replaces the configuration with one of a higher version.
type Configure struct {
	Configuration messenger.Configuration
	// Source is the configuration as the operator sent it, returned unchanged
	// on reads.
	Source []byte
}

// Configuration returns the active configuration, or nil if there is none yet.
func (s *State) Configuration() *messenger.Configuration {
	return s.configuration
}

// Source returns the active configuration as the operator sent it.
func (s *State) Source() []byte {
	return s.source
}

// configure activates a configuration. If its version is not higher than the
// active one, it is treated as a late or repeated change: it is acknowledged with
// the active revision and changes nothing.
func (s *State) configure(command *Configure) Result {
	configuration := &command.Configuration
	if field, reason := profiler.CheckConfiguration(configuration); reason != "" {
		return invalid(field, reason)
	}
	if s.configuration != nil && configuration.Version <= s.configuration.Version {
		return applied(s.configured, 0)
	}
	s.configuration = configuration
	s.source = command.Source
	s.configured = s.applied
	s.revision = s.applied
	s.createRanges()
	s.event(logger.ConfigurationChanged, fmt.Sprintf("version %d", configuration.Version),
		fmt.Sprintf("%d routes, %d services", len(configuration.Routes), len(configuration.Services)))
	return applied(s.applied, 1)
}

// Adopt transfers a session to a new process of its router that replaced the
// previous one on the same VM.
type Adopt struct {
	Session  uint64
	Instance uint64
}

func (s *State) adopt(command *Adopt) Result {
	session := s.sessions[command.Session]
	if session == nil || session.Instance == command.Instance {
		return void()
	}
	session.Instance = command.Instance
	// The successor numbers its reports from 1 again.
	session.Report = 0
	s.event(logger.SessionResumed, session.Row.Router, fmt.Sprintf("session %d", command.Session))
	return applied(s.applied, 1)
}
