package supervisor

import (
	"marigoldhill/control/assigner"
	"marigoldhill/control/replicator"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// NotLeading is the answer to a query that only a confirmed leader can answer.
type NotLeading struct {
	// Leader is the leader, as far as it is known.
	Leader messenger.Member
}

// Queries of operators. Each comment gives the type of the answer.
type (
	// StatusQuestion is answered with *messenger.Status.
	StatusQuestion struct{}
	// ProfilesQuestion is answered with []assigner.Versioned[messenger.Profile].
	ProfilesQuestion struct{}
	// ServicesQuestion is answered with []assigner.Versioned[messenger.Service].
	ServicesQuestion struct{}
	// ExplainQuestion is answered with *messenger.Explanation, nil when there is no
	// such service.
	ExplainQuestion struct {
		Service string
		Key     string
	}
	// EventsQuestion is answered with []messenger.ClusterEvent.
	EventsQuestion struct {
		After uint64
	}
	// ProgressQuestion is answered with *messenger.Progress.
	ProgressQuestion struct {
		Revision uint64
	}
	// ConfigurationQuestion is answered with *ConfigurationAnswer.
	ConfigurationQuestion struct{}
	// QuarantinesQuestion is answered with []messenger.QuarantineRow.
	QuarantinesQuestion struct{}
)

// ConfigurationAnswer is the configuration in force. Both fields are nil before the
// first one.
type ConfigurationAnswer struct {
	Configuration *messenger.Configuration
	// Source is the configuration as the operator sent it.
	Source []byte
}

// answerQuery answers a query of an operator.
func (s *Supervisor) answerQuery(now timer.Instant, standing replicator.Standing, query any) any {
	switch request := query.(type) {
	case StatusQuestion:
		return s.status(now, standing)
	case ProfilesQuestion:
		return s.state.Profiles()
	case ServicesQuestion:
		return s.serviceList()
	case ExplainQuestion:
		return s.explain(now, request)
	case EventsQuestion:
		return s.state.Events(request.After)
	case ProgressQuestion:
		return s.progress(request)
	case ConfigurationQuestion:
		return &ConfigurationAnswer{Configuration: s.state.Configuration(), Source: s.state.Source()}
	case QuarantinesQuestion:
		return s.state.Quarantines()
	}
	return Error.New("query of unknown type %T", query)
}

func (s *Supervisor) serviceList() []assigner.Versioned[messenger.Service] {
	var services []assigner.Versioned[messenger.Service]
	for _, t := range s.state.Tables() {
		services = append(services, assigner.Versioned[messenger.Service]{Value: t.Service, Revision: t.Revision})
	}
	return services
}

// progress returns which routers have applied a revision.
func (s *Supervisor) progress(request ProgressQuestion) *messenger.Progress {
	progress := &messenger.Progress{Revision: request.Revision, Behind: []string{}}
	for _, session := range s.state.Sessions() {
		progress.Sessions++
		router := s.routers[session.Row.Session]
		if router != nil && router.revision >= request.Revision {
			progress.Applied++
			continue
		}
		progress.Behind = append(progress.Behind, session.Row.Router)
	}
	return progress
}
