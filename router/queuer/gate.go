package queuer

import (
	"context"
	"sync"
	"time"

	"marigoldhill/kernel/messenger"
)

// Gate lets requests wait for their turn in a Queue. Its methods are safe for
// concurrent use.
type Gate struct {
	begun time.Time

	mu      sync.Mutex
	queue   *Queue
	sleeper map[*Entry]chan turn
}

// turn ends the wait of an entry.
type turn struct {
	refusal *Refusal
}

// NewGate returns a Gate for a server with so many slots.
func NewGate(slots int) *Gate {
	return &Gate{begun: time.Now(), queue: NewQueue(slots), sleeper: make(map[*Entry]chan turn)}
}

// Slot is the right to run one request.
type Slot struct {
	gate  *Gate
	entry *Entry
	once  sync.Once
}

// Now is the time on the clock of the jobs.
func (g *Gate) Now() time.Duration {
	return time.Since(g.begun)
}

// SetSlots changes the number of slots.
func (g *Gate) SetSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetSlots(slots)
	g.wake(g.queue.Next(g.Now()))
}

// Work is the load of the server.
func (g *Gate) Work() messenger.ServerWork {
	g.mu.Lock()
	defer g.mu.Unlock()
	running, waiting, slots := g.queue.Load()
	return messenger.ServerWork{Running: running, Waiting: waiting, Slots: slots, Pace: g.queue.Pace()}
}

// Acquire returns a slot, or why there is none. It returns at once when the job
// can't be served in time.
func (g *Gate) Acquire(ctx context.Context, job Job) (*Slot, *Refusal) {
	g.mu.Lock()
	now := g.Now()
	g.refuse(now)
	entry, refusal := g.queue.Offer(now, job)
	if refusal != nil {
		g.mu.Unlock()
		return nil, refusal
	}
	slot := &Slot{gate: g, entry: entry}
	if entry.running {
		g.mu.Unlock()
		return slot, nil
	}
	wake := make(chan turn, 1)
	g.sleeper[entry] = wake
	g.mu.Unlock()
	expiry := time.NewTimer(job.Deadline - entry.cost - now)
	defer expiry.Stop()
	select {
	case turn := <-wake:
		return slot.orRefused(turn)
	case <-ctx.Done():
		refusal = &Refusal{Reason: messenger.ReasonCanceled}
	case <-expiry.C:
		refusal = &Refusal{Reason: messenger.ReasonDeadline}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Leave(entry) {
		delete(g.sleeper, entry)
		return nil, refusal
	}
	// Its turn came at the same moment.
	return slot.orRefused(<-wake)
}

func (s *Slot) orRefused(turn turn) (*Slot, *Refusal) {
	if turn.refusal != nil {
		return nil, turn.refusal
	}
	return s, nil
}

// wake lets started jobs go on. The caller holds mu.
func (g *Gate) wake(started []*Entry) {
	for _, entry := range started {
		g.end(entry, turn{})
	}
}

// refuse ends the wait of jobs without hope. The caller holds mu.
func (g *Gate) refuse(now time.Duration) {
	for _, entry := range g.queue.Hopeless(now) {
		g.end(entry, turn{refusal: &Refusal{Reason: messenger.ReasonDeadline}})
	}
}

func (g *Gate) end(entry *Entry, turn turn) {
	if wake, waits := g.sleeper[entry]; waits {
		delete(g.sleeper, entry)
		wake <- turn
	}
}

// Release gives the slot back. With served its time counts for the cost of its
// kind. Only the first call counts.
func (s *Slot) Release(served bool) {
	s.once.Do(func() {
		s.gate.mu.Lock()
		defer s.gate.mu.Unlock()
		now := s.gate.Now()
		s.gate.refuse(now)
		s.gate.wake(s.gate.queue.Done(now, s.entry, served))
	})
}
