package supervisor

import (
	"marigoldhill/control/assigner"
	"marigoldhill/control/replicator"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// NotLeader is the response to a query that only a confirmed leader can answer.
type NotLeader struct {
	// Leader is the current leader, zero if it is unknown.
	Leader messenger.Member
}

// Queries of operators. Each comment gives the type of the response.
type (
	// StatusQuery is answered with *messenger.Status.
	StatusQuery struct{}
	// ProfilesQuery is answered with []assigner.Versioned[messenger.Profile].
	ProfilesQuery struct{}
	// ServicesQuery is answered with []assigner.Versioned[messenger.Service].
	ServicesQuery struct{}
	// ExplainQuery is answered with *messenger.Explanation, nil when there is no
	// such service.
	ExplainQuery struct {
		Service string
		Key     string
	}
	// EventsQuery is answered with []messenger.ClusterEvent.
	EventsQuery struct {
		After uint64
	}
	// ProgressQuery is answered with *messenger.Progress.
	ProgressQuery struct {
		Revision uint64
	}
	// ConfigurationQuery is answered with *ConfigurationResponse.
	ConfigurationQuery struct{}
	// EvacuationsQuery is answered with []messenger.EvacuationStatus.
	EvacuationsQuery struct{}
	// QuarantinesQuery is answered with []messenger.QuarantineRow.
	QuarantinesQuery struct{}
)

// ConfigurationResponse is the configuration in force. Both fields are nil before the
// first one.
type ConfigurationResponse struct {
	Configuration *messenger.Configuration
	// Source is the configuration as the operator sent it.
	Source []byte
}

// answerQuery answers a query of an operator.
func (s *Supervisor) answerQuery(now timer.Instant, raftStatus replicator.RaftStatus, query any) any {
	switch request := query.(type) {
	case StatusQuery:
		return s.status(now, raftStatus)
	case ProfilesQuery:
		return s.state.Profiles()
	case ServicesQuery:
		return s.serviceList()
	case ExplainQuery:
		return s.explain(now, request)
	case EventsQuery:
		return s.state.Events(request.After)
	case ProgressQuery:
		return s.progress(request)
	case ConfigurationQuery:
		return &ConfigurationResponse{Configuration: s.state.Configuration(), Source: s.state.Source()}
	case EvacuationsQuery:
		return s.evacuationStatuses()
	case QuarantinesQuery:
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
func (s *Supervisor) progress(request ProgressQuery) *messenger.Progress {
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
