// Package holder grants the ranges of keys that a router owns to its backend server,
// and revokes them.
//
// Each call names the server that it is for, since the next start of the server may
// listen at the same address before the router learns of it. Each grant tells the server
// how long it may hold the keys. The Holder renews grants while the lease of the router is
// valid and never beyond its end, releases keys when the control group moves them and no
// request for them runs, and reports which keys are free. An unanswered grant may still take effect; its keys are not
// reported as free until that is impossible. The type stateMachine makes these decisions.
//
// # Usage
//
//	keys := holder.New(holder.Options{Caller: caller, Lease: keeper.Lease,
//		LeaseDuration: timing.Lease, OnChange: keeper.RequestHeartbeat, Log: log})
//	go keys.Run(ctx)
//	keys.SetRows(rows, server, messenger.ServerReady)
//	if reason := keys.CheckHeld(timer.Now(), 4711); reason != messenger.ReasonNone { ... }
package holder

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/keeper"
)

// Error is the class of all errors of this package.
var Error = errs.Class("holder")

const (
	// planInterval is the time between two checks for calls that are due, and so the
	// maximum delay of a renewal.
	planInterval = 100 * time.Millisecond
	// grantTimeout is the timeout of a grant, counted from when it was planned.
	grantTimeout = 400 * time.Millisecond
	// releaseTimeout is the timeout of a release. The server responds only when its
	// work on the keys has ended.
	releaseTimeout = 5 * time.Second
)

// Caller makes calls to the backend server.
type Caller interface {
	// Grant and Release return the outcome of the call, and the cause, if there is
	// one, when it is not Accepted. Release also returns the handover token for the next
	// holder.
	Grant(ctx context.Context, address string, call *Call) (CallResult, error)
	Release(ctx context.Context, address string, call *Call) (result CallResult, handover string, err error)
}

// Options are the dependencies of a Holder.
type Options struct {
	Caller Caller
	// Lease returns the lease of the router.
	Lease func() *keeper.Lease
	// LeaseDuration is the duration of a lease.
	LeaseDuration time.Duration
	// OnChange is called when keys have become free.
	OnChange func()
	Log      *logger.Log
	// Metrics gets the counters of calls and of freed ranges.
	Metrics *metrics.Set
}

// Holder grants and releases the keys of one backend server. It is safe for concurrent
// use.
type Holder struct {
	options Options
	wake    chan struct{}

	mu           sync.Mutex
	stateMachine *stateMachine
	server       *messenger.ServerRow
	recorded     incarnation
}

// New returns a Holder without keys.
func New(options Options) *Holder {
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	return &Holder{options: options, wake: make(chan struct{}, 1), stateMachine: newStateMachine("", options.LeaseDuration)}
}

// SetRows updates the ranges that the router owns, its backend server and the state of
// that server. The server is nil before it has announced itself: then nothing is granted,
// and the ranges are free when a lease has passed.
func (h *Holder) SetRows(rows []messenger.RangeRow, server *messenger.ServerRow, state messenger.ServerState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.server = server
	service := h.stateMachine.service
	var current incarnation
	switch {
	case server != nil:
		service = server.Service
		current = incarnation{name: server.Name, born: server.Born}
	case len(rows) > 0:
		service = rows[0].Service
	}
	if h.stateMachine.service != service {
		h.stateMachine = newStateMachine(service, h.options.LeaseDuration)
	}
	if state != messenger.ServerDown {
		h.stateMachine.serverRecovered()
	}
	h.stateMachine.recorded = h.recorded
	h.stateMachine.setRanges(timer.Now(), rows, current)
	if state == messenger.ServerDown {
		h.stateMachine.serverTerminated()
	}
	h.logFreed()
	h.signal()
}

// SetRecordedServer sets the server that the session of this router has reported; nil
// changes nothing. It matters until the first announcement to this process: grants of an
// earlier process of this router were for that server.
func (h *Holder) SetRecordedServer(server *messenger.ServerRow) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil && server != nil {
		h.recorded = incarnation{name: server.Name, born: server.Born}
	}
}

// Freed returns the ranges that the router owns but the server no longer holds.
func (h *Holder) Freed() []messenger.RangeRef {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stateMachine.freed()
}

