package executor

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/admitter"
	"marigoldhill/router/aggregator"
	"marigoldhill/router/dispatcher"
	"marigoldhill/router/drainer"
	"marigoldhill/router/evacuator"
	"marigoldhill/router/isolator"
	"marigoldhill/router/keeper"
	"marigoldhill/router/locator"
	"marigoldhill/router/prober"
	"marigoldhill/router/recorder"
	"marigoldhill/router/stopper"
)

// Error is the class of all errors of this package.
var Error = errs.Class("executor")

// LeaseSource returns the current lease of the router.
type LeaseSource interface {
	Lease() *keeper.Lease
}

// ServerMonitor reports the state of the backend server and receives evidence on it.
type ServerMonitor interface {
	View() *prober.View
	Observe(evidence prober.Evidence)
}

// Backend sends requests to the backend server.
type Backend interface {
	Send(ctx context.Context, serverRequest *dispatcher.ServerRequest) dispatcher.Result
}

// Detector determines whether the backend server crashed when a connection to it
// broke.
type Detector interface {
	ConnectionBroken(address string)
}

// Options are the dependencies of an Executor. All are required.
type Options struct {
	Locator      *locator.Locator
	LeaseSource  LeaseSource
	Server       ServerMonitor
	Backend      Backend
	Tracker      *drainer.Tracker
	Recorder     *recorder.Recorder
	OutcomeStore *recorder.OutcomeStore
	Admitter     *admitter.Admitter
	Isolator     *isolator.Isolator
	Detector     Detector
	// Evacuation refuses requests while the failure domain is evacuated; nil never does.
	Evacuation *evacuator.Guard
	// Stop is the time in which requests may run; nil if the process never stops.
	Stop    *stopper.Window
	Tally   *aggregator.Tally
	Metrics *metrics.Set
}

// Executor runs requests as the owner of their keys. Its methods are safe for
// concurrent use.
type Executor struct {
	options Options
	// serverLost is closed and replaced when the backend server stops serving.
	serverLost atomic.Pointer[chan struct{}]
}

var _ Runner = (*Executor)(nil)

func New(options Options) *Executor {
	executor := &Executor{options: options}
	serverLost := make(chan struct{})
	executor.serverLost.Store(&serverLost)
	return executor
}

// CancelRequests cancels all requests that wait for the backend server or are in flight
// to it, since it is frozen or down.
func (e *Executor) CancelRequests() {
	serverLost := make(chan struct{})
	close(*e.serverLost.Swap(&serverLost))
}

// Execute implements [Runner].
func (e *Executor) Execute(ctx context.Context, request *messenger.Request, body io.Reader) Answer {
	run := &run{executor: e, options: &e.options, request: request, body: body}
	answer := run.execute(ctx)
	answer.Response.Number = request.Number
	e.count(&answer.Response)
	return answer
}

// Outcome implements [Runner].
func (e *Executor) Outcome(_ context.Context, query *messenger.OutcomeQuery) messenger.OutcomeResponse {
	return e.options.OutcomeStore.Query(timer.Now(), query.Number, query.Age)
}

func (e *Executor) count(response *messenger.Response) {
	name := `marigold_owner_` + string(response.Outcome) + `_total`
	if response.Outcome != messenger.OutcomeDone {
		name += `{reason="` + string(response.Reason) + `"}`
	}
	e.options.Metrics.GetOrCreateCounter(name).Inc()
}

func refusedAnswer(reason messenger.Reason, retryAfter time.Duration) Answer {
	answer := failedAnswer(messenger.OutcomeRefused, reason)
	answer.Response.RetryAfter = retryAfter
	return answer
}

func failedAnswer(outcome messenger.Outcome, reason messenger.Reason) Answer {
	return Answer{Response: messenger.Response{Outcome: outcome, Reason: reason, Length: -1}}
}
