package evacuator

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/keeper"
)

// RetryAfter is the delay after which callers should retry a request that was refused
// because all failure domains are evacuated.
const RetryAfter = time.Second

// pollInterval is the time between two checks whether a held request may go on.
const pollInterval = 20 * time.Millisecond

// Options are the dependencies of a Guard.
type Options struct {
	// Domain is the failure domain of the router.
	Domain string
	// Bound is the time in which orders must be in force; see [NewGate].
	Bound time.Duration
	// Lease returns the current lease of the router.
	Lease   func() *keeper.Lease
	Log     *logger.Log
	Metrics *metrics.Set
}

// Guard applies the decisions of a Gate to the requests of a router. It is safe for
// concurrent use. A nil Guard passes all requests.
type Guard struct {
	options  Options
	refusals *metrics.Counter
	holds    *metrics.Counter

	mu   sync.Mutex
	gate *Gate
}

// New returns a Guard of a router that has received no delta.
func New(options Options) *Guard {
	g := &Guard{
		options:  options,
		refusals: options.Metrics.GetOrCreateCounter("marigold_evacuation_refusals_total"),
		holds:    options.Metrics.GetOrCreateCounter("marigold_evacuation_holds_total"),
		gate:     NewGate(options.Bound),
	}
	options.Metrics.GetOrCreateGauge("marigold_evacuated", g.evacuated)
	return g
}

// evacuated returns 1 while the failure domain is evacuated, else 0.
func (g *Guard) evacuated() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gate.order != nil {
		return 1
	}
	return 0
}

// Update sets the evacuation of the failure domain, nil if there is none. It must be called
// after a delta was applied and before the lease is renewed for it. isFull reports whether
// it was a full one.
func (g *Guard) Update(order *messenger.EvacuationRow, isFull bool) {
	now := timer.Now()
	source := Source{Full: isFull, ConfirmedAt: g.options.Lease().RenewedAt}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.gate.Learn(now, order, source) {
		return
	}
	pairs := []any{"domain", g.options.Domain, "evacuated", order != nil}
	if order != nil {
		pairs = append(pairs, "by", order.By, "since", order.Since, "full", isFull, "grace", !g.gate.graceless)
		if !source.ConfirmedAt.IsZero() {
			pairs = append(pairs, "confirmed", now.Since(source.ConfirmedAt).String())
		}
	}
	g.options.Log.Emit(logger.EvacuationChanged, pairs...)
}

// Tick notices that the router is no longer confirmed. It must be called every
// TickInterval.
func (g *Guard) Tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := timer.Now()
	g.gate.Observe(now, g.options.Lease().IsLeaseValid(now))
}

// Check returns the reason why a request for a key must not be sent to the server now, or
// ReasonNone. It does not hold the request: it is for routers that refuse all requests
// while they have no lease.
func (g *Guard) Check(now timer.Instant) messenger.Reason {
	if g == nil {
		return messenger.ReasonNone
	}
	g.mu.Lock()
	verdict := g.gate.Decide(now, true)
	g.mu.Unlock()
	if verdict == Refuse {
		g.refusals.Inc()
		return messenger.ReasonDraining
	}
	return messenger.ReasonNone
}

// Admit returns ReasonNone if a request may be sent to the server, or the reason why not.
// Before that, it holds the request for as long as the Gate demands it, at most until ctx
// ends or the time that is left for the request has passed.
func (g *Guard) Admit(ctx context.Context, isKeyed bool, left time.Duration) messenger.Reason {
	if g == nil {
		return messenger.ReasonNone
	}
	verdict := g.decide(isKeyed)
	if verdict != Hold {
		return g.reason(verdict)
	}
	g.holds.Inc()
	expiry := time.NewTimer(left)
	defer expiry.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for verdict == Hold {
		select {
		case <-poll.C:
			verdict = g.decide(isKeyed)
		case <-expiry.C:
			return messenger.ReasonDeadline
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return messenger.ReasonDeadline
			}
			return messenger.ReasonCanceled
		}
	}
	return g.reason(verdict)
}

func (g *Guard) decide(isKeyed bool) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := timer.Now()
	g.gate.Observe(now, g.options.Lease().IsLeaseValid(now))
	return g.gate.Decide(now, isKeyed)
}

// reason returns the reason for a verdict other than Hold, and counts refusals.
func (g *Guard) reason(verdict Verdict) messenger.Reason {
	switch verdict {
	case Refuse:
		g.refusals.Inc()
		return messenger.ReasonDraining
	case Unready:
		// Entry routers send a request without a key elsewhere, and the router is not
		// counted as failing.
		return messenger.ReasonMisrouted
	}
	return messenger.ReasonNone
}
