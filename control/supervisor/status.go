package supervisor

import (
	"marigoldhill/control/assigner"
	"marigoldhill/control/replicator"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// status summarizes the cluster.
func (s *Supervisor) status(now timer.Instant, raftStatus replicator.RaftStatus) *messenger.Status {
	status := &messenger.Status{
		Cluster:     s.options.Cluster,
		Replica:     raftStatus.Name,
		Leader:      raftStatus.Leader.Name,
		Term:        raftStatus.Term,
		Revision:    s.state.Revision(),
		Members:     memberStatuses(now, raftStatus),
		Sessions:    []messenger.SessionStatus{},
		Services:    []messenger.ServiceStatus{},
		Quarantines: len(s.state.Quarantines()),
		Evacuations: s.evacuationStatuses(),
	}
	for _, session := range s.state.Sessions() {
		status.Sessions = append(status.Sessions, s.sessionStatus(now, session))
	}
	for _, t := range s.state.Tables() {
		status.Services = append(status.Services, s.serviceStatus(now, t))
	}
	return status
}

func memberStatuses(now timer.Instant, raftStatus replicator.RaftStatus) []messenger.MemberStatus {
	members := []messenger.MemberStatus{}
	for _, member := range raftStatus.Members {
		status := messenger.MemberStatus{
			Name:     member.Name,
			Address:  member.Address,
			Operator: member.Operator,
			Leader:   member.Name == raftStatus.Leader.Name,
		}
		if progress, ok := raftStatus.Progress[member.Name]; ok {
			status.Match = progress.Match
			if !progress.LastContact.IsZero() {
				status.Silence = now.Since(progress.LastContact)
			}
		}
		members = append(members, status)
	}
	return members
}

func (s *Supervisor) sessionStatus(now timer.Instant, session *assigner.Session) messenger.SessionStatus {
	status := messenger.SessionStatus{
		Session:   session.Row.Session,
		Router:    session.Row.Router,
		Address:   session.Row.Address,
		Domain:    session.Row.Domain,
		State:     messenger.ServerAbsent,
		Leaving:   session.Row.Leaving,
		Shards:    session.Owned,
		Moving:    session.Moving,
		Recorders: s.routerNames(session.Row.Recorders),
	}
	if session.Row.Server != nil {
		status.Server = session.Row.Server.Name
		status.Service = session.Row.Server.Service
	}
	if router := s.routers[session.Row.Session]; router != nil {
		status.State = router.state
		status.Queue = router.queue
		status.Stalled = router.stalled
		status.Revision = router.revision
		status.Rate = router.workload.rate
		status.Silence = now.Since(router.received)
		status.Failing = router.failureRate.current(now)
	}
	if r := s.state.Ranges(session.Service()); r != nil {
		for _, piece := range r.Pieces() {
			if piece.Value.Owner == session.Row.Session {
				status.Ranges++
			}
		}
	}
	return status
}

func (s *Supervisor) serviceStatus(now timer.Instant, t *assigner.Table) messenger.ServiceStatus {
	wall := assigner.Milliseconds(now.Wall)
	gaps := t.Unavailability(wall)
	status := messenger.ServiceStatus{
		Name:   t.Service.Name,
		Shards: int(t.Service.Shards),
		Free:   t.Free(),
		Moving: t.Moving(),
		Keys:   t.Keys(),

		Imbalance:        s.imbalance(t),
		Churn:            t.Churn(wall),
		UnavailableWorst: gaps.Worst,
		UnavailableP99:   gaps.P99,
		UnavailableTotal: gaps.Total,
	}
	for _, session := range s.state.Sessions() {
		if session.Service() == t.Service.Name {
			status.Servers++
		}
	}
	return status
}
