package supervisor

import (
	"slices"
	"time"

	"marigoldhill/control/assigner"
	"marigoldhill/control/balancer"
	"marigoldhill/kernel/hasher"
)

// keyPart is what a router last reported of a key.
type keyPart struct {
	session uint64
	part    float64
}

// heatKeys promotes hot keys and puts cool ones back.
func (s *Supervisor) heatKeys(t *assigner.Table, span time.Duration, batch *batch) {
	known := s.service(t)
	for _, key := range t.PromotedKeys() {
		if _, seen := known.heat[key]; !seen {
			known.heat[key] = balancer.HotKeyState{}
		}
	}
	for key := range known.parts {
		if _, seen := known.heat[key]; !seen {
			known.heat[key] = balancer.HotKeyState{}
		}
	}
	for _, key := range sortedNames(known.heat) {
		heat := s.nextHeat(known, key, span)
		known.heat[key] = heat
		s.judgeKey(t, known, key, heat, batch)
	}
	clear(known.parts)
}

func (s *Supervisor) nextHeat(known *service, key string, span time.Duration) balancer.HotKeyState {
	part := known.parts[key]
	return known.heat[key].Advance(part.part, s.utilization(part.session), span)
}

// utilization is the part of its slots that a server's work holds.
func (s *Supervisor) utilization(number uint64) float64 {
	session, known := s.state.Session(number), s.routers[number]
	if session == nil || session.Row.Server == nil || known == nil {
		return 0
	}
	return known.work.load / float64(max(session.Row.Server.Slots, 1))
}

func (s *Supervisor) judgeKey(t *assigner.Table, known *service, key string, heat balancer.HotKeyState, batch *batch) {
	name := t.Service.Name
	_, own := t.Locate(key)
	switch {
	case !own && heat.ShouldPromote():
		batch.add("key/"+name+"/"+key, assigner.Command{Promote: &assigner.Promote{Service: name, Key: key}})
	case !own && heat.HotTime == 0:
		delete(known.heat, key)
	case own && heat.ShouldDemote():
		s.demoteKey(t, key, batch)
	}
}

// demoteKey puts a key back, or moves it to the owner of its hash shard first.
func (s *Supervisor) demoteKey(t *assigner.Table, key string, batch *batch) {
	name := t.Service.Name
	if t.CanDemote(key) {
		batch.add("key/"+name+"/"+key, assigner.Command{Demote: &assigner.Demote{Service: name, Key: key}})
		return
	}
	number, _ := t.Locate(key)
	from := t.Ownership(number)
	to := t.Ownership(hasher.Shard(key, t.Service.Shards))
	if from.Owner == to.Owner || to.Owner == 0 || from.Recovering || !s.isReady(to.Owner) {
		return
	}
	s.proposeMoves(t, []balancer.Move{{Shard: number, From: from.Owner, To: to.Owner}}, "key/"+name+"/"+key, "key cooled", batch)
}

func sortedNames[V any](values map[string]V) []string {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
