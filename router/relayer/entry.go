// Package relayer takes callers' requests for the services of a configuration
// and brings them to a backend server that may run them.
//
// The [Entry] chooses the server: the owner of the key, or the best of all for a
// request without key. It sends the request on to the [Owner], the router beside
// that server, which lets it run, wait or go away. A request is sent to another
// server only when it has not run, or may run twice, and only within the attempts
// of its route and the budget of the fleet. An answer "refused" is given only
// when no send of the request can have run.
//
// # Usage
//
//	entry := relayer.NewEntry(relayer.EntryOptions{...})
//	answer := entry.Serve(ctx, &relayer.Call{ID: id, Host: "desk.example", ...})
//	if answer.Body != nil {
//		defer answer.Body.Close()
//	}
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
)

// Error is the class of all errors of this package.
var Error = errs.Class("relayer")

// maxReplay is the largest body that is kept so that it can be sent again.
const maxReplay = 64 << 10

// Call is a request as a caller sent it.
type Call struct {
	// ID is the caller's id of this attempt.
	ID     string
	Method string
	Host   string
	// Target is the path with its query.
	Target string
	Header []messenger.Header
	// Length is the length of the body in bytes, or -1 when unknown.
	Length int64
	Body   io.Reader
	// Key is the numeric key, or messenger.NoKey.
	Key int32
	// Left is how long the caller waits, 0 when it does not say.
	Left time.Duration
}

// Path is the path of the target.
func (c *Call) Path() string {
	path, _, _ := strings.Cut(c.Target, "?")
	return path
}

