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
	"marigoldhill/router/dispatcher"
	"marigoldhill/router/drainer"
	"marigoldhill/router/isolator"
	"marigoldhill/router/keeper"
	"marigoldhill/router/locator"
	"marigoldhill/router/prober"
	"marigoldhill/router/recorder"
	"marigoldhill/router/tallier"
)

// Error is the class of all errors of this package.
var Error = errs.Class("executor")

// Leaser returns the current lease of the router.
type Leaser interface {
	Lease() *keeper.Lease
}

// Observer reports the state of the backend server and receives evidence on it.
type Observer interface {
	View() *prober.View
	See(evidence prober.Evidence)
}

// Backend sends requests to the backend server.
type Backend interface {
	Send(ctx context.Context, order *dispatcher.Order) dispatcher.Result
}

// Detector determines whether the backend server crashed when a connection to it
// broke.
type Detector interface {
	Broken(server *messenger.ServerRow)
}

// Options are the dependencies of an Executor. All are required.
type Options struct {
	Locator  *locator.Locator
	Leaser   Leaser
	Server   Observer
	Backend  Backend
	Tracker  *drainer.Tracker
	Recorder *recorder.Recorder
	Numbers  *recorder.Numbers
	Admitter *admitter.Admitter
	Gate     *isolator.Gate
	Detector Detector
	Tally    *tallier.Tally
	Metrics  *metrics.Set
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

// ServerLost cancels all requests that wait for the backend server or are in flight
// to it, since it is frozen or down.
func (e *Executor) ServerLost() {
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
func (e *Executor) Outcome(_ context.Context, query *messenger.OutcomeQuery) messenger.OutcomeAnswer {
	return e.options.Numbers.Query(timer.Now(), query.Number, query.Age)
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
