package balancer

import (
	"cmp"
	"math"
	"slices"
)

// ServerLoad is a server with its measured work.
type ServerLoad struct {
	Server
	// Load is how many slots its work holds, as a mean over the window.
	Load float64
	// Requests is how many requests the mean was taken over.
	Requests float64
	// Accepts says that it may get more shards.
	Accepts bool
	// Cold says that it starts cold, so it gets no large shards.
	Cold bool
}

// ShardLoad is an owned shard with its measured work in slots.
type ShardLoad struct {
	Shard uint32
	Load  float64
}

// Move moves a shard between two sessions.
type Move struct {
	Shard uint32
	From  uint64
	To    uint64
}

const (
	// basePart is the part of all work that is spread evenly over all shards
	// when they are weighed, so that shards without measured work count, too.
	basePart = 0.1
	// idleLoad is the work in slots, for each slot, that an idle service counts
	// as having.
	idleLoad = 0.01
	// coldPart is the largest part of the mean work of a server that a cold
	// server gets in one shard.
	coldPart = 0.125
	// maxNoise bounds the noise of a server with hardly any requests.
	maxNoise = 2.0
)

// Loads are the servers of one service while moves are planned.
type Loads struct {
	servers []ServerLoad
	// base is the work that each shard counts as having, besides its own.
	base float64
	idle bool
}

// NewLoads weighs servers.
func NewLoads(servers []ServerLoad) *Loads {
	load, slots, shards := 0.0, 0, 0
	for _, server := range servers {
		load += server.Load
		slots += max(server.Slots, 1)
		shards += server.Shards
	}
	base := 0.0
	if shards > 0 {
		base = max(basePart*load, idleLoad*float64(slots)) / float64(shards)
	}
	return &Loads{servers: slices.Clone(servers), base: base, idle: load < idleLoad*float64(slots)}
}

// utilization is the weighed work of a server for each of its slots.
func (l *Loads) utilization(n int) float64 {
	server := &l.servers[n]
	return (server.Load + l.base*float64(server.Shards)) / float64(max(server.Slots, 1))
}

// Skew tells how unevenly work lands on the servers.
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

// noise is the part of a server's work that chance may have made.
func (l *Loads) noise(n int) float64 {
	server := &l.servers[n]
	own := server.Load / (server.Load + l.base*float64(server.Shards))
	if server.Load == 0 {
		return 0
	}
	return own * min(noiseFactor/math.Sqrt(max(server.Requests, 1)), maxNoise)
}

// Plan plans up to limit moves, from the fullest server to the emptiest one,
// until no shard fits between them or the weights ask for no more. The shards of
// a session are asked for once.
func (l *Loads) Plan(weights Weights, limit int, shardsOf func(session uint64) []ShardLoad) []Move {
	planner := planner{loads: l, shards: make(map[uint64][]ShardLoad), shardsOf: shardsOf, spent: make(map[int]bool)}
	var moves []Move
	for len(moves) < limit && weights.IsActive(l.Skew(), true) {
		move, ok := planner.next()
		if !ok {
			break
		}
		moves = append(moves, move)
	}
	return moves
}

// planner is the state of one Plan.
type planner struct {
	loads    *Loads
	shards   map[uint64][]ShardLoad
	shardsOf func(session uint64) []ShardLoad
	// spent has the servers that have no shard that fits.
	spent map[int]bool
}

// next plans one move and counts it.
func (p *planner) next() (Move, bool) {
	for {
		from, to := p.ends()
		if from < 0 || to < 0 || from == to {
			return Move{}, false
		}
		shard, ok := p.choose(from, to)
		if !ok {
			p.spent[from] = true
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

// ends finds the fullest server with shards that fit, and the emptiest one that
// accepts shards.
func (p *planner) ends() (from, to int) {
	from, to = -1, -1
	for n := range p.loads.servers {
		if !p.spent[n] && (from < 0 || p.loads.utilization(n) > p.loads.utilization(from)) {
			from = n
		}
		if p.loads.servers[n].Accepts && (to < 0 || p.loads.utilization(n) < p.loads.utilization(to)) {
			to = n
		}
	}
	return from, to
}

// choose takes the largest shard whose move does not make the target fuller than
// the source.
func (p *planner) choose(from, to int) (ShardLoad, bool) {
	source, target := &p.loads.servers[from], &p.loads.servers[to]
	gap := p.loads.utilization(from) - p.loads.utilization(to)
	room := gap / (1/float64(max(source.Slots, 1)) + 1/float64(max(target.Slots, 1)))
	if target.Cold {
		room = min(room, coldPart*p.loads.Skew().Mean*float64(max(target.Slots, 1)))
	}
	shards := p.sorted(source.Session)
	first, _ := slices.BinarySearchFunc(shards, room-p.loads.base, func(s ShardLoad, most float64) int {
		return cmp.Compare(most, s.Load)
	})
	if first >= len(shards) {
		return ShardLoad{}, false
	}
	shard := shards[first]
	p.shards[source.Session] = slices.Delete(shards, first, first+1)
	return shard, true
}

// sorted returns the shards of a session that are left, the largest first.
func (p *planner) sorted(session uint64) []ShardLoad {
	shards, known := p.shards[session]
	if known {
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
