package queuer

import (
	"context"
	"sync"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/throttler"
)

// Admission blocks requests until a Queue starts them or refuses them. Its methods are
// safe for concurrent use.
type Admission struct {
	start time.Time

	mu      sync.Mutex
	queue   *Queue
	waiters map[*Entry]chan outcome
	totals  Totals
	// coldRefused counts the refusals for the bound of a cold server.
	coldRefused uint64
	updated     time.Duration
	// paused is the time in which the process did not run that the queue knows of.
	paused time.Duration
	// limitNamed is when the backend server first named the limit that is in force.
	limitNamed time.Time
	// controller computes which fraction of the requests entry routers should send.
	controller *throttler.Controller
	// startTimer runs when a job can start that waits for the limit.
	startTimer *time.Timer
}

// Totals are cumulative counters of an Admission, from its creation.
type Totals struct {
	// BusySlotTime is the time that slots were in use, SlotTime the time that slots existed,
	// both summed over all slots.
	BusySlotTime time.Duration
	SlotTime     time.Duration
	// Offered counts all jobs, Refused those that got no slot (refused on arrival,
	// or expired or canceled while waiting), and Served those whose slot was
	// released as served.
	Offered uint64
	Refused uint64
	Served  uint64
}

// Sub returns the difference between t and an earlier snapshot.
func (t Totals) Sub(earlier Totals) Totals {
	return Totals{
		BusySlotTime: t.BusySlotTime - earlier.BusySlotTime, SlotTime: t.SlotTime - earlier.SlotTime,
		Offered: t.Offered - earlier.Offered, Refused: t.Refused - earlier.Refused, Served: t.Served - earlier.Served,
	}
}

// Totals returns a snapshot of the counters.
func (a *Admission) Totals() Totals {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accumulate(a.Now())
	return a.totals
}

// accumulate adds the slot time since the last event. The caller holds mu.
func (a *Admission) accumulate(now time.Duration) {
	a.countPauses()
	running, _, slots := a.queue.Load()
	elapsed := now - a.updated
	a.totals.BusySlotTime += time.Duration(min(running, slots)) * elapsed
	a.totals.SlotTime += time.Duration(slots) * elapsed
	a.updated = now
}

// countPauses passes the pauses of the process since the last event to the queue, before jobs
// start or end. The caller holds mu.
func (a *Admission) countPauses() {
	if paused := timer.Paused(); paused > a.paused {
		a.queue.Pause(paused - a.paused)
		a.paused = paused
	}
}

// outcome ends the wait of an entry: it was started, or refused if refusal is
// set.
type outcome struct {
	refusal *Refusal
}

// NewAdmission returns an Admission for a backend server with the given number of slots.
func NewAdmission(slots int) *Admission {
	return &Admission{start: time.Now(), queue: NewQueue(slots), waiters: make(map[*Entry]chan outcome), controller: throttler.NewController(), paused: timer.Paused()}
}

// Slot is the right to run one request.
type Slot struct {
	admission *Admission
	entry     *Entry
	once      sync.Once
}

// Now returns the time since the creation of the Admission. Times in a Job refer to this
// clock.
func (a *Admission) Now() time.Duration {
	return time.Since(a.start)
}

// SetSlots changes the number of slots and starts waiting jobs if there are more.
func (a *Admission) SetSlots(slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accumulate(a.Now())
	a.queue.SetSlots(slots)
	a.startWaiting(a.Now())
}

// SetLimit sets the limit that the backend server named, in requests per second, in the
// response to a request that was sent at an instant; nil means that the response names
// none. It reports whether that changed the limit. A response to a request that was sent
// before the limit was first named does not end it, since the server may have sent it
// before.
func (a *Admission) SetLimit(limit *float64, sentAt time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.queue.NamedLimit()
	switch {
	case limit == nil && (before == 0 || !sentAt.After(a.limitNamed)):
		return false
	case limit == nil:
		a.queue.SetLimit(a.Now(), 0)
	default:
		if before == 0 {
			a.limitNamed = time.Now()
		}
		a.queue.SetLimit(a.Now(), max(*limit, minLimit))
	}
	a.startWaiting(a.Now())
	return a.queue.NamedLimit() != before
}

// ClearLimit ends the limit, as when another server has started.
func (a *Admission) ClearLimit() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetLimit(a.Now(), 0)
	a.startWaiting(a.Now())
}

// Limit returns the limit that the backend server has named, in requests per second, or 0
// if there is none.
func (a *Admission) Limit() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.NamedLimit()
}

// startWaiting starts the jobs that can start and sets the timer for the next one. The
// caller holds mu.
func (a *Admission) startWaiting(now time.Duration) {
	a.countPauses()
	a.notifyStarted(a.queue.StartWaiting(now))
	a.setStartTimer(now)
}

