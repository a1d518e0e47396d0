// Package evacuator decides whether a router may send a request to the backend server
// beside it while an operator evacuates its failure domain.
//
// The load that it addresses: an operator evacuates a domain because its servers, its
// power or its links are about to fail, and relies on it that a few seconds later nothing
// new reaches them. Most routers learn of the order within one heartbeat. A router that was
// frozen, cut off or down does not, and has requests of callers waiting when it resumes.
//
// A [Gate] makes the decisions. It has no clock and no goroutine:
//
//   - After an order, requests are passed for a grace period, in which entry routers learn
//     of it and keys move to other domains. A router that cannot know how old the order is
//     has no grace period.
//   - If the control group has not confirmed the router for longer than its lease, there may
//     be an order that the router does not know. Requests are held until the router is
//     confirmed again, but no longer than [MaxHold] altogether: then the router serves on
//     with the map that it has, since the loss of the control group must not stop all
//     service.
//
// A [Guard] is a Gate with the clock, the lease, the log and the counters of a router.
//
// # Usage
//
//	guard := evacuator.New(evacuator.Options{Domain: "a", Bound: 5 * time.Second, Lease: keeper.Lease, Log: log, Metrics: set})
//	guard.Update(routes.Evacuation("a"), delta.Full) // after each delta
//	guard.Tick()                                     // every TickInterval
//	if reason := guard.Admit(ctx, true, left); reason != messenger.ReasonNone { ... }
package evacuator

import (
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const (
	// DefaultBound is the time in which an order must be in force if the settings have
	// none.
	DefaultBound = 5 * time.Second
	// MaxHold is how long requests are held in total after a router has noticed that it is
	// no longer confirmed. A router that was frozen opens a session and gets its delta
	// within three heartbeats of at most 250 ms.
	MaxHold = 700 * time.Millisecond
	// keylessGrace is how long requests without a key are passed after an order. Entry
	// routers learn of it within a heartbeat interval of 300 ms.
	keylessGrace = 500 * time.Millisecond
	// keyedFraction is the fraction of the bound for which requests by key are passed. Keys
	// leave in five steps of 400 ms; the rest of the bound is for the time until the router
	// has learned of the order.
	keyedFraction = 0.7
	// maxConfirmationAge is how old the last confirmation may be when the router learns of
	// an order. The order is no older than that. It is at most confirmationFraction of the
	// bound, so that this age and the grace period together stay within the bound.
	maxConfirmationAge   = time.Second
	confirmationFraction = 0.2
	// TickInterval is the maximum time between two observations of a running process.
	TickInterval = 250 * time.Millisecond
	// stopGap is the time between two observations from which on the process was stopped:
	// its timers can be late by some intervals if the VM is overloaded.
	stopGap = 4 * TickInterval
)

// Verdict is the decision on a request.
type Verdict uint8

const (
	// Pass means that the request may be sent to the server.
	Pass Verdict = iota
	// Refuse means that the failure domain is evacuated.
	Refuse
	// Hold means that the request waits until the verdict has changed.
	Hold
	// Unready means that the process was never confirmed and knows no evacuations.
	Unready
)

// Source tells how a router learned of an order.
type Source struct {
	// Full is set if a full delta contained it. The order may be of any age.
	Full bool
	// ConfirmedAt is when the router was confirmed last before the delta; zero if it never
	// was, or if its lease has ended since.
	ConfirmedAt timer.Instant
}

// Gate decides on the requests for one server. It is not safe for concurrent use.
type Gate struct {
	bound time.Duration
	// holds is set if requests are held after a lapse.
	holds bool

	// order is the evacuation of the failure domain, nil if there is none.
	order     *messenger.EvacuationRow
	learnedAt timer.Instant
	// graceless is set if the grace periods do not apply to order.
	graceless bool

	observedAt timer.Instant
	// confirmedOnce is set when the router was confirmed for the first time.
	confirmedOnce bool
	// isLapsed is set while the router is not confirmed. lapsedFor is how long the process
	// has been running since it noticed that.
	isLapsed  bool
	lapsedFor time.Duration
}

// NewGate returns a Gate with the time in which orders must be in force. If it is 0, it is
// DefaultBound, and no requests are held.
func NewGate(bound time.Duration) *Gate {
	if bound <= 0 {
		return &Gate{bound: DefaultBound}
	}
	return &Gate{bound: bound, holds: true}
}

// Learn sets the evacuation of the failure domain, nil if there is none, after a delta was
// applied. It reports whether that is another order than before.
func (g *Gate) Learn(now timer.Instant, order *messenger.EvacuationRow, source Source) bool {
	switch {
	case order == nil && g.order == nil:
		return false
	case order == nil:
		g.order = nil
		return true
	case g.order != nil && g.order.Since == order.Since:
		return false
	}
	g.order = order
	g.learnedAt = now
	maxAge := min(maxConfirmationAge, time.Duration(confirmationFraction*float64(g.bound)))
	g.graceless = source.Full || source.ConfirmedAt.IsZero() || now.Since(source.ConfirmedAt) > maxAge
	return true
}

// Observe records whether the lease of the router is valid at now. It must be called at
// least every TickInterval.
func (g *Gate) Observe(now timer.Instant, isConfirmed bool) {
	gap := now.Since(g.observedAt)
	g.observedAt = now
	switch {
	case isConfirmed:
		g.confirmedOnce = true
		g.isLapsed = false
	case !g.isLapsed || gap >= stopGap:
		// A process that was stopped could not be confirmed meanwhile, so that its time
		// starts anew.
		g.isLapsed = true
		g.lapsedFor = 0
	default:
		g.lapsedFor += min(gap, TickInterval)
	}
}

// Decide returns the verdict on a request at now. Observe must have been called with the
// same time. isKeyed reports whether the request is for a key that the server holds.
func (g *Gate) Decide(now timer.Instant, isKeyed bool) Verdict {
	switch {
	case g.order != nil && (g.graceless || now.Since(g.learnedAt) >= g.grace(isKeyed)):
		return Refuse
	case !g.holds:
		return Pass
	case !g.confirmedOnce:
		return Unready
	case g.isLapsed && g.lapsedFor < MaxHold:
		return Hold
	}
	return Pass
}

// grace returns how long requests are passed after an order.
func (g *Gate) grace(isKeyed bool) time.Duration {
	keyed := time.Duration(keyedFraction * float64(g.bound))
	if isKeyed {
		return keyed
	}
	return min(keylessGrace, keyed)
}
