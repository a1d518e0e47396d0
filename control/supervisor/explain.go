package supervisor

import (
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// maxHistory is the maximum number of owner changes in an explanation.
const maxHistory = 10

// phaseNames are the names of the phases in explanations.
var phaseNames = [...]string{
	messenger.PhaseFree:   "free",
	messenger.PhaseOwned:  "owned",
	messenger.PhaseMoving: "moving",
}

// explain returns who owns a key and why.
func (s *Supervisor) explain(now timer.Instant, query ExplainQuery) *messenger.Explanation {
	if r := s.state.Ranges(query.Service); r != nil {
		return s.explainRange(now, r, query.Key)
	}
	t := s.state.Table(query.Service)
	if t == nil {
		return nil
	}
	number, promoted := t.Locate(query.Key)
	row := t.Row(number)
	explanation := &messenger.Explanation{
		Service: query.Service,
		Key:     query.Key,
		Shard:   number,
		Own:     promoted,
		Phase:   phaseNames[row.Phase],
		Fence:   row.Fence,
		Since:   t.Ownership(number).Since,
		Why:     t.Ownership(number).Cause.String(),
		History: s.historyOf(query.Service, number),
	}
	if len(explanation.History) > 0 {
		explanation.Why = explanation.History[0].Text
	}
	if owner := s.state.Session(row.Owner); owner != nil {
		explanation.Router = owner.Row.Router
		explanation.Domain = owner.Row.Domain
		explanation.Evacuation = s.evacuationOf(owner.Row.Domain)
		explanation.Recorders = s.routerNames(owner.Row.Recorders)
		if owner.Row.Server != nil {
			explanation.Server = owner.Row.Server.Name
		}
	}
	return explanation
}

func (s *Supervisor) historyOf(service string, shard uint32) []messenger.ClusterEvent {
	history := []messenger.ClusterEvent{}
	for _, change := range s.state.History(service, shard, maxHistory) {
		history = append(history, messenger.ClusterEvent{
			Revision: change.Revision,
			Time:     change.Time,
			Number:   logger.ShardsGranted.Number,
			Subject:  change.Parts[0].Router,
			Text:     change.Why,
		})
	}
	return history
}

// routerNames returns the names of the routers of sessions, without closed ones.
func (s *Supervisor) routerNames(numbers []uint64) []string {
	names := []string{}
	for _, number := range numbers {
		if session := s.state.Session(number); session != nil {
			names = append(names, session.Row.Router)
		}
	}
	return names
}
