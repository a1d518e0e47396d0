// Package relayer serves callers' requests in routed mode by sending them to a backend
// server that may run them. Its counterpart in sharded mode is package forwarder.
//
// The [Entry] selects the server: the owner of the key, or for a request without
// key the server that the load-balancing policy prefers. It sends the request to
// the [Owner], which is on the router beside that server and runs, queues or refuses
// the request. A request is sent again only if it has not run, or is idempotent. An
// attempt that may have reached a backend server counts toward the attempts of the
// route, and its repetition toward the retry budget of the fleet. A request is
// answered as refused only if none of its attempts can have run.
//
// # Usage
//
//	owner := relayer.NewOwner(relayer.OwnerOptions{...})
//	entry := relayer.NewEntry(relayer.EntryOptions{Owner: owner, ...})
//	answer := entry.Serve(ctx, &relayer.Call{ID: id, Host: "desk.example", ...})
//	if answer.Body != nil {
//		defer answer.Body.Close()
//	}
//
// The listener for other routers hands KindRelay streams to [Owner.Handle].
package relayer

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/budgeter"
	"marigoldhill/router/chooser"
	"marigoldhill/router/mapper"
	"marigoldhill/router/stopper"
	"marigoldhill/router/throttler"
)

// Error is the class of all errors of this package.
var Error = errs.Class("relayer")

// Call is a request as received from a caller.
type Call struct {
	// ID is the identifier that the caller gave to this attempt.
	ID     string
	Method string
	Host   string
	// Target is the path and the query.
	Target string
	Header []messenger.Header
	// Length is the length of the body in bytes, or -1 when unknown.
	Length int64
	Body   io.Reader
	// Key is the numeric key, or messenger.NoKey.
	Key int32
	// TimeLeft is how long the caller waits for the answer, or 0 when unknown.
	TimeLeft time.Duration
}

// Path returns the path of the target.
func (c *Call) Path() string {
	path, _, _ := strings.Cut(c.Target, "?")
	return path
}

// isWithinLimits reports whether a call is within the limits of a configuration. The
// header counts as it is forwarded, without the connection-specific fields.
func (c *Call) isWithinLimits(limits *messenger.Limits) bool {
	if limits.BodyBytes > 0 && c.Length > limits.BodyBytes {
		return false
	}
	if limits.HeaderBytes == 0 {
		return true
	}
	size := len(c.Method) + len(c.Target) + len(c.Host)
	for _, field := range c.Header {
		for _, value := range field.Values {
			size += len(field.Name) + len(value)
		}
	}
	return int64(size) <= limits.HeaderBytes
}

// Answer is the answer to a Call.
type Answer struct {
	Outcome messenger.Outcome
	// Reason is set unless Outcome is done.
	Reason messenger.Reason
	// RetryAfter is the delay after which a refused caller should retry.
	RetryAfter time.Duration
	Status     int
	Header     []messenger.Header
	// Length is the length of the body in bytes, or -1 when unknown.
	Length int64
	// Body is set when Outcome is done and must be closed. A read error other than
	// io.EOF means that the body is truncated.
	Body io.ReadCloser
}

// Opener opens streams to the routers of other servers. [linker.Pool] implements it.
type Opener interface {
	linker.Opener
	// Peer returns the hello message of the router at address.
	Peer(ctx context.Context, address string) (messenger.Hello, error)
}

// EntryOptions are the dependencies of an Entry.
type EntryOptions struct {
	// Domain is the failure domain of the router.
	Domain string
	// Service is the service of this VM, in whose name the requests are sent.
	Service string
	Mapper  *mapper.Mapper
	Owner   *Owner
	Opener  Opener
	Budget  *budgeter.Budgeter
	// Session returns the session of this router, or 0 without one.
	Session func() uint64
	// ConfigurationAge returns how long ago the control group confirmed the configuration
	// of the map as the newest one.
	ConfigurationAge func() time.Duration
	// RequestUpdate requests an early update from the control group. It is called while a
	// request waits for a newer map.
	RequestUpdate func()
	// Stop is the time in which requests may be passed on; nil if the process never stops.
	Stop    *stopper.Window
	Log     *logger.Log
	Metrics *metrics.Set
}

// Entry serves the requests of callers.
type Entry struct {
	options  EntryOptions
	balancer *chooser.Balancer
	gate     *throttler.Gate
	leavers  *leavers
	started  time.Time
	duration *metrics.Histogram

	mu sync.Mutex
	// meanBytes is an exponential moving average of the answer sizes of each route.
	meanBytes map[string]float64
	// maxLeft is the largest Call.TimeLeft received for each route.
	maxLeft map[string]time.Duration
}

func NewEntry(options EntryOptions) *Entry {
	return &Entry{
		options:   options,
		balancer:  chooser.New(),
		gate:      throttler.NewGate(),
		leavers:   newLeavers(),
		started:   time.Now(),
		duration:  options.Metrics.GetOrCreateHistogram("marigold_request_seconds"),
		meanBytes: make(map[string]float64),
		maxLeft:   make(map[string]time.Duration),
	}
}

// now returns the time since the start of the Entry, the clock of its balancer and of the
// retry budget.
func (e *Entry) now() time.Duration {
	return time.Since(e.started)
}

// IsReady reports whether requests can be served, that is, whether a configuration
// was received.
func (e *Entry) IsReady() bool {
	return e.options.Mapper.Load().Configuration != nil
}

