package balancer

import (
	"cmp"
	"math"
	"slices"
)

// ServerLoad is a server with its measured load.
type ServerLoad struct {
	Server
	// Load is the number of slots that its requests occupy, as a mean over the
	// window.
	Load float64
	// Requests is the number of requests that the mean was taken over.
	Requests float64
	// Accepts reports whether it may get more shards.
	Accepts bool
	// Cold reports whether it starts cold, in which case it gets no large shards.
	Cold bool
}

// ShardLoad is an owned shard with its measured load in slots.
type ShardLoad struct {
	Shard uint32
	Load  float64
}

// Move is the move of a shard between two sessions.
type Move struct {
	Shard uint32
	From  uint64
	To    uint64
}

const (
	// baseFraction is the fraction of the total load that is counted as spread
	// evenly over all shards, so that shards without measured load have a weight,
	// too.
	baseFraction = 0.1
	// idleUtilization is the utilization below which a service is idle. It is also
	// the least utilization that base loads add up to.
	idleUtilization = 0.01
	// maxColdFraction bounds the load of a shard that moves to a cold server, as a
	// fraction of the mean load of a server.
	maxColdFraction = 0.125
	// maxNoise bounds the noise of a server with very few requests.
	maxNoise = 2.0
)

// Loads are the loads of the servers of one service while moves are planned.
type Loads struct {
	servers []ServerLoad
	// base is the load that each shard is counted with, in addition to its own.
	base float64
	idle bool
}

// NewLoads computes the loads that moves are planned from.
func NewLoads(servers []ServerLoad) *Loads {
	load, slots, shards := 0.0, 0, 0
	for _, server := range servers {
		load += server.Load
		slots += max(server.Slots, 1)
		shards += server.Shards
	}
	base := 0.0
	if shards > 0 {
		base = max(baseFraction*load, idleUtilization*float64(slots)) / float64(shards)
	}
	return &Loads{servers: slices.Clone(servers), base: base, idle: load < idleUtilization*float64(slots)}
}

// utilization is the load of a server per slot, including the base load of its
// shards.
func (l *Loads) utilization(n int) float64 {
	server := &l.servers[n]
	return (server.Load + l.base*float64(server.Shards)) / float64(max(server.Slots, 1))
}

// Skew measures how unevenly load is distributed over the servers.
func (l *Loads) Skew() Skew {
	if len(l.servers) < 2 {
		return Skew{}
	}
	total, most, least := 0.0, 0, 0
	for n := range l.servers {
		total += l.utilization(n)
		if l.utilization(n) > l.utilization(most) {
			most = n
		}
		if l.utilization(n) < l.utilization(least) {
			least = n
		}
	}
	mean := total / float64(len(l.servers))
	if mean == 0 {
		return Skew{}
	}
	return Skew{
		Mean:    mean,
		Excess:  l.utilization(most)/mean - 1,
		Deficit: 1 - l.utilization(least)/mean,
		Idle:    l.idle,
		Noise:   l.noise(most),
	}
}

// noise is the fraction of a server's load that may be due to chance.
func (l *Loads) noise(n int) float64 {
	server := &l.servers[n]
	own := server.Load / (server.Load + l.base*float64(server.Shards))
	if server.Load == 0 {
		return 0
	}
	return own * min(noiseFactor/math.Sqrt(max(server.Requests, 1)), maxNoise)
}

// Plan plans up to limit moves, from the most to the least utilized server, until
// no shard fits between them or the weights require no more. It calls shardsOf once
// for each session.
func (l *Loads) Plan(weights Weights, limit int, shardsOf func(session uint64) []ShardLoad) []Move {
	planner := planner{loads: l, shards: make(map[uint64][]ShardLoad), shardsOf: shardsOf, exhausted: make(map[int]bool)}
	var moves []Move
	for len(moves) < limit && weights.ShouldMove(l.Skew(), true) {
		move, ok := planner.next()
		if !ok {
			break
		}
		moves = append(moves, move)
	}
	return moves
}

// planner is the state of one call of Plan.
type planner struct {
	loads    *Loads
	shards   map[uint64][]ShardLoad
	shardsOf func(session uint64) []ShardLoad
	// exhausted has the servers that have no shard that fits.
	exhausted map[int]bool
}

// next plans one move and updates the loads by it.
func (p *planner) next() (Move, bool) {
	for {
		from, to := p.endpoints()
		if from < 0 || to < 0 || from == to {
			return Move{}, false
		}
		shard, ok := p.takeShard(from, to)
		if !ok {
			p.exhausted[from] = true
			continue
		}
		source, target := &p.loads.servers[from], &p.loads.servers[to]
		source.Load -= shard.Load
		target.Load += shard.Load
		source.Shards--
		target.Shards++
		return Move{Shard: shard.Shard, From: source.Session, To: target.Session}, true
	}
}

// endpoints returns the most utilized server that has shards that fit, and the
// least utilized one that accepts shards.
func (p *planner) endpoints() (from, to int) {
	from, to = -1, -1
	for n := range p.loads.servers {
		if !p.exhausted[n] && (from < 0 || p.loads.utilization(n) > p.loads.utilization(from)) {
			from = n
		}
		if p.loads.servers[n].Accepts && (to < 0 || p.loads.utilization(n) < p.loads.utilization(to)) {
			to = n
		}
	}
	return from, to
}

// takeShard takes the largest shard whose move does not make the target more
// utilized than the source.
func (p *planner) takeShard(from, to int) (ShardLoad, bool) {
	source, target := &p.loads.servers[from], &p.loads.servers[to]
	gap := p.loads.utilization(from) - p.loads.utilization(to)
	maxLoad := gap / (1/float64(max(source.Slots, 1)) + 1/float64(max(target.Slots, 1)))
	if target.Cold {
		maxLoad = min(maxLoad, maxColdFraction*p.loads.Skew().Mean*float64(max(target.Slots, 1)))
	}
	shards := p.remainingShards(source.Session)
	first, _ := slices.BinarySearchFunc(shards, maxLoad-p.loads.base, func(s ShardLoad, most float64) int {
		return cmp.Compare(most, s.Load)
	})
	if first >= len(shards) {
		return ShardLoad{}, false
	}
	shard := shards[first]
	p.shards[source.Session] = slices.Delete(shards, first, first+1)
	return shard, true
}

// remainingShards returns the shards of a session that were not taken, largest
// first.
func (p *planner) remainingShards(session uint64) []ShardLoad {
	shards, found := p.shards[session]
	if found {
		return shards
	}
	shards = slices.Clone(p.shardsOf(session))
	slices.SortFunc(shards, func(a, b ShardLoad) int {
		if order := cmp.Compare(b.Load, a.Load); order != 0 {
			return order
		}
		return cmp.Compare(a.Shard, b.Shard)
	})
	p.shards[session] = shards
	return shards
}
