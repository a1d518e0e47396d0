package executor

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/dispatcher"
	"marigoldhill/router/drainer"
	"marigoldhill/router/keeper"
	"marigoldhill/router/locator"
	"marigoldhill/router/prober"
)

// Error is the class of all errors of this package.
var Error = errs.Class("executor")

// Causes for which the executor ends a request itself.
var (
	// errLapsed ends requests in flight when the lease lapsed.
	errLapsed = errs.New("lease lapsed")
	// errServer ends requests in flight when the backend server stopped
	// serving.
	errServer = errs.New("backend server stopped serving")
	// errDeadline ends a request at its deadline.
	errDeadline = errs.New("deadline passed")
)

// Leaser tells the lease of the router.
type Leaser interface {
	Lease() *keeper.Lease
}

// Observer tells the state of the backend server and takes evidence on it.
type Observer interface {
	View() *prober.View
	See(evidence prober.Evidence)
}

// Backend sends requests to the backend server.
type Backend interface {
	Send(ctx context.Context, order *dispatcher.Order) dispatcher.Result
}

// Options are the parts that an Executor works with.
type Options struct {
	Locator *locator.Locator
	Leaser  Leaser
	Server  Observer
	Backend Backend
	Tracker *drainer.Tracker
	Metrics *metrics.Set
}

// Executor runs requests as the owner of their keys. Its methods are safe for
// concurrent use.
type Executor struct {
	options Options
}

var _ Runner = (*Executor)(nil)

// New returns an Executor.
func New(options Options) *Executor {
	return &Executor{options: options}
}

// Execute implements [Runner].
func (e *Executor) Execute(ctx context.Context, request *messenger.Request, body io.Reader) Answer {
	run := &run{executor: e, request: request, body: body}
	answer := run.execute(ctx)
	answer.Response.Number = request.Number
	e.count(answer.Response.Outcome, answer.Response.Reason)
	return answer
}

// Outcome implements [Runner].
func (e *Executor) Outcome(_ context.Context, _ *messenger.OutcomeQuery) messenger.OutcomeAnswer {
	return messenger.OutcomeAnswer{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonLost}
}

func (e *Executor) count(outcome messenger.Outcome, reason messenger.Reason) {
	if outcome == messenger.OutcomeDone {
		e.options.Metrics.GetOrCreateCounter(`marigold_owner_done_total`).Inc()
		return
	}
	e.options.Metrics.GetOrCreateCounter(
		`marigold_owner_` + string(outcome) + `_total{reason="` + string(reason) + `"}`).Inc()
}

// run is one request on its way through the executor.
type run struct {
	executor *Executor
	request  *messenger.Request
	body     io.Reader

	lease    *keeper.Lease
	place    locator.Place
	profile  *messenger.Profile
	view     *prober.View
	ref      messenger.ShardRef
	deadline time.Time
}

func (r *run) execute(ctx context.Context) Answer {
	if reason := r.locate(); reason != messenger.ReasonNone {
		return refuse(reason, 0)
	}
	tracker := r.executor.options.Tracker
	ticket := tracker.Enter(r.ref, r.request.Key)
	if ticket == nil {
		return refuse(messenger.ReasonMoving, 0)
	}
	answer := r.serve(ctx)
	if answer.Body == nil {
		tracker.Leave(ticket)
		return answer
	}
	answer.Body = newTail(answer.Body, func() { tracker.Leave(ticket) })
	return answer
}

// locate finds out whether this router may serve the request.
func (r *run) locate() messenger.Reason {
	options := &r.executor.options
	r.lease = options.Leaser.Lease()
	if !r.lease.Alive(timer.Now()) {
		return messenger.ReasonLease
	}
	table := options.Locator.Load()
	place, reason := table.Locate(r.request.Service, r.request.Key)
	if reason != messenger.ReasonNone {
		return reason
	}
	if place.Row.Owner != r.lease.Session {
		return messenger.ReasonMisrouted
	}
	r.place = place
	r.ref = drainer.Ref(place.Row)
	r.profile = table.Profile(place.Service, r.request.Method, r.request.Route)
	r.deadline = time.Now().Add(r.timeout())
	r.view = options.Server.View()
	return serverReason(r.view)
}

// timeout is how long the request may take.
func (r *run) timeout() time.Duration {
	if r.request.Timeout <= 0 || r.profile.Deadline < r.request.Timeout {
		return r.profile.Deadline
	}
	return r.request.Timeout
}

// serverReason is the reason for which a backend server takes no work.
func serverReason(view *prober.View) messenger.Reason {
	switch view.State {
	case messenger.ServerReady:
		return messenger.ReasonNone
	case messenger.ServerLeaving:
		return messenger.ReasonDraining
	}
	return messenger.ReasonDown
}

