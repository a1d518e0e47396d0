// Package stopper decides which requests a stopping process still takes.
//
// A process that was told to stop is killed at the end of its grace period. What it
// passes on until then must be able to end before: the callers of requests that are cut off
// do not know whether they ran. A request that may take longer is refused at once instead,
// and runs elsewhere. That matters from the beginning of the stop for requests that may take
// as long as the grace period, and at its end for all; TestPlannedStopCutsNothingOff in
// platform sends both.
//
// # Usage
//
//	window := stopper.New(grace - margin)
//	if !window.Enter() || !window.Fits(timeout) { ... } // refuse the request
//	defer window.Leave()
//	...
//	window.Begin() // on SIGTERM
//	for !window.CloseIfIdle() { ... } // requests still run
package stopper

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"marigoldhill/kernel/timer"
)

// CallerSwitchTime is how long callers may send new requests after a stop began: they check
// readiness once a second and notice the stop within two checks.
const CallerSwitchTime = 2500 * time.Millisecond

// ErrStopping is the cause of a context that ended because the process stops.
var ErrStopping = errors.New("process is stopping")

// Window is the time in which a process serves requests: all the time until it begins to
// stop, and from then on a given length. A nil Window never ends. Its methods are safe for
// concurrent use.
type Window struct {
	length time.Duration
	// begun is done when the stop has begun, at beganAt.
	begun   context.Context
	begin   context.CancelFunc
	beganAt atomic.Pointer[timer.Instant]

	mu sync.Mutex
	// running counts the requests that have entered and not left.
	running int
	closed  bool
}

// New returns a Window of a process that does not stop yet. All requests must have ended
// when length has passed since the beginning of the stop.
func New(length time.Duration) *Window {
	w := &Window{length: length}
	w.begun, w.begin = context.WithCancel(context.Background())
	return w
}

// Begin begins the stop. Only the first call has an effect.
func (w *Window) Begin() {
	now := timer.Now()
	if w.beganAt.CompareAndSwap(nil, &now) {
		w.begin()
	}
}

// Elapsed returns how long ago the stop began, and false if it has not.
func (w *Window) Elapsed() (elapsed time.Duration, stopping bool) {
	if w == nil {
		return 0, false
	}
	beganAt := w.beganAt.Load()
	if beganAt == nil {
		return 0, false
	}
	return timer.Now().SinceMonotonic(*beganAt), true
}

// Fits reports whether a request that takes up to duration from now on can end in time. It
// always can if the stop has not begun.
func (w *Window) Fits(duration time.Duration) bool {
	elapsed, stopping := w.Elapsed()
	return !stopping || elapsed+duration <= w.length
}

// Context returns a context that ends with [ErrStopping] once the stop has begun and a
// request that takes up to duration from now on does not fit. It is for the time in which
// the request waits and was not passed on. The cancel function must be called.
func (w *Window) Context(ctx context.Context, duration time.Duration) (context.Context, context.CancelFunc) {
	if w == nil || duration <= w.length && w.Fits(duration) {
		// It will fit whenever the stop begins.
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	if !w.Fits(duration) {
		cancel(ErrStopping)
	}
	deadline := timer.Now().Add(duration)
	stopWatching := context.AfterFunc(w.begun, func() {
		if !w.Fits(deadline.SinceMonotonic(timer.Now())) {
			cancel(ErrStopping)
		}
	})
	return ctx, func() {
		stopWatching()
		cancel(nil)
	}
}

// RetryAfter returns the delay after which a caller that is refused for the stop should
// retry: by then it has switched to another router. It returns 0 if the stop has not begun.
func (w *Window) RetryAfter() time.Duration {
	elapsed, stopping := w.Elapsed()
	if !stopping {
		return 0
	}
	return max(CallerSwitchTime-elapsed, 0)
}

// Enter counts a request as running until Leave is called. It returns false if the window
// is closed.
func (w *Window) Enter() bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	w.running++
	return true
}

// Leave ends what Enter has begun.
func (w *Window) Leave() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

// CloseIfIdle closes the window unless a request is running, and reports whether it is
// closed.
func (w *Window) CloseIfIdle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = w.closed || w.running == 0
	return w.closed
}

// Close closes the window, also if requests are running.
func (w *Window) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
}