func (e *Entry) Serve(ctx context.Context, call *Call) Answer {
	started := time.Now()
	routes := e.options.Mapper.Load()
	if routes.Configuration == nil {
		return e.finish(call, nil, started, Answer{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonUnready, RetryAfter: unreadyRetryAfter})
	}
	route := routes.Match(call.Host, call.Path())
	if route == nil && e.options.ConfigurationAge() > maxConfigurationAge {
		e.options.RequestUpdate()
		return e.finish(call, nil, started, Answer{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonUnready, RetryAfter: unreadyRetryAfter})
	}
	if route == nil {
		return e.finish(call, nil, started, Answer{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonRoute})
	}
	if !call.isWithinLimits(&routes.Configuration.Limits) {
		return e.finish(call, nil, started, Answer{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonOversize})
	}
	routedCall := &routedCall{entry: e, call: call, route: route, service: route.Service(), started: started}
	routedCall.body = newRequestBody(call, routes.Configuration.Limits.BodyBytes)
	routedCall.timeout = route.Treatment.Timeout
	if call.TimeLeft > 0 && call.TimeLeft < routedCall.timeout {
		routedCall.timeout = call.TimeLeft
	}
	routedCall.waited = e.waited(route.Name, call.TimeLeft)
	if !routes.IsRanged(routedCall.service) {
		routedCall.keyless = true
	}
	ctx, cancel := context.WithTimeout(ctx, routedCall.timeout+answerGrace)
	answer := routedCall.run(ctx)
	if answer.Body == nil {
		cancel()
		return e.finish(call, routedCall, started, answer)
	}
	answer.Body = &entryBody{ReadCloser: answer.Body, cancel: cancel, onError: func(err error) { e.reportTruncated(call, routedCall, err) }}
	return e.finish(call, routedCall, started, answer)
}

// maxConfigurationAge is how old the confirmation of a configuration may be for the answer
// that a route does not exist. A router that is cut off from the control group goes on to
// serve the routes that it knows, but cannot know that there is no other.
const maxConfigurationAge = time.Second

// unreadyRetryAfter is the delay after which callers of a router without
// configuration should retry. The router receives one with its first heartbeat.
const unreadyRetryAfter = 500 * time.Millisecond

// finish counts and logs the outcome of a call. routedCall is nil if the call was refused
// before it had a route.
func (e *Entry) finish(call *Call, routedCall *routedCall, started time.Time, answer Answer) Answer {
	duration := time.Since(started)
	e.duration.Update(duration.Seconds())
	e.options.Metrics.GetOrCreateCounter(`marigold_requests_total{outcome="` + string(answer.Outcome) + `",reason="` + string(answer.Reason) + `"}`).Inc()
	if answer.Outcome == messenger.OutcomeDone {
		return answer
	}
	pairs := []any{"id", call.ID, "outcome", answer.Outcome, "reason", answer.Reason, "after", answer.RetryAfter.String(), "took", duration.String()}
	if routedCall != nil {
		pairs = append(pairs, "route", routedCall.route.Name, "rank", routedCall.route.Treatment.Rank, "service", routedCall.service, "key", call.Key,
			"version", routedCall.version, "sends", routedCall.sends, "server", routedCall.lastServer, "fingerprint", routedCall.fingerprint, "limit", routedCall.timeout.String())
	}
	if stopping, ok := e.options.Stop.Elapsed(); ok {
		pairs = append(pairs, "stopping", stopping.String())
	}
	e.options.Log.Emit(logger.RequestUnanswered, pairs...)
	return answer
}

// reportTruncated counts and logs an answer whose header was sent to the caller and
// whose body is truncated.
func (e *Entry) reportTruncated(call *Call, routedCall *routedCall, err error) {
	e.options.Metrics.GetOrCreateCounter("marigold_broken_answers_total").Inc()
	e.options.Log.Emit(logger.RequestFailed, "id", call.ID, "route", routedCall.route.Name, "service", routedCall.service,
		"server", routedCall.lastServer, "version", routedCall.version, "cause", "answer body truncated while it was sent to the caller",
		"took", time.Since(routedCall.started).String(), "limit", routedCall.timeout.String(), "error", err)
}

// entryBody is the body of an answer. It cancels the context of the call when closed,
// and calls onError when reading it fails.
type entryBody struct {
	io.ReadCloser
	cancel  context.CancelFunc
	onError func(err error)
}

// Read implements io.Reader.
func (b *entryBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil && err != io.EOF {
		b.onError(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *entryBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// expectedBytes returns the expected size of an answer of a route.
func (e *Entry) expectedBytes(route string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return int(e.meanBytes[route])
}

// waited estimates how long a caller had waited before this attempt. Callers of
// a route are assumed to start with the same timeout, so one with less time left was
// refused before.
func (e *Entry) waited(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.maxLeft[route] = max(e.maxLeft[route], left)
	return e.maxLeft[route] - left
}

// sizeWeight is the weight of the newest answer in the moving average of its route.
const sizeWeight = 0.1

func (e *Entry) updateMeanBytes(route string, size int64) {
	if size < 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	mean, ok := e.meanBytes[route]
	if !ok {
		mean = float64(size)
	}
	e.meanBytes[route] = mean + sizeWeight*(float64(size)-mean)
}

// jitterFraction is the width of the interval from which a retry delay is drawn, as a
// fraction of the delay.
const jitterFraction = 0.5

// jitter randomizes a retry delay, so that callers that were refused together do not
// retry together.
func jitter(delay time.Duration) time.Duration {
	return time.Duration(float64(delay) * (1 + jitterFraction*(rand.Float64()-0.5)))
}

// contextReason returns the reason for a call whose context or time has ended.
func contextReason(ctx context.Context) messenger.Reason {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, stopper.ErrStopping):
		return messenger.ReasonStopping
	case errors.Is(cause, context.Canceled):
		return messenger.ReasonCanceled
	}
	return messenger.ReasonDeadline
}
