package balancer

import (
	"cmp"
	"container/heap"
	"slices"
)

// Place gives each free shard to the server that has the fewest shards for its
// slots at that point. Of servers that are equal, those of different failure
// domains take turns. Placements are ordered by session.
func Place(free []uint32, servers []Server) []Placement {
	if len(servers) == 0 || len(free) == 0 {
		return nil
	}
	queue := newFillQueue(servers)
	placements := make([]Placement, len(servers))
	for n := range servers {
		placements[n].Session = servers[n].Session
	}
	for _, shard := range free {
		place := queue.places[0].index
		placements[place].Shards = append(placements[place].Shards, shard)
		queue.fillFirst()
	}
	placements = slices.DeleteFunc(placements, func(p Placement) bool { return len(p.Shards) == 0 })
	slices.SortFunc(placements, func(a, b Placement) int { return cmp.Compare(a.Session, b.Session) })
	return placements
}

// fillPlace is the state of one server while it is filled.
type fillPlace struct {
	index  int
	shards int
	slots  int
	// turn orders servers of different failure domains among equals.
	turn int
}

// level is how full the server is with one more shard.
func (p *fillPlace) level() float64 {
	return float64(p.shards+1) / float64(p.slots)
}

// fillQueue is a heap with the server to be filled next in front.
type fillQueue struct {
	places []fillPlace
}

func newFillQueue(servers []Server) *fillQueue {
	turns := domainTurns(servers)
	queue := &fillQueue{places: make([]fillPlace, len(servers))}
	for n, server := range servers {
		queue.places[n] = fillPlace{index: n, shards: server.Shards, slots: max(server.Slots, 1), turn: turns[n]}
	}
	heap.Init(queue)
	return queue
}

// domainTurns numbers the servers so that rising numbers go round the failure
// domains.
func domainTurns(servers []Server) []int {
	seen := make(map[string]int)
	turns := make([]int, len(servers))
	for n, server := range servers {
		turns[n] = seen[server.Domain]*len(servers) + n
		seen[server.Domain]++
	}
	return turns
}

// fillFirst gives one shard to the server in front.
func (q *fillQueue) fillFirst() {
	q.places[0].shards++
	heap.Fix(q, 0)
}

// Len implements [heap.Interface].
func (q *fillQueue) Len() int { return len(q.places) }

// Less implements [heap.Interface].
func (q *fillQueue) Less(i, j int) bool {
	a, b := &q.places[i], &q.places[j]
	if order := cmp.Compare(a.level(), b.level()); order != 0 {
		return order < 0
	}
	return a.turn < b.turn
}

// Swap implements [heap.Interface].
func (q *fillQueue) Swap(i, j int) { q.places[i], q.places[j] = q.places[j], q.places[i] }

// Push implements [heap.Interface]; nothing is pushed.
func (q *fillQueue) Push(any) {}

// Pop implements [heap.Interface]; nothing is popped.
func (q *fillQueue) Pop() any { return nil }
