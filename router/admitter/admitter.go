// Package admitter decides which requests go to the backend server, and when.
//
// At most the announced slots are in use, cut back by what is observed of the
// answers: refusals for load, failures and growing latency. Interactive requests
// go before background ones, which hold at most their share of the slots and
// less as interactive requests queue. Inside a class, profiles share by weight,
// and inside a profile keys and callers take turns, so that a hot one does not
// starve others. Queues are bounded; a request that cannot meet its deadline any
// more is refused at once, and told when to come back.
//
// # Usage
//
//	admission := admitter.New(set)
//	admission.Serve(row)
//	slot, refusal := admission.Acquire(ctx, job)
//	if slot == nil { ... } // refuse with refusal.Reason
//	defer slot.Release(sample)
package admitter

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("admitter")

// Refusal says why a request got no slot. After is when it should come back; 0
// says nothing. With Reason none, the context of the request ended.
type Refusal struct {
	Reason messenger.Reason
	After  time.Duration
}

// Admitter admits requests for one backend server. Its methods are safe for
// concurrent use.
type Admitter struct {
	metrics *metrics.Set

	mu     sync.Mutex
	policy *policy
}

// New returns an Admitter that knows no backend server and lets one request
// through at a time.
func New(set *metrics.Set) *Admitter {
	return &Admitter{metrics: set, policy: newPolicy(timer.Now(), 1, false)}
}

// Serve takes a backend server that became ready. What was observed of another
// one counts no more.
func (a *Admitter) Serve(row messenger.ServerRow) {
	now := timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.policy.limiter = newLimiter(now, row.Slots, row.Cold)
	a.tell(a.policy.fill(now))
}

// Acquire waits for a slot until ctx ends.
func (a *Admitter) Acquire(ctx context.Context, job Job) (*Slot, Refusal) {
	a.mu.Lock()
	t, decided, changes := a.policy.arrive(timer.Now(), job)
	a.tell(changes)
	a.mu.Unlock()
	if decided.reason != messenger.ReasonNone {
		return nil, a.refuse(decided)
	}
	if t.verdict == nil {
		return &Slot{admitter: a, ticket: t}, Refusal{}
	}
	return a.wait(ctx, t)
}

// wait waits for the verdict on a ticket.
func (a *Admitter) wait(ctx context.Context, t *ticket) (*Slot, Refusal) {
	expiry := time.NewTimer(a.patience(t))
	defer expiry.Stop()
	select {
	case decided := <-t.verdict:
		return a.take(t, decided)
	case <-expiry.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	left := a.policy.leave(t)
	a.mu.Unlock()
	if !left {
		return a.take(t, <-t.verdict)
	}
	if err := context.Cause(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return nil, Refusal{}
	}
	return nil, a.refuse(verdict{reason: messenger.ReasonDeadline, after: retryMin})
}

// patience is how long a ticket may wait and still be served in time.
func (a *Admitter) patience(t *ticket) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return t.job.Timeout - a.policy.limiter.latency(t.job.Profile).mean()
}

func (a *Admitter) take(t *ticket, decided verdict) (*Slot, Refusal) {
	if decided.reason != messenger.ReasonNone {
		return nil, a.refuse(decided)
	}
	return &Slot{admitter: a, ticket: t}, Refusal{}
}

func (a *Admitter) refuse(decided verdict) Refusal {
	a.metrics.GetOrCreateCounter(`marigold_admission_refusals_total{reason="` + string(decided.reason) + `"}`).Inc()
	return Refusal{Reason: decided.reason, After: decided.after}
}

// tell hands verdicts to those who wait. It needs the lock.
func (a *Admitter) tell(changes []change) {
	for _, change := range changes {
		change.ticket.verdict <- change.verdict
	}
}

// Slot is a place at the backend server.
type Slot struct {
	admitter *Admitter
	ticket   *ticket
	once     sync.Once
}

// Release gives the slot back with what was observed. Only the first call of
// Release and Abandon counts.
func (s *Slot) Release(sample Sample) {
	s.once.Do(func() {
		a := s.admitter
		a.mu.Lock()
		defer a.mu.Unlock()
		a.tell(a.policy.finish(timer.Now(), s.ticket, sample))
	})
}

// Abandon gives the slot back without having used it.
func (s *Slot) Abandon() {
	s.once.Do(func() {
		a := s.admitter
		a.mu.Lock()
		defer a.mu.Unlock()
		a.tell(a.policy.abandon(timer.Now(), s.ticket))
	})
}

// Report says how much waits, and which background requests stall.
type Report struct {
	// Queue is the number of requests that wait.
	Queue int
	// Stalled is the number of background requests that have waited longer than
	// half their deadline, Oldest the one that came first.
	Stalled int
	Oldest  *Job
	// Limit is the number of requests that may run at once.
	Limit int
}

// Report returns what waits now.
func (a *Admitter) Report(now timer.Instant) Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	report := Report{Limit: a.policy.limiter.allowed(now)}
	var oldest *ticket
	for _, lane := range a.policy.lanes {
		report.Queue += lane.queue.size
		if lane.class != messenger.ClassBackground {
			continue
		}
		lane.queue.each(func(t *ticket) {
			if !isStalled(now, t) {
				return
			}
			report.Stalled++
			if oldest == nil || t.sequence < oldest.sequence {
				oldest = t
			}
		})
	}
	if oldest != nil {
		report.Oldest = &oldest.job
	}
	return report
}