// setStartTimer sets the timer for the next job that waits for the limit. The caller holds
// mu.
func (a *Admission) setStartTimer(now time.Duration) {
	delay, waits := a.queue.NextStart(now)
	if !waits {
		return
	}
	if a.startTimer == nil {
		a.startTimer = time.AfterFunc(delay, a.onStartTimer)
		return
	}
	a.startTimer.Reset(delay)
}

func (a *Admission) onStartTimer() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Now()
	a.accumulate(now)
	a.refuseLate(now)
	a.startWaiting(now)
}

// Work returns the current load of the backend server.
func (a *Admission) Work() messenger.ServerWork {
	a.mu.Lock()
	defer a.mu.Unlock()
	running, waiting, slots := a.queue.Load()
	return messenger.ServerWork{Running: running, Waiting: waiting, Slots: slots, Pace: a.queue.Pace(), Slowness: float32(a.queue.Slowness()),
		Limit: float32(a.queue.Limit()), LimitWait: a.queue.LimitWait(a.Now())}
}

// Fraction returns the fraction of the requests of a rank that entry routers should send,
// see [throttler.Controller].
func (a *Admission) Fraction(rank int) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Fraction(rank)
}

// Check returns the refusal that a job would get now, or nil.
func (a *Admission) Check(job Job) *Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	refusal := a.queue.Check(a.Now(), job)
	a.countCold(refusal)
	return refusal
}

// Cost returns the expected service time of a kind.
func (a *Admission) Cost(kind string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Cost(kind)
}

// JobCost returns the service time that is assumed for a job if it is offered now. For a trial
// it is less than that of its kind.
func (a *Admission) JobCost(job Job) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.newEntry(a.Now(), job).cost
}

// Acquire waits for a slot and returns it, or the refusal. It refuses without waiting
// if the job is not expected to finish in time.
func (a *Admission) Acquire(ctx context.Context, job Job) (*Slot, *Refusal) {
	a.mu.Lock()
	now := a.Now()
	a.accumulate(now)
	a.totals.Offered++
	a.refuseLate(now)
	entry, refusal := a.queue.Offer(now, job)
	a.controller.Observe(now, job.Rank, refusal == nil)
	if refusal != nil {
		a.totals.Refused++
		a.countCold(refusal)
		a.mu.Unlock()
		return nil, refusal
	}
	slot := &Slot{admission: a, entry: entry}
	if entry.running {
		a.mu.Unlock()
		return slot, nil
	}
	wake := make(chan outcome, 1)
	a.waiters[entry] = wake
	a.setStartTimer(now)
	a.mu.Unlock()
	expiry := time.NewTimer(job.Deadline - entry.cost - now)
	defer expiry.Stop()
	select {
	case outcome := <-wake:
		return slot.afterWait(outcome)
	case <-ctx.Done():
		refusal = &Refusal{Reason: messenger.ReasonCanceled}
	case <-expiry.C:
		refusal = &Refusal{Reason: messenger.ReasonDeadline}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.Cancel(entry) {
		a.totals.Refused++
		delete(a.waiters, entry)
		return nil, refusal
	}
	// The entry was started or refused concurrently.
	return slot.afterWait(<-wake)
}

func (s *Slot) afterWait(outcome outcome) (*Slot, *Refusal) {
	if outcome.refusal != nil {
		return nil, outcome.refusal
	}
	return s, nil
}

// notifyStarted wakes the waiters of started jobs. The caller holds mu.
func (a *Admission) notifyStarted(started []*Entry) {
	for _, entry := range started {
		a.endWait(entry, outcome{})
	}
}

// refuseLate refuses the waiting jobs that can no longer finish in time. The caller
// holds mu.
func (a *Admission) refuseLate(now time.Duration) {
	for _, entry := range a.queue.RemoveLate(now) {
		a.totals.Refused++
		a.endWait(entry, outcome{refusal: &Refusal{Reason: messenger.ReasonDeadline}})
	}
}

func (a *Admission) endWait(entry *Entry, outcome outcome) {
	if wake, waiting := a.waiters[entry]; waiting {
		delete(a.waiters, entry)
		wake <- outcome
	}
}

// Cost returns the service time that was assumed for the job when it arrived.
func (s *Slot) Cost() time.Duration {
	return s.entry.cost
}

// Release returns the slot. If served is set, its running time updates the expected
// cost of its kind. Calls after the first have no effect.
func (s *Slot) Release(served bool) {
	s.once.Do(func() {
		s.admission.mu.Lock()
		defer s.admission.mu.Unlock()
		now := s.admission.Now()
		s.admission.accumulate(now)
		if served {
			s.admission.totals.Served++
		}
		s.admission.refuseLate(now)
		s.admission.notifyStarted(s.admission.queue.Done(now, s.entry, served))
		s.admission.setStartTimer(now)
	})
}
