// Package admitter implements admission control for a backend server: it decides
// which requests run, and when. Package executor uses it in sharded mode; in routed
// mode package relayer uses package queuer.
//
// The concurrency limit is at most the announced number of slots. It is reduced
// when the server sheds load, fails or slows down. Interactive requests run before
// background requests, which use at most their share of the slots, and less while
// interactive requests queue. Within a class, profiles are scheduled by weight;
// within a profile, keys and callers are queued fairly, so that a hot one does not
// starve the others. Queues are bounded. A request that is not expected to finish
// by its deadline is refused on arrival, with the delay after which to retry.
//
// # Usage
//
//	admission := admitter.New(set)
//	admission.SetServer(row)
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

// Refusal is the reason why a request got no slot. RetryAfter is the delay after which to
// retry, or 0 if there is no estimate. ReasonNone means that the context of the
// request was canceled.
type Refusal struct {
	Reason     messenger.Reason
	RetryAfter time.Duration
}

// Admitter admits requests for one backend server. Its methods are safe for
// concurrent use.
type Admitter struct {
	metrics *metrics.Set

	mu     sync.Mutex
	policy *policy
}

// New returns an Admitter without a backend server. Until [Admitter.SetServer] is called
// it admits one request at a time.
func New(set *metrics.Set) *Admitter {
	return &Admitter{metrics: set, policy: newPolicy(timer.Now(), 1, false)}
}

// SetServer sets the backend server that became ready. It discards the measurements of
// the previous one.
func (a *Admitter) SetServer(row messenger.ServerRow) {
	now := timer.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.policy.limiter = newLimiter(now, row.Slots, row.Cold)
	a.notify(a.policy.admitWaiting(now))
}

// Acquire waits for a slot until ctx is done, and returns the slot or the refusal.
func (a *Admitter) Acquire(ctx context.Context, job Job) (*Slot, Refusal) {
	a.mu.Lock()
	e, decided, notifications := a.policy.arrive(timer.Now(), job)
	a.notify(notifications)
	a.mu.Unlock()
	if decided.reason != messenger.ReasonNone {
		return nil, a.refuse(decided)
	}
	if e.decision == nil {
		return &Slot{admitter: a, entry: e}, Refusal{}
	}
	return a.wait(ctx, e)
}

// wait waits for the decision on a queued entry.
func (a *Admitter) wait(ctx context.Context, e *entry) (*Slot, Refusal) {
	expiry := time.NewTimer(a.maxWait(e))
	defer expiry.Stop()
	select {
	case decided := <-e.decision:
		return a.resolve(e, decided)
	case <-expiry.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	canceled := a.policy.cancel(e)
	a.mu.Unlock()
	if !canceled {
		return a.resolve(e, <-e.decision)
	}
	if err := context.Cause(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return nil, Refusal{}
	}
	return nil, a.refuse(decision{reason: messenger.ReasonDeadline, after: minRetryAfter})
}

// maxWait returns how long an entry may wait and still finish by its deadline.
func (a *Admitter) maxWait(e *entry) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e.trial {
		return e.job.Timeout
	}
	return e.job.Timeout - a.policy.limiter.latency(e.job.Profile).mean()
}

func (a *Admitter) resolve(e *entry, decided decision) (*Slot, Refusal) {
	if decided.reason != messenger.ReasonNone {
		return nil, a.refuse(decided)
	}
	return &Slot{admitter: a, entry: e}, Refusal{}
}

func (a *Admitter) refuse(decided decision) Refusal {
	a.metrics.GetOrCreateCounter(`marigold_admission_refusals_total{reason="` + string(decided.reason) + `"}`).Inc()
	return Refusal{Reason: decided.reason, RetryAfter: decided.after}
}

// notify sends decisions to waiting callers of Acquire. The caller holds mu.
func (a *Admitter) notify(notifications []notification) {
	for _, notification := range notifications {
		notification.entry.decision <- notification.decision
	}
}

// Slot is the right to run one request at the backend server.
type Slot struct {
	admitter *Admitter
	entry    *entry
	once     sync.Once
}

// Release returns the slot after the request has ended, with its measurements. Calls
// after the first of Release or Abandon have no effect.
func (s *Slot) Release(sample Sample) {
	s.once.Do(func() {
		a := s.admitter
		a.mu.Lock()
		defer a.mu.Unlock()
		a.notify(a.policy.finish(timer.Now(), s.entry, sample))
	})
}

// Abandon returns the slot without having sent a request.
func (s *Slot) Abandon() {
	s.once.Do(func() {
		a := s.admitter
		a.mu.Lock()
		defer a.mu.Unlock()
		a.notify(a.policy.abandon(timer.Now(), s.entry))
	})
}

// Report is a snapshot of the queues, with the stalled background requests.
type Report struct {
	// Queue is the number of waiting requests.
	Queue int
	// Stalled is the number of background requests that have waited longer than
	// half their timeout, Oldest the one that arrived first.
	Stalled int
	Oldest  *Job
	// Limit is the current concurrency limit.
	Limit int
}

// Report returns a snapshot of the queues.
func (a *Admitter) Report(now timer.Instant) Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	report := Report{Limit: a.policy.limiter.allowed(now)}
	var oldest *entry
	for _, flow := range a.policy.flows {
		report.Queue += flow.queue.size
		if flow.class != messenger.ClassBackground {
			continue
		}
		flow.queue.each(func(e *entry) {
			if !isStalled(now, e) {
				return
			}
			report.Stalled++
			if oldest == nil || e.sequence < oldest.sequence {
				oldest = e
			}
		})
	}
	if oldest != nil {
		report.Oldest = &oldest.job
	}
	return report
}
