package supervisor

import (
	"marigoldhill/control/assigner"
	"marigoldhill/control/balancer"
	"marigoldhill/kernel/timer"
)

// grantFree grants the free shards of all services.
func (s *Supervisor) grantFree(now timer.Instant, batch *batch) {
	if !s.hasRouterReports(now) {
		return
	}
	for _, t := range s.state.Tables() {
		if t.Free() > 0 && !batch.has("grant/"+t.Service.Name) {
			s.grantTable(now, t, batch)
		}
	}
}

// hasRouterReports reports whether a new leader has received heartbeats of all
// routers, or has waited for them long enough.
func (s *Supervisor) hasRouterReports(now timer.Instant) bool {
	if now.Since(s.graceStart) >= reportWait {
		return true
	}
	for _, session := range s.state.Sessions() {
		if !s.hasReported(session.Row.Session) {
			return false
		}
	}
	return true
}

func (s *Supervisor) grantTable(now timer.Instant, t *assigner.Table, batch *batch) {
	servers := s.servers(t)
	if len(servers) == 0 || !s.isFirstGrantDue(now, t) {
		return
	}
	grant := &assigner.Grant{Service: t.Service.Name, Why: "placed by slots"}
	for _, placement := range balancer.Place(t.FreeShards(maxGrantShards), servers) {
		grant.Placements = append(grant.Placements, assigner.Placement{
			Session: placement.Session,
			Shards:  assigner.NewShardSet(placement.Shards),
		})
	}
	batch.add("grant/"+t.Service.Name, assigner.Command{Grant: grant})
}

// isFirstGrantDue reports whether a service without any owned shards has waited
// long enough for more servers than the first.
func (s *Supervisor) isFirstGrantDue(now timer.Instant, t *assigner.Table) bool {
	if t.Free() < int(t.Size()) {
		return true
	}
	service := s.serviceState(t)
	if service.firstServer.IsZero() {
		service.firstServer = now
	}
	return now.Since(service.firstServer) >= firstGrantDelay
}

// servers lists the servers that may get shards of a service.
func (s *Supervisor) servers(t *assigner.Table) []balancer.Server {
	var servers []balancer.Server
	moving := movingShards(t)
	for _, session := range s.state.Sessions() {
		if session.Service() != t.Service.Name || session.Row.Leaving || !s.isReady(session.Row.Session) {
			continue
		}
		servers = append(servers, balancer.Server{
			Session: session.Row.Session,
			Domain:  session.Row.Domain,
			Slots:   session.Row.Server.Slots,
			Shards:  session.Owned + moving[session.Row.Session],
		})
	}
	return servers
}

// movingShards returns how many shards sessions are about to get, less those that
// they are about to lose, by moves in progress.
func movingShards(t *assigner.Table) map[uint64]int {
	counts := make(map[uint64]int)
	t.EachPendingMove(func(move assigner.PendingMove) {
		counts[move.From]--
		counts[move.To]++
	})
	return counts
}
