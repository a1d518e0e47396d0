package executor

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/drainer"
)

// Causes for which the executor ends a request itself.
var (
	// errLapsed ends requests when the lease lapsed.
	errLapsed = errs.New("lease lapsed")
	// errServer ends requests when the backend server stopped serving.
	errServer = errs.New("backend server stopped serving")
	// errDeadline ends a request at its deadline.
	errDeadline = errs.New("deadline passed")
	// errMoving ends requests that still wait when their grant is given back.
	errMoving = errs.New("grant is given back")
)

// watch ends a request when it must not go on.
type watch struct {
	// run lives until the request has to end, wait until it must not start any
	// more.
	run  context.Context
	wait context.Context

	endRun  context.CancelCauseFunc
	endWait context.CancelCauseFunc
	expiry  *time.Timer

	// start is the time after which the backend server does not start the
	// request; zero until it was sent.
	start time.Time
	// abandoned says that the request may still be at the backend server.
	abandoned bool
}

// watch starts the watch over a request.
func (r *run) watch(ctx context.Context, ticket *drainer.Ticket) *watch {
	w := &watch{}
	w.run, w.endRun = context.WithCancelCause(ctx)
	w.wait, w.endWait = context.WithCancelCause(w.run)
	w.expiry = time.AfterFunc(time.Until(r.deadline), func() { w.endRun(errDeadline) })
	serving := *r.executor.serving.Load()
	lapsed := r.lease.Done()
	go func() {
		sealed := ticket.Sealed()
		for {
			select {
			case <-sealed:
				w.endWait(errMoving)
				sealed = nil
			case <-serving:
				w.endRun(errServer)
			case <-lapsed:
				w.endRun(errLapsed)
			case <-w.run.Done():
				return
			}
		}
	}()
	return w
}

// stop ends the watch.
func (w *watch) stop() {
	w.expiry.Stop()
	w.endRun(context.Canceled)
}

// cause is why the request must end, or must not start.
func (w *watch) cause() error {
	return context.Cause(w.wait)
}

// refusal is the reason of a request that was not sent.
func (w *watch) refusal() messenger.Reason {
	cause := w.cause()
	switch {
	case errors.Is(cause, errLapsed):
		return messenger.ReasonLease
	case errors.Is(cause, errServer):
		return messenger.ReasonDown
	case errors.Is(cause, errMoving):
		return messenger.ReasonMoving
	case errors.Is(cause, errDeadline), errors.Is(cause, context.DeadlineExceeded):
		return messenger.ReasonDeadline
	}
	return messenger.ReasonCanceled
}

// reason is the reason of a request that was ended.
func (w *watch) reason(outcome messenger.Outcome) messenger.Reason {
	if outcome == messenger.OutcomeRefused {
		return w.refusal()
	}
	// The server stopped serving, but nothing says that the request is to blame:
	// an idempotent one may be sent to the next owner.
	switch cause := w.cause(); {
	case errors.Is(cause, errServer):
		return messenger.ReasonLost
	case errors.Is(cause, errLapsed), errors.Is(cause, errDeadline), errors.Is(cause, context.DeadlineExceeded):
		return messenger.ReasonExpired
	}
	return messenger.ReasonLost
}

// leaveAtEnd has the request leave its grant when it ended. What may still be
// started by a backend server that does not check fences holds the grant until
// the time after which it is not.
func (r *run) leaveAtEnd(watch *watch, ticket *drainer.Ticket, answer *Answer) {
	leave := func() { r.options.Tracker.Leave(ticket) }
	if watch.abandoned && !r.view.Row.Fences {
		leave = func() {
			time.AfterFunc(time.Until(watch.start), func() { r.options.Tracker.Leave(ticket) })
		}
	}
	endings := []func(){leave, watch.stop, r.numberEnding(answer)}
	r.endings = append(endings, r.endings...)
}