// CheckHeld returns ReasonNone if the server holds a key, or the reason why it must not
// receive requests for it.
func (h *Holder) CheckHeld(now timer.Instant, key uint32) messenger.Reason {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stateMachine.checkHeld(now, key)
}

// Enter is like CheckHeld, and counts the request as running if the result is ReasonNone.
// The keys are not released before Leave is called.
func (h *Holder) Enter(now timer.Instant, key uint32) messenger.Reason {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stateMachine.enter(now, key)
}

// Leave ends what Enter has begun.
func (h *Holder) Leave(key uint32) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stateMachine.leave(key)
	if h.stateMachine.keys.Find(key).Value.phase == phaseDraining {
		h.signal()
	}
}

// IsEmpty reports whether the router owns no keys.
func (h *Holder) IsEmpty() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stateMachine.isEmpty()
}

// RangeCount returns the number of ranges that the router owns.
func (h *Holder) RangeCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stateMachine.count()
}

func (h *Holder) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Run makes the calls that are due until ctx ends. It must be called once.
func (h *Holder) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-h.wake:
		case <-ctx.Done():
			return
		}
		h.makeDueCalls(ctx)
	}
}

func (h *Holder) makeDueCalls(ctx context.Context) {
	now := timer.Now()
	leaseRemaining := h.options.Lease().Remaining(now)
	h.mu.Lock()
	server, stateMachine := h.server, h.stateMachine
	freedBefore := len(h.stateMachine.freed())
	calls := h.stateMachine.plan(now, leaseRemaining)
	h.logFreed()
	changed := len(h.stateMachine.freed()) != freedBefore
	h.mu.Unlock()
	for _, call := range calls {
		go h.call(ctx, stateMachine, server, call)
	}
	if changed {
		h.options.OnChange()
	}
}

func (h *Holder) call(ctx context.Context, stateMachine *stateMachine, server *messenger.ServerRow, call *Call) {
	result, handover, err := h.send(ctx, server, call)
	h.logCall(server, call, result, err)
	h.mu.Lock()
	stateMachine.endCall(timer.Now(), call, result, handover)
	h.logFreed()
	hasFreed := len(h.stateMachine.freed()) > 0
	h.mu.Unlock()
	if hasFreed {
		h.options.OnChange()
	}
	h.signal()
}

// send makes a call, unless it has already reached its timeout.
func (h *Holder) send(ctx context.Context, server *messenger.ServerRow, call *Call) (CallResult, string, error) {
	timeout := grantTimeout
	if call.Release {
		timeout = releaseTimeout
	}
	delay := timer.Now().Since(call.plannedAt)
	if delay >= timeout {
		return NotSent, "", Error.New("range call was delayed by %s, want less than %s", delay, timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout-delay)
	defer cancel()
	if call.Release {
		return h.options.Caller.Release(ctx, server.URL, call)
	}
	result, err := h.options.Caller.Grant(ctx, server.URL, call)
	return result, "", err
}

// logCall counts a call and logs it unless it is a renewal that was accepted.
func (h *Holder) logCall(server *messenger.ServerRow, call *Call, result CallResult, err error) {
	kind := "grant"
	if call.Release {
		kind = "release"
	}
	h.options.Metrics.GetOrCreateCounter(`marigold_range_calls_total{call="` + kind + `",verdict="` + result.String() + `"}`).Inc()
	if result == Accepted && !call.Release && !call.First {
		return
	}
	h.options.Log.Emit(logger.RangeCallCompleted, "service", call.Service, "from", call.From, "to", call.To,
		"fence", call.Fence, "server", server.Name, "born", server.Born, "release", call.Release, "verdict", result.String(),
		"hold", call.Hold.String(), "took", timer.Now().Since(call.plannedAt).String(), "error", err)
}

// logFreed counts and logs the ranges that became free. The caller holds h.mu.
func (h *Holder) logFreed() {
	for _, freed := range h.stateMachine.unloggedFreed() {
		h.options.Metrics.GetOrCreateCounter(`marigold_ranges_freed_total{cause="` + string(freed.cause) + `"}`).Inc()
		h.options.Log.Emit(logger.RangesFreed, "service", h.stateMachine.service, "from", freed.from, "to", freed.to,
			"fence", freed.fence, "server", h.stateMachine.server.name, "born", h.stateMachine.server.born, "cause", string(freed.cause))
	}
}
