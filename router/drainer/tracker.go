package drainer

import (
	"sync"

	"marigoldhill/kernel/messenger"
)

// Ticket is one request in flight.
type Ticket struct {
	ref      messenger.ShardRef
	key      string
	sealed   chan struct{}
	isSealed bool
}

// Sealed returns a channel that is closed when the grant of the request is sealed. A
// request that is still waiting must then give up.
func (t *Ticket) Sealed() <-chan struct{} {
	return t.sealed
}

// Tracker tracks the requests in flight under each grant and seals grants that are
// released. Its methods are safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	tickets map[*Ticket]struct{}
	sealed  map[messenger.ShardRef]struct{}
	idle    chan struct{}
}

// NewTracker returns a Tracker with no request in flight.
func NewTracker() *Tracker {
	idle := make(chan struct{})
	close(idle)
	return &Tracker{
		tickets: make(map[*Ticket]struct{}),
		sealed:  make(map[messenger.ShardRef]struct{}),
		idle:    idle,
	}
}

// Begin registers a request for a key under a grant. It returns nil if the grant is
// sealed; otherwise the caller must call End when the request ends.
func (t *Tracker) Begin(ref messenger.ShardRef, key string) *Ticket {
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

// End removes a request. Only the first call for a ticket has an effect.
func (t *Tracker) End(ticket *Ticket) {
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

// Seal stops the admission of requests under grants and returns those with no request
// in flight. The shard of a key may have changed while a request for it runs, so
// shardOf returns the current one.
func (t *Tracker) Seal(refs []messenger.ShardRef, shardOf func(service, key string) uint32) []messenger.ShardRef {
	if len(refs) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ref := range refs {
		t.sealed[ref] = struct{}{}
	}
	busy := make(map[shardID]struct{}, 2*len(t.tickets))
	for ticket := range t.tickets {
		service := ticket.ref.Service
		busy[shardID{service, ticket.ref.Shard}] = struct{}{}
		busy[shardID{service, shardOf(service, ticket.key)}] = struct{}{}
		t.closeSealed(ticket)
	}
	var free []messenger.ShardRef
	for _, ref := range refs {
		if _, ok := busy[shardID{ref.Service, ref.Shard}]; !ok {
			free = append(free, ref)
		}
	}
	return free
}

// closeSealed closes the channel of a ticket whose grant is sealed. The caller must
// hold t.mu.
func (t *Tracker) closeSealed(ticket *Ticket) {
	if _, ok := t.sealed[ticket.ref]; ok && !ticket.isSealed {
		ticket.isSealed = true
		close(ticket.sealed)
	}
}

// shardID identifies a shard regardless of the fence of its grant.
type shardID struct {
	service string
	shard   uint32
}

// Prune deletes the seals of grants that the router no longer owns.
func (t *Tracker) Prune(owns func(ref messenger.ShardRef) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for ref := range t.sealed {
		if !owns(ref) {
			delete(t.sealed, ref)
		}
	}
}

// Total returns the number of requests in flight.
func (t *Tracker) Total() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.tickets)
}

// Idle returns a channel that is closed while no request is in flight.
func (t *Tracker) Idle() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idle
}
