package supervisor

import (
	"slices"
	"time"

	"marigoldhill/control/assigner"
	"marigoldhill/control/balancer"
	"marigoldhill/kernel/hasher"
)

// keyFraction is the fraction of the load of a server that a key took in its last
// report.
type keyFraction struct {
	session  uint64
	fraction float64
}

// updateHotKeys promotes hot keys and demotes cool ones.
func (s *Supervisor) updateHotKeys(t *assigner.Table, elapsed time.Duration, batch *batch) {
	service := s.serviceState(t)
	for _, key := range t.PromotedKeys() {
		if _, seen := service.keyState[key]; !seen {
			service.keyState[key] = balancer.HotKeyState{}
		}
	}
	for key := range service.keyFractions {
		if _, seen := service.keyState[key]; !seen {
			service.keyState[key] = balancer.HotKeyState{}
		}
	}
	for _, key := range sortedNames(service.keyState) {
		keyState := s.nextKeyState(service, key, elapsed)
		service.keyState[key] = keyState
		s.proposeKeyChange(t, service, key, keyState, batch)
	}
	clear(service.keyFractions)
}

func (s *Supervisor) nextKeyState(service *serviceState, key string, elapsed time.Duration) balancer.HotKeyState {
	fraction := service.keyFractions[key]
	return service.keyState[key].Advance(fraction.fraction, s.utilization(fraction.session), elapsed)
}

// utilization is the load of a server per slot.
func (s *Supervisor) utilization(number uint64) float64 {
	session, router := s.state.Session(number), s.routers[number]
	if session == nil || session.Row.Server == nil || router == nil {
		return 0
	}
	return router.workload.load / float64(max(session.Row.Server.Slots, 1))
}

func (s *Supervisor) proposeKeyChange(t *assigner.Table, service *serviceState, key string, keyState balancer.HotKeyState, batch *batch) {
	name := t.Service.Name
	_, promoted := t.Locate(key)
	switch {
	case !promoted && keyState.ShouldPromote():
		batch.add("key/"+name+"/"+key, assigner.Command{Promote: &assigner.Promote{Service: name, Key: key}})
	case !promoted && keyState.HotTime == 0:
		delete(service.keyState, key)
	case promoted && keyState.ShouldDemote():
		s.demoteKey(t, key, batch)
	}
}

// demoteKey demotes a key, or first moves it to the owner of its hash shard.
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
