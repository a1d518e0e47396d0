package supervisor

import (
	"marigoldhill/control/assigner"
	"marigoldhill/control/balancer"
	"marigoldhill/kernel/timer"
)

// grantFree grants all free shards of all services.
func (s *Supervisor) grantFree(now timer.Instant, batch *batch) {
	if !s.hasGathered(now) {
		return
	}
	for _, t := range s.state.Tables() {
		if t.Free() > 0 && !batch.has("grant/"+t.Service.Name) {
			s.grantTable(now, t, batch)
		}
	}
}

// hasGathered reports whether a new leader knows enough of the routers.
func (s *Supervisor) hasGathered(now timer.Instant) bool {
	if now.Since(s.calm) >= gatherTime {
		return true
	}
	for _, session := range s.state.Sessions() {
		if !s.hasSpoken(session.Row.Session) {
			return false
		}
	}
	return true
}

func (s *Supervisor) grantTable(now timer.Instant, t *assigner.Table, batch *batch) {
	servers := s.servers(t)
	if len(servers) == 0 || !s.hasSettled(now, t) {
		return
	}
	grant := &assigner.Grant{Service: t.Service.Name, Why: "placed by slots"}
	for _, placement := range balancer.Place(t.FreeShards(grantBatch), servers) {
		grant.Placements = append(grant.Placements, assigner.Placement{
			Session: placement.Session,
			Shards:  assigner.NewShardSet(placement.Shards),
		})
	}
	batch.add("grant/"+t.Service.Name, assigner.Command{Grant: grant})
}

// hasSettled reports whether a service that nobody serves yet has waited for
// more servers than the first.
func (s *Supervisor) hasSettled(now timer.Instant, t *assigner.Table) bool {
	if t.Free() < int(t.Size()) {
		return true
	}
	known := s.services[t.Service.Name]
	if known == nil {
		s.services[t.Service.Name] = &service{first: now}
		return false
	}
	return now.Since(known.first) >= settleTime
}

// servers lists the servers that may get shards of a service.
func (s *Supervisor) servers(t *assigner.Table) []balancer.Server {
	var servers []balancer.Server
	for _, session := range s.state.Sessions() {
		if session.Service() != t.Service.Name || session.Row.Leaving || !s.isReady(session.Row.Session) {
			continue
		}
		servers = append(servers, balancer.Server{
			Session: session.Row.Session,
			Domain:  session.Row.Domain,
			Slots:   session.Row.Server.Slots,
			Shards:  session.Owned,
		})
	}
	return servers
}

// joinRecorders gives sessions the recorders that they lack.
func (s *Supervisor) joinRecorders(batch *batch) {
	if batch.has("join") {
		return
	}
	for _, session := range s.state.Sessions() {
		joining := s.chooseRecorders(session)
		if len(joining) == 0 {
			continue
		}
		batch.add("join", assigner.Command{Join: &assigner.Join{Session: session.Row.Session, Joining: joining}})
		return
	}
}

// chooseRecorders chooses recorders that a session lacks.
func (s *Supervisor) chooseRecorders(session *assigner.Session) []uint64 {
	t := s.state.Table(session.Service())
	if t == nil {
		return nil
	}
	var candidates []balancer.Peer
	for _, other := range s.state.Sessions() {
		if s.canRecord(other, session) {
			candidates = append(candidates, balancer.Peer{Session: other.Row.Session, Domain: other.Row.Domain})
		}
	}
	return balancer.ChoosePeers(candidates, s.usedDomains(session), t.Service.Recorders-s.lastingRecorders(session))
}

func (s *Supervisor) canRecord(other, session *assigner.Session) bool {
	number := other.Row.Session
	return number != session.Row.Session && !other.Row.Leaving && s.hasSpoken(number) && !s.routers[number].closing &&
		!session.HasRecorder(number)
}

// lastingRecorders counts the recorders that are there or joining, without
// those that are leaving.
func (s *Supervisor) lastingRecorders(session *assigner.Session) int {
	count := 0
	for _, number := range session.AllRecorders() {
		if other := s.state.Session(number); other != nil && !other.Row.Leaving {
			count++
		}
	}
	return count
}

func (s *Supervisor) usedDomains(session *assigner.Session) []string {
	domains := []string{session.Row.Domain}
	for _, number := range session.AllRecorders() {
		if other := s.state.Session(number); other != nil {
			domains = append(domains, other.Row.Domain)
		}
	}
	return domains
}
