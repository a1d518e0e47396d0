package drainer

import (
	"sync"

	"marigoldhill/kernel/messenger"
)

// Ticket is one request in flight.
type Ticket struct {
	ref    messenger.ShardRef
	key    string
	sealed chan struct{}
	isOver bool
}

// Sealed is closed when the grant of the request is given back: what waits
// under it must give up.
func (t *Ticket) Sealed() <-chan struct{} {
	return t.sealed
}

// Tracker knows the requests in flight under each grant, and seals grants that
// are given back. Its methods are safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	tickets map[*Ticket]struct{}
	sealed  map[messenger.ShardRef]struct{}
	idle    chan struct{}
}

// NewTracker returns a Tracker with nothing in flight.
func NewTracker() *Tracker {
	idle := make(chan struct{})
	close(idle)
	return &Tracker{
		tickets: make(map[*Ticket]struct{}),
		sealed:  make(map[messenger.ShardRef]struct{}),
		idle:    idle,
	}
}

// Enter notes a request for a key under a grant. It returns nil when the grant
// is sealed; otherwise Leave must follow.
func (t *Tracker) Enter(ref messenger.ShardRef, key string) *Ticket {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.sealed[ref]; ok {
		return nil
	}
	if len(t.tickets) == 0 {
		t.idle = make(chan struct{})
	}
	ticket := &Ticket{ref: ref, key: key, sealed: make(chan struct{})}
	t.tickets[ticket] = struct{}{}
	return ticket
}

// Leave ends a request that entered. Only the first call counts.
func (t *Tracker) Leave(ticket *Ticket) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.tickets[ticket]; !ok {
		return
	}
	delete(t.tickets, ticket)
	if len(t.tickets) == 0 {
		close(t.idle)
	}
}

// Seal lets nothing more enter under grants, and returns those with nothing in
// flight. A key may have changed its shard while a request for it runs, so
// shardOf tells the shard that it is in now.
func (t *Tracker) Seal(refs []messenger.ShardRef, shardOf func(service, key string) uint32) []messenger.ShardRef {
	if len(refs) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ref := range refs {
		t.sealed[ref] = struct{}{}
	}
	busy := make(map[place]struct{}, 2*len(t.tickets))
	for ticket := range t.tickets {
		service := ticket.ref.Service
		busy[place{service, ticket.ref.Shard}] = struct{}{}
		busy[place{service, shardOf(service, ticket.key)}] = struct{}{}
		t.warn(ticket)
	}
	var free []messenger.ShardRef
	for _, ref := range refs {
		if _, ok := busy[place{ref.Service, ref.Shard}]; !ok {
			free = append(free, ref)
		}
	}
	return free
}

// warn tells a ticket that its grant is sealed. It needs the lock.
func (t *Tracker) warn(ticket *Ticket) {
	if _, ok := t.sealed[ticket.ref]; ok && !ticket.isOver {
		ticket.isOver = true
		close(ticket.sealed)
	}
}

// place is a shard without its fence.
type place struct {
	service string
	shard   uint32
}

// Prune forgets the seals of grants that are over.
func (t *Tracker) Prune(isHeld func(ref messenger.ShardRef) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for ref := range t.sealed {
		if !isHeld(ref) {
			delete(t.sealed, ref)
		}
	}
}

// Total is the number of requests in flight.
func (t *Tracker) Total() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.tickets)
}

// Idle is closed while nothing is in flight.
func (t *Tracker) Idle() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idle
}
