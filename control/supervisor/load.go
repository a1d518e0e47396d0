package supervisor

import (
	"time"

	"marigoldhill/control/assigner"
	"marigoldhill/control/balancer"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const (
	// weighInterval is the time between two weighings of loads.
	weighInterval = time.Second
	// loadWindow is the time constant of the mean loads.
	loadWindow = 20 * time.Second
)

// work is the work of a router: what it reported since the last weighing, and
// means over loadWindow.
type work struct {
	busy     time.Duration
	requests uint64
	// load is in slots, rate in requests a second.
	load float64
	rate float64
}

// service is what the leader keeps for a service.
type service struct {
	// first is when a server that can own shards was first seen.
	first timer.Instant
	// busy is the work of each shard since the last weighing, load its mean in
	// slots.
	busy []time.Duration
	load []float64
	// heat has the keys that were hot or are promoted, parts what was reported
	// of them since the last weighing.
	heat  map[string]balancer.HotKeyState
	parts map[string]keyPart
	// uneven is since when moves would gain more than they cost; active says
	// that they are under way.
	uneven timer.Instant
	active bool
	moves  moveBudget
	// owners has the owners that the loads were last weighed with, at revision.
	owners   []uint64
	revision uint64
}

// service returns what is kept for the service of a table.
func (s *Supervisor) service(t *assigner.Table) *service {
	known := s.services[t.Service.Name]
	if known == nil {
		known = &service{
			heat:  make(map[string]balancer.HotKeyState),
			parts: make(map[string]keyPart),
		}
		s.services[t.Service.Name] = known
	}
	if missing := int(t.Size()) - len(known.busy); missing > 0 {
		known.busy = append(known.busy, make([]time.Duration, missing)...)
		known.load = append(known.load, make([]float64, missing)...)
		known.owners = append(known.owners, make([]uint64, missing)...)
	}
	return known
}

// takeLoads adds the work that a heartbeat reports.
func (s *Supervisor) takeLoads(known *router, beat *messenger.Heartbeat) {
	requests, busy := beat.Requests, beat.Busy
	sum := requests == 0 && busy == 0
	for _, load := range beat.Loads {
		if sum {
			known.work.requests += load.Requests
			known.work.busy += load.Busy
		}
		if t := s.state.Table(load.Service); t != nil && load.Shard < t.Size() {
			s.service(t).busy[load.Shard] += load.Busy
		}
	}
	known.work.requests += requests
	known.work.busy += busy
	for _, key := range beat.Keys {
		if t := s.state.Table(key.Service); t != nil {
			s.service(t).parts[key.Key] = keyPart{session: beat.Session, part: key.Part}
		}
	}
}

// weigh turns the reported work into means.
func (s *Supervisor) weigh(span time.Duration) {
	part := min(span.Seconds()/loadWindow.Seconds(), 1)
	for number, known := range s.routers {
		if s.state.Session(number) == nil {
			delete(s.routers, number)
			continue
		}
		known.work.weigh(span, part)
	}
	for _, t := range s.state.Tables() {
		known := s.service(t)
		for n, busy := range known.busy {
			if busy == 0 && known.load[n] == 0 {
				continue
			}
			known.load[n] += part * (busy.Seconds()/span.Seconds() - known.load[n])
			known.busy[n] = 0
		}
		s.carryLoads(t, known)
	}
}

// carryLoads carries the mean work of shards that changed their owner over to
// the new one, since the means of routers lag behind.
func (s *Supervisor) carryLoads(t *assigner.Table, known *service) {
	if known.revision == t.Changed() {
		return
	}
	known.revision = t.Changed()
	rest := s.restLoads(known)
	for number := range t.Size() {
		before, after := known.owners[number], t.Ownership(number).Owner
		if before == after || after == 0 {
			continue
		}
		known.owners[number] = after
		load := known.load[number]
		if load == 0 {
			load = rest[before]
		}
		if from := s.routers[before]; from != nil {
			from.work.load = max(from.work.load-load, 0)
		}
		if to := s.routers[after]; to != nil {
			to.work.load += load
		}
	}
}

// restLoads is the mean work of the shards of each session whose own work was
// too small to be reported.
func (s *Supervisor) restLoads(known *service) map[uint64]float64 {
	rest := make(map[uint64]float64)
	count := make(map[uint64]float64)
	for number, owner := range known.owners {
		rest[owner] += known.load[number]
		if known.load[number] == 0 {
			count[owner]++
		}
	}
	for owner, sum := range rest {
		rest[owner] = 0
		if from := s.routers[owner]; from != nil && count[owner] > 0 {
			rest[owner] = max(from.work.load-sum, 0) / count[owner]
		}
	}
	return rest
}

func (w *work) weigh(span time.Duration, part float64) {
	w.load += part * (w.busy.Seconds()/span.Seconds() - w.load)
	w.rate += part * (float64(w.requests)/span.Seconds() - w.rate)
	w.busy = 0
	w.requests = 0
}
