package executor

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/drainer"
)

// Causes for which the executor itself cancels a request.
var (
	// errLeaseExpired cancels requests when the lease has expired.
	errLeaseExpired = errs.New("lease expired")
	// errServerLost cancels requests when the backend server has stopped serving.
	errServerLost = errs.New("backend server stopped serving")
	// errDeadline cancels a request at its deadline.
	errDeadline = errs.New("deadline passed")
	// errMoving cancels requests that still wait when their shard is being
	// released.
	errMoving = errs.New("shard is being released")
)

// lifetime holds the contexts of a request and cancels them when the request must
// not wait or run any longer.
type lifetime struct {
	// run is canceled when the request must end, wait when it must not be
	// started any more.
	run  context.Context
	wait context.Context

	cancelRun     context.CancelCauseFunc
	cancelWait    context.CancelCauseFunc
	deadlineTimer *time.Timer

	// latestStart is the time after which the backend server does not start the
	// request; zero until the request is sent.
	latestStart time.Time
	// mayStillRun is true if the request was canceled after it was sent, so the
	// backend server may still start or run it.
	mayStillRun bool
}

// lifetime returns the lifetime of the request. It must be stopped.
func (r *run) lifetime(ctx context.Context, ticket *drainer.Ticket) *lifetime {
	l := &lifetime{}
	l.run, l.cancelRun = context.WithCancelCause(ctx)
	l.wait, l.cancelWait = context.WithCancelCause(l.run)
	l.deadlineTimer = time.AfterFunc(time.Until(r.deadline), func() { l.cancelRun(errDeadline) })
	serverLost := *r.executor.serverLost.Load()
	leaseExpired := r.lease.Done()
	go func() {
		moving := ticket.Sealed()
		for {
			select {
			case <-moving:
				l.cancelWait(errMoving)
				moving = nil
			case <-serverLost:
				l.cancelRun(errServerLost)
			case <-leaseExpired:
				l.cancelRun(errLeaseExpired)
			case <-l.run.Done():
				return
			}
		}
	}()
	return l
}

// stop releases the resources of the lifetime and cancels its contexts.
func (l *lifetime) stop() {
	l.deadlineTimer.Stop()
	l.cancelRun(context.Canceled)
}

// cause returns why the request must end or must not be started.
func (l *lifetime) cause() error {
	return context.Cause(l.wait)
}

// refusal returns the reason for refusing a request that was not sent.
func (l *lifetime) refusal() messenger.Reason {
	cause := l.cause()
	switch {
	case errors.Is(cause, errLeaseExpired):
		return messenger.ReasonLease
	case errors.Is(cause, errServerLost):
		return messenger.ReasonDown
	case errors.Is(cause, errMoving):
		return messenger.ReasonMoving
	case errors.Is(cause, errDeadline), errors.Is(cause, context.DeadlineExceeded):
		return messenger.ReasonDeadline
	}
	return messenger.ReasonCanceled
}

// canceledReason returns the reason for a request that was canceled.
func (l *lifetime) canceledReason(outcome messenger.Outcome) messenger.Reason {
	if outcome == messenger.OutcomeRefused {
		return l.refusal()
	}
	// When the server stopped serving, there is no evidence that this request caused
	// it, so an idempotent one may be sent to the next owner.
	switch cause := l.cause(); {
	case errors.Is(cause, errServerLost):
		return messenger.ReasonLost
	case errors.Is(cause, errLeaseExpired), errors.Is(cause, errDeadline), errors.Is(cause, context.DeadlineExceeded):
		return messenger.ReasonExpired
	}
	return messenger.ReasonLost
}

// addFinalCleanups adds the cleanups that run after all others. One makes the request
// leave its shard. If a backend server that does not check fences may still start the
// request, the shard cannot be released before the latest start has passed.
func (r *run) addFinalCleanups(lifetime *lifetime, ticket *drainer.Ticket, answer *Answer) {
	leave := func() { r.options.Tracker.End(ticket) }
	if lifetime.mayStillRun && !r.view.Row.Fences {
		leave = func() {
			time.AfterFunc(time.Until(lifetime.latestStart), func() { r.options.Tracker.End(ticket) })
		}
	}
	cleanups := []func(){leave, lifetime.stop, r.outcomeReport(answer)}
	r.cleanups = append(cleanups, r.cleanups...)
}
