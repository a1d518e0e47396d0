// Package forwarder brings a caller's request to the owner of its key and the
// answer back.
//
// A key that this router owns goes to its own executor. Any other takes one hop
// over a link to the owner's router, never a second one: the serving side runs
// the request or answers that it was misrouted, with the revision of its routing
// table. Requests for keys without a serving owner are held, bounded in number
// and time, until the routing table changes.
//
// # What refused rests on
//
// The serving side starts nothing before it has the whole request, or more than
// BufferSize bytes of a larger body. So a request whose last frame was not handed
// to the link, and of whose body no more than BufferSize bytes were, did not run
// when the stream fails: it is refused as unreachable. In every other case the
// owner is asked over another stream what became of the request, by its number.
// An owner that answers refused also refuses the number when it arrives late. A
// request is unknown only when the owner cannot tell.
//
// # Usage
//
//	f := forwarder.New(forwarder.Settings{}, forwarder.Options{Locator: locator, Runner: runner, Opener: pool, Lease: lease, Metrics: set})
//	answer := f.Forward(ctx, &request, profile, body)
//	defer answer.Close()
//
// The listener for other routers hands KindForward and KindOutcome streams to
// [Forwarder.Handle].
package forwarder

import (
	"context"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/executor"
	"marigoldhill/router/locator"
	"marigoldhill/router/retrier"
)

// Error is the class of all errors of this package.
var Error = errs.Class("forwarder")

const (
	// BufferSize is how many bytes of a body are kept for another send.
	BufferSize = 256 << 10
	// DefaultHolds is how many requests are held at once.
	DefaultHolds = 1024
	// DefaultHoldBytes is how many bytes of bodies are held at once.
	DefaultHoldBytes = 32 << 20
	// DefaultHoldTime bounds how long one request is held in all.
	DefaultHoldTime = 5 * time.Second
	// RetryAfter is when callers should come back after a refusal that is
	// expected to pass.
	RetryAfter = time.Second
)

// Lease is the lease of this router. The keeper implements it.
type Lease interface {
	// Alive reports whether the router holds its lease at an instant.
	Alive(now timer.Instant) bool
	// Session is the number of the router's session, 0 without one.
	Session() uint64
}

// Settings are the limits of a Forwarder. Zero fields take the defaults.
type Settings struct {
	// Holds is how many requests are held at once.
	Holds int
	// HoldBytes is how many bytes of bodies are held at once.
	HoldBytes int64
	// HoldTime bounds how long one request is held.
	HoldTime time.Duration
	// Seed makes the jitter of waits.
	Seed uint64
}

// Options are what a Forwarder works with.
type Options struct {
	Locator *locator.Locator
	// Runner runs requests for the keys that this router owns.
	Runner executor.Runner
	// Opener opens streams to other routers.
	Opener linker.Opener
	Lease  Lease
	// Hasten is called while a request waits for a newer routing table, and when
	// another router has one; nil does nothing. It must not block.
	Hasten func()
	// Metrics gets the counters.
	Metrics *metrics.Set
}

// Forwarder forwards requests. Its methods are safe for concurrent use.
type Forwarder struct {
	settings Settings
	options  Options
	retrier  *retrier.Retrier
	counters counters
	holds    holds
}

// New returns a Forwarder.
func New(settings Settings, options Options) *Forwarder {
	if options.Hasten == nil {
		options.Hasten = func() {}
	}
	if settings.Holds == 0 {
		settings.Holds = DefaultHolds
	}
	if settings.HoldBytes == 0 {
		settings.HoldBytes = DefaultHoldBytes
	}
	if settings.HoldTime == 0 {
		settings.HoldTime = DefaultHoldTime
	}
	return &Forwarder{
		settings: settings,
		options:  options,
		retrier:  retrier.New(settings.Seed, options.Metrics),
		counters: newCounters(options.Metrics),
		holds:    holds{most: settings.Holds, mostBytes: settings.HoldBytes},
	}
}

// Forward brings a request to its owner and returns the answer, which the
// caller must close. The context must have a deadline and live until then; the
// body is read no more after that. When length and body disagree, body decides.
func (f *Forwarder) Forward(ctx context.Context, request *messenger.Request, profile *messenger.Profile, body io.Reader) executor.Answer {
	f.retrier.Started(request.Service)
	source, err := newReplay(body, request.Length)
	if err != nil {
		return refuse(request, bodyReason(ctx, err))
	}
	if source.whole {
		request.Length = int64(len(source.prefix))
	}
	t := &trip{
		forwarder: f,
		request:   request,
		profile:   profile,
		body:      source,
	}
	return t.run(ctx)
}