// fits reports whether a call keeps the limits of a configuration. The header is
// counted as it is passed on, without the fields of the connection.
func (c *Call) fits(limits *messenger.Limits) bool {
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

// Answer is the end of a Call.
type Answer struct {
	Outcome messenger.Outcome
	// Reason is set unless Outcome is done.
	Reason messenger.Reason
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
	Status     int
	Header     []messenger.Header
	// Length is the length of the body in bytes, or -1 when unknown.
	Length int64
	// Body must be closed, when done. An error of it other than io.EOF means
	// that the answer is not whole.
	Body io.ReadCloser
}

// EntryOptions are the parts that an Entry works with.
type EntryOptions struct {
	// Domain is the failure domain of the router.
	Domain string
	// Service is the service of the VM, for which its requests are made.
	Service string
	Mapper  *mapper.Mapper
	Owner   *Owner
	Opener  linker.Opener
	Budget  *budgeter.Budgeter
	// Session returns the session of this router, 0 without one.
	Session func() uint64
	// Hasten asks for news of the control group, since a request waits for them.
	Hasten  func()
	Log     *logger.Log
	Metrics *metrics.Set
}

// Entry serves callers.
type Entry struct {
	options EntryOptions
	board   *chooser.Board
	begun   time.Time
	took    *metrics.Histogram

	mu    sync.Mutex
	sizes map[string]float64
	// longest is the most time that callers of a route had.
	longest map[string]time.Duration
}

// NewEntry returns an Entry.
func NewEntry(options EntryOptions) *Entry {
	return &Entry{
		options: options,
		board:   chooser.New(),
		begun:   time.Now(),
		took:    options.Metrics.GetOrCreateHistogram("marigold_request_seconds"),
		sizes:   make(map[string]float64),
		longest: make(map[string]time.Duration),
	}
}

func (e *Entry) now() time.Duration {
	return time.Since(e.begun)
}

// IsReady reports whether requests can be served: a configuration is known.
func (e *Entry) IsReady() bool {
	return e.options.Mapper.Load().Configuration != nil
}

// Serve serves one call.
func (e *Entry) Serve(ctx context.Context, call *Call) Answer {
	begun := time.Now()
	routes := e.options.Mapper.Load()
	if routes.Configuration == nil {
		return e.finish(call, nil, begun, Answer{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonUnready, RetryAfter: unreadyAfter})
	}
	route := routes.Match(call.Host, call.Path())
	if route == nil {
		return e.finish(call, nil, begun, Answer{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonRoute})
	}
	if !call.fits(&routes.Configuration.Limits) {
		return e.finish(call, nil, begun, Answer{Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonOversize})
	}
	trip := &trip{entry: e, call: call, route: route, service: route.Service(), begun: begun}
	trip.limit = route.Treatment.Timeout
	if call.Left > 0 && call.Left < trip.limit {
		trip.limit = call.Left
	}
	trip.waited = e.waited(route.Name, call.Left)
	if !routes.IsRanged(trip.service) {
		trip.keyless = true
	}
	ctx, cancel := context.WithTimeout(ctx, trip.limit+graceTime)
	answer := trip.run(ctx)
	if answer.Body == nil {
		cancel()
		return e.finish(call, trip, begun, answer)
	}
	answer.Body = &entryBody{ReadCloser: answer.Body, cancel: cancel, failed: func(err error) { e.brokeOff(call, trip, err) }}
	return e.finish(call, trip, begun, answer)
}

// unreadyAfter is when callers of a router without configuration come back; it
// gets one with the first heartbeat.
const unreadyAfter = 500 * time.Millisecond

// finish counts and logs the end of a call.
func (e *Entry) finish(call *Call, trip *trip, begun time.Time, answer Answer) Answer {
	took := time.Since(begun)
	e.took.Update(took.Seconds())
	e.options.Metrics.GetOrCreateCounter(`marigold_requests_total{outcome="` + string(answer.Outcome) + `",reason="` + string(answer.Reason) + `"}`).Inc()
	if answer.Outcome == messenger.OutcomeDone {
		return answer
	}
	pairs := []any{"id", call.ID, "outcome", answer.Outcome, "reason", answer.Reason, "after", answer.RetryAfter.String(), "took", took.String()}
	if trip != nil {
		pairs = append(pairs, "route", trip.route.Name, "service", trip.service, "key", call.Key,
			"version", trip.version, "sends", trip.sends, "server", trip.last, "limit", trip.limit.String())
	}
	e.options.Log.Emit(logger.RequestEnded, pairs...)
	return answer
}

// brokeOff logs an answer whose head went to the caller and whose body is not
// whole.
func (e *Entry) brokeOff(call *Call, trip *trip, err error) {
	e.options.Metrics.GetOrCreateCounter("marigold_broken_answers_total").Inc()
	e.options.Log.Emit(logger.RequestFailed, "id", call.ID, "route", trip.route.Name, "service", trip.service,
		"server", trip.last, "version", trip.version, "cause", "answer broke off on its way to the caller",
		"took", time.Since(trip.begun).String(), "limit", trip.limit.String(), "error", err)
}

// entryBody ends the context of a call with its body.
type entryBody struct {
	io.ReadCloser
	cancel context.CancelFunc
	failed func(err error)
}

// Read implements io.Reader.
func (b *entryBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *entryBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

// sizeOf is the expected size of answers of a route.
func (e *Entry) sizeOf(route string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return int(e.sizes[route])
}

// waited is how long a caller with so much time left has waited already. Callers
// of a route start with the same time, so one that has less was refused before.
func (e *Entry) waited(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.longest[route] = max(e.longest[route], left)
	return e.longest[route] - left
}

// sizePart is the weight of one answer in the mean size of its route.
const sizePart = 0.1

func (e *Entry) learnSize(route string, size int64) {
	if size < 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	mean, known := e.sizes[route]
	if !known {
		mean = float64(size)
	}
	e.sizes[route] = mean + sizePart*(float64(size)-mean)
}

// spread is the width of the times at which callers that were refused together come
// back, as a part of the time that each is told.
const spread = 0.5

// jitter spreads callers that were refused together.
func jitter(after time.Duration) time.Duration {
	return time.Duration(float64(after) * (1 + spread*(rand.Float64()-0.5)))
}

// readBody reads a small body whole, so that it can be sent again.
func readBody(call *Call) (data []byte, whole bool, err error) {
	if call.Length < 0 || call.Length > maxReplay {
		return nil, false, nil
	}
	data = make([]byte, call.Length)
	if call.Length > 0 {
		if _, err := io.ReadFull(call.Body, data); err != nil {
			return nil, false, Error.New("reading the body of the caller: %w", err)
		}
	}
	return data, true, nil
}

// endOf says why a context ended.
func endOf(ctx context.Context) messenger.Reason {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return messenger.ReasonCanceled
	}
	return messenger.ReasonDeadline
}
