package balancer

import (
	"cmp"
	"container/heap"
	"slices"
)

// Place assigns each free shard to the server that has the fewest shards per slot
// at that point. Among equal servers it alternates between failure domains.
// Placements are ordered by session.
func Place(free []uint32, servers []Server) []Placement {
	if len(servers) == 0 || len(free) == 0 {
		return nil
	}
	queue := newPlacementHeap(servers)
	placements := make([]Placement, len(servers))
	for n := range servers {
		placements[n].Session = servers[n].Session
	}
	for _, shard := range free {
		target := queue.fills[0].index
		placements[target].Shards = append(placements[target].Shards, shard)
		queue.assignToFirst()
	}
	placements = slices.DeleteFunc(placements, func(p Placement) bool { return len(p.Shards) == 0 })
	slices.SortFunc(placements, func(a, b Placement) int { return cmp.Compare(a.Session, b.Session) })
	return placements
}

// serverFill is the state of one server while shards are placed.
type serverFill struct {
	index  int
	shards int
	slots  int
	// domainOrder orders equal servers so that failure domains alternate.
	domainOrder int
}

// shardsPerSlot is the number of shards per slot with one more shard.
func (p *serverFill) shardsPerSlot() float64 {
	return float64(p.shards+1) / float64(p.slots)
}

// placementHeap is a heap whose first server gets the next shard.
type placementHeap struct {
	fills []serverFill
}

func newPlacementHeap(servers []Server) *placementHeap {
	orders := domainOrders(servers)
	queue := &placementHeap{fills: make([]serverFill, len(servers))}
	for n, server := range servers {
		queue.fills[n] = serverFill{index: n, shards: server.Shards, slots: max(server.Slots, 1), domainOrder: orders[n]}
	}
	heap.Init(queue)
	return queue
}

// domainOrders numbers the servers so that ascending numbers alternate between
// failure domains.
func domainOrders(servers []Server) []int {
	seen := make(map[string]int)
	orders := make([]int, len(servers))
	for n, server := range servers {
		orders[n] = seen[server.Domain]*len(servers) + n
		seen[server.Domain]++
	}
	return orders
}

// assignToFirst assigns one shard to the first server.
func (q *placementHeap) assignToFirst() {
	q.fills[0].shards++
	heap.Fix(q, 0)
}

// Len implements [heap.Interface].
func (q *placementHeap) Len() int { return len(q.fills) }

// Less implements [heap.Interface].
func (q *placementHeap) Less(i, j int) bool {
	a, b := &q.fills[i], &q.fills[j]
	if order := cmp.Compare(a.shardsPerSlot(), b.shardsPerSlot()); order != 0 {
		return order < 0
	}
	return a.domainOrder < b.domainOrder
}

// Swap implements [heap.Interface].
func (q *placementHeap) Swap(i, j int) { q.fills[i], q.fills[j] = q.fills[j], q.fills[i] }

// Push implements [heap.Interface]. It is not used, as the heap keeps its size.
func (q *placementHeap) Push(any) {}

// Pop implements [heap.Interface]. It is not used, as the heap keeps its size.
func (q *placementHeap) Pop() any { return nil }
