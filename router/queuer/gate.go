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
	total   Totals
	summed  time.Duration
}

// Totals sum up what a Gate did since it was made.
type Totals struct {
	// Busy is the time that slots were in use, Open the time that there were slots,
	// both summed over all slots.
	Busy time.Duration
	Open time.Duration
	// Offered counts the jobs, Refused those that were turned away, at once or after
	// they had waited, and Served those whose work was well done.
	Offered uint64
	Refused uint64
	Served  uint64
}

// Since are the totals since earlier ones.
func (t Totals) Since(earlier Totals) Totals {
	return Totals{
		Busy: t.Busy - earlier.Busy, Open: t.Open - earlier.Open,
		Offered: t.Offered - earlier.Offered, Refused: t.Refused - earlier.Refused, Served: t.Served - earlier.Served,
	}
}

// Totals returns the totals until now.
func (g *Gate) Totals() Totals {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sum(g.Now())
	return g.total
}

// sum adds the time since the last event. The caller holds mu.
func (g *Gate) sum(now time.Duration) {
	running, _, slots := g.queue.Load()
	span := now - g.summed
	g.total.Busy += time.Duration(min(running, slots)) * span
	g.total.Open += time.Duration(slots) * span
	g.summed = now
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
	g.sum(g.Now())
	g.queue.SetSlots(slots)
	g.wake(g.queue.Next(g.Now()))
}

// Work is the load of the server.
func (g *Gate) Work() messenger.ServerWork {
	g.mu.Lock()
	defer g.mu.Unlock()
	running, waiting, slots := g.queue.Load()
	return messenger.ServerWork{Running: running, Waiting: waiting, Slots: slots, Pace: g.queue.Pace(), Slowness: float32(g.queue.Slowness())}
}

// Acquire returns a slot, or why there is none. It returns at once when the job
// can't be served in time.
func (g *Gate) Acquire(ctx context.Context, job Job) (*Slot, *Refusal) {
	g.mu.Lock()
	now := g.Now()
	g.sum(now)
	g.total.Offered++
	g.refuse(now)
	entry, refusal := g.queue.Offer(now, job)
	if refusal != nil {
		g.total.Refused++
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
		g.total.Refused++
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
		g.total.Refused++
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
		s.gate.sum(now)
		if served {
			s.gate.total.Served++
		}
		s.gate.refuse(now)
		s.gate.wake(s.gate.queue.Done(now, s.entry, served))
	})
}
