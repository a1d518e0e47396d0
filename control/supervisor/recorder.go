package supervisor

import (
	"fmt"

	"marigoldhill/control/assigner"
	"marigoldhill/control/balancer"
)

// maxJoins is the most sessions that get recorders in one step.
const maxJoins = 64

// joinRecorders gives sessions the recorders that they lack.
func (s *Supervisor) joinRecorders(batch *batch) {
	var uses map[uint64]int
	for _, session := range s.state.Sessions() {
		lacking := s.lackingRecorders(session)
		if lacking <= 0 || len(batch.commands) >= maxJoins {
			continue
		}
		if uses == nil {
			uses = s.recorderUses()
		}
		joining := s.chooseRecorders(session, lacking, uses)
		if len(joining) == 0 {
			continue
		}
		number := session.Row.Session
		join := &assigner.Join{Session: number, Joining: joining}
		if batch.add(fmt.Sprintf("join/%d", number), assigner.Command{Join: join}) {
			countUses(uses, joining)
		}
	}
}

// lackingRecorders is how many recorders a session needs besides those that it
// has or that are joining. Leaving ones are replaced.
func (s *Supervisor) lackingRecorders(session *assigner.Session) int {
	t := s.state.Table(session.Service())
	if t == nil {
		return 0
	}
	return t.Service.Recorders - s.lasting(session.Row.Recorders) - s.lasting(session.Row.Joining)
}

// lasting counts the sessions that are not leaving.
func (s *Supervisor) lasting(numbers []uint64) int {
	count := 0
	for _, number := range numbers {
		if other := s.state.Session(number); other != nil && !other.Row.Leaving {
			count++
		}
	}
	return count
}

// recorderUses counts for how many sessions each session keeps records.
func (s *Supervisor) recorderUses() map[uint64]int {
	uses := make(map[uint64]int)
	for _, session := range s.state.Sessions() {
		countUses(uses, session.Row.Recorders)
		countUses(uses, session.Row.Joining)
	}
	return uses
}

func countUses(uses map[uint64]int, numbers []uint64) {
	for _, number := range numbers {
		uses[number]++
	}
}

func (s *Supervisor) chooseRecorders(session *assigner.Session, wanted int, uses map[uint64]int) []uint64 {
	var candidates []balancer.RecorderCandidate
	for _, other := range s.state.Sessions() {
		if s.canRecord(other, session) {
			number := other.Row.Session
			candidates = append(candidates, balancer.RecorderCandidate{Session: number, Domain: other.Row.Domain, RecordedSessions: uses[number]})
		}
	}
	return balancer.ChooseRecorders(candidates, s.usedDomains(session), wanted)
}

func (s *Supervisor) canRecord(other, session *assigner.Session) bool {
	number := other.Row.Session
	return number != session.Row.Session && !other.Row.Leaving &&
		s.hasSpoken(number) && !s.routers[number].closing && !session.HasRecorder(number)
}

// usedDomains lists the failure domains of a session and its recorders.
func (s *Supervisor) usedDomains(session *assigner.Session) []string {
	domains := []string{session.Row.Domain}
	for _, number := range session.AllRecorders() {
		if other := s.state.Session(number); other != nil {
			domains = append(domains, other.Row.Domain)
		}
	}
	return domains
}
