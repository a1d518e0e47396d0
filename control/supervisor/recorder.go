package supervisor

import (
	"fmt"

	"marigoldhill/control/assigner"
	"marigoldhill/control/balancer"
)

// maxAssignments limits the commands in a batch: once it has that many, no more
// sessions get recorders.
const maxAssignments = 64

// assignRecorders assigns recorders to sessions that have too few.
func (s *Supervisor) assignRecorders(batch *batch) {
	var recorded map[uint64]int
	for _, session := range s.state.Sessions() {
		missing := s.missingRecorders(session)
		if missing <= 0 || len(batch.commands) >= maxAssignments {
			continue
		}
		if recorded == nil {
			recorded = s.recordedSessions()
		}
		joining := s.chooseRecorders(session, missing, recorded)
		if len(joining) == 0 {
			continue
		}
		number := session.Row.Session
		join := &assigner.Join{Session: number, Joining: joining}
		if batch.add(fmt.Sprintf("join/%d", number), assigner.Command{Join: join}) {
			countRecorders(recorded, joining)
		}
	}
}

// missingRecorders is the number of recorders that a session needs in addition to
// the ones that it has or that are joining. Leaving ones are replaced.
func (s *Supervisor) missingRecorders(session *assigner.Session) int {
	t := s.state.Table(session.Service())
	if t == nil {
		return 0
	}
	return t.Service.Recorders - s.countStaying(session.Row.Recorders) - s.countStaying(session.Row.Joining)
}

// countStaying counts the sessions that are not leaving.
func (s *Supervisor) countStaying(numbers []uint64) int {
	count := 0
	for _, number := range numbers {
		if other := s.state.Session(number); other != nil && !other.Row.Leaving {
			count++
		}
	}
	return count
}

// recordedSessions counts the sessions that each session keeps records for.
func (s *Supervisor) recordedSessions() map[uint64]int {
	recorded := make(map[uint64]int)
	for _, session := range s.state.Sessions() {
		countRecorders(recorded, session.Row.Recorders)
		countRecorders(recorded, session.Row.Joining)
	}
	return recorded
}

func countRecorders(recorded map[uint64]int, numbers []uint64) {
	for _, number := range numbers {
		recorded[number]++
	}
}

func (s *Supervisor) chooseRecorders(session *assigner.Session, count int, recorded map[uint64]int) []uint64 {
	var candidates []balancer.RecorderCandidate
	for _, other := range s.state.Sessions() {
		if s.canRecord(other, session) {
			number := other.Row.Session
			candidates = append(candidates, balancer.RecorderCandidate{Session: number, Domain: other.Row.Domain, RecordedSessions: recorded[number]})
		}
	}
	return balancer.ChooseRecorders(candidates, s.usedDomains(session), count)
}

func (s *Supervisor) canRecord(other, session *assigner.Session) bool {
	number := other.Row.Session
	return number != session.Row.Session && !other.Row.Leaving &&
		s.hasReported(number) && !s.routers[number].closing && !session.HasRecorder(number)
}

// usedDomains lists the failure domains of a session and its recorders, including
// joining ones.
func (s *Supervisor) usedDomains(session *assigner.Session) []string {
	domains := []string{session.Row.Domain}
	for _, number := range session.AllRecorders() {
		if other := s.state.Session(number); other != nil {
			domains = append(domains, other.Row.Domain)
		}
	}
	return domains
}
