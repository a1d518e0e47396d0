// Package forwarder sends a caller's request to the router that owns its key and
// returns the answer. Its counterpart in routed mode is package relayer.
//
// A request for a key that this router owns goes to its own executor. Any other
// request takes one hop over a link to the owner's router, never a second one:
// the serving router runs the request or refuses it as misrouted, with the
// revision of its routing table. Requests for keys without a serving owner are
// held, bounded in number, bytes and time, until the routing table changes.
//
// # When a request counts as refused
//
// The serving router starts a request only after it has received all of it, or
// more than BufferSize bytes of a larger body. If the stream fails before the last
// frame of the request was handed to the link, and at most BufferSize bytes of the
// body were, the request did not run and is refused as unreachable. In every other
// case the outcome of the request is queried from the owner over another stream, by
// the number of the request. An owner that answers refused also refuses the number
// if the request arrives later. The outcome is unknown only when the owner cannot be
// reached in time or cannot report it.
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

	"marigoldhill/kernel/limiter"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/executor"
	"marigoldhill/router/locator"
	"marigoldhill/router/retrier"
	"marigoldhill/router/stopper"
)

// Error is the class of all errors of this package.
var Error = errs.Class("forwarder")

const (
	// BufferSize is how many bytes of a body are kept for a retry.
	BufferSize = 256 << 10
	// DefaultMaxHeld is the maximum number of requests held at once.
	DefaultMaxHeld = 1024
	// DefaultMaxHeldBytes is the maximum size of all held bodies.
	DefaultMaxHeldBytes = 32 << 20
	// DefaultMaxHoldTime is the maximum total time that one request is held.
	DefaultMaxHoldTime = 5 * time.Second
	// RetryAfter is the delay after which callers should retry a request that
	// was refused for a transient reason.
	RetryAfter = time.Second
)

// Lease is the lease of this router. Package keeper implements it.
type Lease interface {
	// IsLeaseValid reports whether the lease is valid at an instant.
	IsLeaseValid(now timer.Instant) bool
	// Session returns the number of the router's session, or 0 without one.
	Session() uint64
}

// Settings are the limits of a Forwarder. Zero fields take the defaults.
type Settings struct {
	// MaxHeld is the maximum number of requests held at once.
	MaxHeld int
	// MaxHeldBytes is the maximum size of all held bodies.
	MaxHeldBytes int64
	// MaxHoldTime is the maximum total time that one request is held.
	MaxHoldTime time.Duration
	// Seed initializes the jitter of retry delays.
	Seed uint64
}

// Options are the dependencies of a Forwarder.
type Options struct {
	Locator *locator.Locator
	// Runner runs requests for the keys that this router owns.
	Runner executor.Runner
	// Opener opens streams to other routers.
	Opener linker.Opener
	Lease  Lease
	// RequestUpdate requests an early update of the routing table. It is called while a
	// request waits for a newer table, and when another router has one. It must
	// not block; nil does nothing.
	RequestUpdate func()
	// Stop is the time in which requests may be passed on; nil if the process never stops.
	Stop *stopper.Window
	// Heads bounds the memory for the heads of requests from other routers; nil means no
	// bound.
	Heads *limiter.Pool
	// Metrics is the set in which the counters are registered.
	Metrics *metrics.Set
}

// Forwarder forwards requests. Its methods are safe for concurrent use.
type Forwarder struct {
	settings    Settings
	options     Options
	retrier     *retrier.Retrier
	counters    counters
	holdLimiter holdLimiter
}

func New(settings Settings, options Options) *Forwarder {
	if options.RequestUpdate == nil {
		options.RequestUpdate = func() {}
	}
	if settings.MaxHeld == 0 {
		settings.MaxHeld = DefaultMaxHeld
	}
	if settings.MaxHeldBytes == 0 {
		settings.MaxHeldBytes = DefaultMaxHeldBytes
	}
	if settings.MaxHoldTime == 0 {
		settings.MaxHoldTime = DefaultMaxHoldTime
	}
	return &Forwarder{
		settings:    settings,
		options:     options,
		retrier:     retrier.New(settings.Seed, options.Metrics),
		counters:    newCounters(options.Metrics),
		holdLimiter: holdLimiter{maxRequests: settings.MaxHeld, maxBytes: settings.MaxHeldBytes},
	}
}

// Forward sends a request to the owner of its key and returns the answer, which
// must be closed. ctx must have a deadline and must not be canceled before the
// answer was read; the body is not read after ctx has ended. If request.Length
// and the size of the body differ, the size of the body is used.
func (f *Forwarder) Forward(ctx context.Context, request *messenger.Request, profile *messenger.Profile, body io.Reader) executor.Answer {
	f.retrier.Started(request.Service)
	buffered, err := newReplayBody(body, request.Length)
	if err != nil {
		return refusedAnswer(request, bodyErrorReason(ctx, err))
	}
	if buffered.complete {
		request.Length = int64(len(buffered.prefix))
	}
	c := &call{
		forwarder: f,
		request:   request,
		profile:   profile,
		body:      buffered,
	}
	return c.run(ctx)
}
