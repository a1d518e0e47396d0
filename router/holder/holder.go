// Package holder makes the backend server hold the ranges of keys that its
// router owns.
//
// A server holds keys for a time that each grant tells it. The Holder renews
// grants while the router's lease lasts and never beyond its end, takes keys back
// when the control group moves them, and says which keys are free. A grant that
// got no answer may be carried out later; its keys are not called free before
// that can't be any more. The decisions are in the type core.
//
// # Usage
//
//	keys := holder.New(holder.Options{Caller: caller, Lease: keeper.Lease, Changed: keeper.Nudge, Log: log})
//	go keys.Run(ctx)
//	keys.Follow("findings", rows, server)
//	if reason := keys.Holds(timer.Now(), 4711); reason != messenger.ReasonNone { ... }
package holder

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/keeper"
)

// Error is the class of all errors of this package.
var Error = errs.Class("holder")

const (
	// planInterval is the time between two looks at what is due. It bounds how
	// late a renewal is, beside renewPart of a hold.
	planInterval = 100 * time.Millisecond
	// grantTime bounds the wait for the answer to a grant.
	grantTime = 400 * time.Millisecond
	// releaseTime bounds the wait for the answer to a release, which comes when
	// the work on the keys has ended.
	releaseTime = 5 * time.Second
)

// Caller makes calls to the backend server.
type Caller interface {
	// Grant and Release return how the call ended, with the cause when it was not
	// taken, and a release what the server leaves for the next holder.
	Grant(ctx context.Context, address string, call *Call) (Verdict, error)
	Release(ctx context.Context, address string, call *Call) (verdict Verdict, handover string, err error)
}

// Options are the parts that a Holder works with.
type Options struct {
	Caller Caller
	// Lease returns the lease of the router.
	Lease func() *keeper.Lease
	// Changed is called when keys became free.
	Changed func()
	Log     *logger.Log
}

// Holder is safe for concurrent use.
type Holder struct {
	options Options
	wake    chan struct{}

	mu     sync.Mutex
	core   *core
	server *messenger.ServerRow
}

// New returns a Holder without keys.
func New(options Options) *Holder {
	return &Holder{options: options, wake: make(chan struct{}, 1), core: newCore("")}
}

// Follow takes the ranges that the router owns and its backend server, nil
// before one is known: then nothing is granted and nothing is free.
func (h *Holder) Follow(rows []messenger.RangeRow, server *messenger.ServerRow) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if server == nil {
		h.server = nil
		return
	}
	if h.core.service != server.Service {
		h.core = newCore(server.Service)
	}
	h.server = server
	h.core.follow(timer.Now(), rows, server.Born)
	h.signal()
}

// ServerGone frees all keys, since the server ended with all that it held.
func (h *Holder) ServerGone() {
	h.mu.Lock()
	h.core.dropServer()
	h.mu.Unlock()
	h.options.Changed()
}

// Freed lists the keys that the server does not hold any more, though the router
// owns them.
func (h *Holder) Freed() []messenger.RangeRef {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil {
		return nil
	}
	return h.core.freed()
}

// Holds returns ReasonNone when the server holds a key, or why it gets no work
// for it.
func (h *Holder) Holds(now timer.Instant, key uint32) messenger.Reason {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.holds(now, key)
}

// IsEmpty reports whether the router owns no keys.
func (h *Holder) IsEmpty() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.isEmpty()
}

// Count is how many ranges the router owns.
func (h *Holder) Count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.count()
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
		h.step(ctx)
	}
}

func (h *Holder) step(ctx context.Context) {
	now := timer.Now()
	left := h.options.Lease().Left(now)
	h.mu.Lock()
	server, core := h.server, h.core
	var calls []*Call
	free := len(h.core.freed())
	if server != nil {
		calls = h.core.plan(now, left)
	}
	changed := len(h.core.freed()) != free
	h.mu.Unlock()
	for _, call := range calls {
		go h.call(ctx, core, server, call)
	}
	if changed {
		h.options.Changed()
	}
}

func (h *Holder) call(ctx context.Context, core *core, server *messenger.ServerRow, call *Call) {
	limit := grantTime
	if call.Release {
		limit = releaseTime
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var verdict Verdict
	var handover string
	var err error
	if call.Release {
		verdict, handover, err = h.options.Caller.Release(ctx, server.URL, call)
	} else {
		verdict, err = h.options.Caller.Grant(ctx, server.URL, call)
	}
	if verdict != Taken || call.Release {
		h.options.Log.Emit(logger.RangeCalled, "service", call.Service, "from", call.From, "to", call.To,
			"fence", call.Fence, "release", call.Release, "verdict", verdict.String(), "hold", call.Hold.String(), "error", err)
	}
	h.mu.Lock()
	core.end(timer.Now(), call, verdict, handover)
	free := len(h.core.freed()) > 0
	h.mu.Unlock()
	if free {
		h.options.Changed()
	}
	h.signal()
}

// String names the verdict.
func (v Verdict) String() string {
	switch v {
	case Taken:
		return "taken"
	case Outrun:
		return "outrun"
	case Unanswered:
		return "unanswered"
	}
	return "unsent"
}