// serve runs the request under a grant that it entered.
func (r *run) serve(ctx context.Context) Answer {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := r.watch(ctx, cancel)
	answer := r.dispatch(ctx)
	if answer.Body == nil {
		stop()
		return answer
	}
	answer.Body = newTail(answer.Body, stop)
	return answer
}

// watch cancels a request when its deadline passes or the lease lapses. The
// returned function ends the watch and releases its context.
func (r *run) watch(ctx context.Context, cancel context.CancelCauseFunc) func() {
	expiry := time.AfterFunc(time.Until(r.deadline), func() { cancel(errDeadline) })
	go func() {
		select {
		case <-r.lease.Done():
			cancel(errLapsed)
		case <-ctx.Done():
		}
	}()
	return func() {
		expiry.Stop()
		cancel(context.Canceled)
	}
}

// recheck looks again, right before the request goes out, whether the router
// may serve it.
func (r *run) recheck(now timer.Instant) messenger.Reason {
	options := &r.executor.options
	lease := options.Leaser.Lease()
	if lease.Session != r.lease.Session || !lease.Alive(now) {
		return messenger.ReasonLease
	}
	place, _ := options.Locator.Load().Locate(r.request.Service, r.request.Key)
	if drainer.Ref(place.Row) != r.ref || place.Row.Owner != lease.Session {
		return messenger.ReasonMisrouted
	}
	return serverReason(options.Server.View())
}

// dispatch hands the request to the backend server.
func (r *run) dispatch(ctx context.Context) Answer {
	now := timer.Now()
	if reason := r.recheck(now); reason != messenger.ReasonNone {
		return refuse(reason, 0)
	}
	result := r.executor.options.Backend.Send(ctx, &dispatcher.Order{
		Server:   r.view.Row,
		Request:  r.request,
		Body:     r.body,
		Shard:    r.ref.Shard,
		Fence:    r.ref.Fence,
		Deadline: r.startDeadline(now),
	})
	r.see(ctx, result)
	if result.Outcome != messenger.OutcomeDone {
		return failed(result.Outcome, reasonOf(ctx, result))
	}
	if !r.executor.options.Leaser.Lease().Alive(timer.Now()) {
		_ = result.Body.Close()
		return failed(messenger.OutcomeUnknown, messenger.ReasonExpired)
	}
	response := result.Response
	response.Server = r.view.Row.Name
	response.Fence = r.ref.Fence
	return Answer{Response: response, Body: result.Body}
}

// reasonOf is the reason of a request without an answer. The cause for which
// the executor ended the request itself says more than the dispatcher knows.
func reasonOf(ctx context.Context, result dispatcher.Result) messenger.Reason {
	if result.Cause != dispatcher.CauseCanceled {
		return result.Reason
	}
	cause := context.Cause(ctx)
	unknown := result.Outcome == messenger.OutcomeUnknown
	switch {
	case errors.Is(cause, errLapsed) && !unknown:
		return messenger.ReasonLease
	case errors.Is(cause, errServer) && unknown:
		return messenger.ReasonCrashed
	case errors.Is(cause, errServer):
		return messenger.ReasonDown
	case errors.Is(cause, errDeadline) && !unknown:
		return messenger.ReasonDeadline
	}
	return result.Reason
}

// startDeadline is the wall-clock time after which the backend server must not
// start the request: no later than the end of the lease as it is now.
func (r *run) startDeadline(now timer.Instant) time.Time {
	lease := r.executor.options.Leaser.Lease()
	end := time.Now().Add(lease.Left(now))
	if r.deadline.Before(end) {
		return r.deadline
	}
	return end
}

// see hands what became of the request to the prober.
func (r *run) see(ctx context.Context, result dispatcher.Result) {
	server := r.executor.options.Server
	switch result.Cause {
	case dispatcher.CauseNone:
		server.See(prober.TrafficAnswered)
	case dispatcher.CauseConnect:
		server.See(prober.TrafficRefused)
	case dispatcher.CauseBroken:
		server.See(prober.TrafficBroken)
	case dispatcher.CauseCanceled:
		if errors.Is(context.Cause(ctx), errDeadline) {
			server.See(prober.TrafficExpired)
		}
	}
}

func refuse(reason messenger.Reason, after time.Duration) Answer {
	answer := failed(messenger.OutcomeRefused, reason)
	answer.Response.RetryAfter = after
	return answer
}

func failed(outcome messenger.Outcome, reason messenger.Reason) Answer {
	return Answer{Response: messenger.Response{Outcome: outcome, Reason: reason, Length: -1}}
}
