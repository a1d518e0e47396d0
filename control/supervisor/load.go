package supervisor

import (
	"time"

	"marigoldhill/control/assigner"
	"marigoldhill/control/balancer"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const (
	// measureInterval is the time between two updates of the mean loads.
	measureInterval = time.Second
	// loadWindow is the time constant of the mean loads.
	loadWindow = 20 * time.Second
)

// workload is the load that a router reported since the last update of the means,
// and its means over loadWindow.
type workload struct {
	busy     time.Duration
	requests uint64
	// load is in slots, rate in requests per second.
	load float64
	rate float64
}

// serviceState is what the leader keeps for a service.
type serviceState struct {
	// firstServer is when a server that can own shards was first present.
	firstServer timer.Instant
	// busy is the busy time of each shard since the last update of the means, load
	// its mean in slots.
	busy []time.Duration
	load []float64
	// keyState has the state of each key that was hot or is promoted, keyFractions
	// the fractions that were reported since the last update of the means.
	keyState     map[string]balancer.HotKeyState
	keyFractions map[string]keyFraction
	// imbalancedSince is when moves began to gain more than they cost, rebalancing
	// whether such moves are in progress.
	imbalancedSince timer.Instant
	rebalancing     bool
	moves           moveBudget
	// owners has the owners that the loads are attributed to, as of revision.
	owners   []uint64
	revision uint64
}

// serviceState returns the state that is kept for the service of a table.
func (s *Supervisor) serviceState(t *assigner.Table) *serviceState {
	service := s.services[t.Service.Name]
	if service == nil {
		service = &serviceState{
			keyState:     make(map[string]balancer.HotKeyState),
			keyFractions: make(map[string]keyFraction),
		}
		s.services[t.Service.Name] = service
	}
	if missing := int(t.Size()) - len(service.busy); missing > 0 {
		service.busy = append(service.busy, make([]time.Duration, missing)...)
		service.load = append(service.load, make([]float64, missing)...)
		service.owners = append(service.owners, make([]uint64, missing)...)
	}
	return service
}

// addShardLoads adds the load that a heartbeat reports.
func (s *Supervisor) addShardLoads(router *routerState, heartbeat *messenger.Heartbeat) {
	requests, busy := heartbeat.Requests, heartbeat.Busy
	sumLoads := requests == 0 && busy == 0
	for _, load := range heartbeat.Loads {
		if sumLoads {
			router.workload.requests += load.Requests
			router.workload.busy += load.Busy
		}
		if t := s.state.Table(load.Service); t != nil && load.Shard < t.Size() {
			s.serviceState(t).busy[load.Shard] += load.Busy
		}
	}
	router.workload.requests += requests
	router.workload.busy += busy
	for _, key := range heartbeat.Keys {
		if t := s.state.Table(key.Service); t != nil {
			s.serviceState(t).keyFractions[key.Key] = keyFraction{session: heartbeat.Session, fraction: key.Part}
		}
	}
}

// updateMeans updates the mean loads with the loads reported since the last update.
func (s *Supervisor) updateMeans(elapsed time.Duration) {
	weight := min(elapsed.Seconds()/loadWindow.Seconds(), 1)
	for number, entry := range s.routers {
		if s.state.Session(number) == nil {
			delete(s.routers, number)
			continue
		}
		entry.workload.updateMeans(elapsed, weight)
	}
	for _, t := range s.state.Tables() {
		entry := s.serviceState(t)
		for n, busy := range entry.busy {
			if busy == 0 && entry.load[n] == 0 {
				continue
			}
			entry.load[n] += weight * (busy.Seconds()/elapsed.Seconds() - entry.load[n])
			entry.busy[n] = 0
		}
		s.transferLoads(t, entry)
	}
}

// transferLoads attributes the mean load of shards that changed their owner to the
// new one, since the means of routers lag behind.
func (s *Supervisor) transferLoads(t *assigner.Table, service *serviceState) {
	if service.revision == t.ChangedRevision() {
		return
	}
	service.revision = t.ChangedRevision()
	unreported := s.unreportedLoads(service)
	for number := range t.Size() {
		before, after := service.owners[number], t.Ownership(number).Owner
		if before == after || after == 0 {
			continue
		}
		service.owners[number] = after
		load := service.load[number]
		if load == 0 {
			load = unreported[before]
		}
		if from := s.routers[before]; from != nil {
			from.workload.load = max(from.workload.load-load, 0)
		}
		if to := s.routers[after]; to != nil {
			to.workload.load += load
		}
	}
}

// unreportedLoads returns the mean load of a shard, by session, for the shards
// whose own load was too small to be reported.
func (s *Supervisor) unreportedLoads(service *serviceState) map[uint64]float64 {
	unreported := make(map[uint64]float64)
	count := make(map[uint64]float64)
	for number, owner := range service.owners {
		unreported[owner] += service.load[number]
		if service.load[number] == 0 {
			count[owner]++
		}
	}
	for owner, sum := range unreported {
		unreported[owner] = 0
		if from := s.routers[owner]; from != nil && count[owner] > 0 {
			unreported[owner] = max(from.workload.load-sum, 0) / count[owner]
		}
	}
	return unreported
}

func (w *workload) updateMeans(elapsed time.Duration, weight float64) {
	w.load += weight * (w.busy.Seconds()/elapsed.Seconds() - w.load)
	w.rate += weight * (float64(w.requests)/elapsed.Seconds() - w.rate)
	w.busy = 0
	w.requests = 0
}
