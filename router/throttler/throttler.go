// Package throttler refuses excess requests at their entry router, before they cross the
// network to a backend server that would refuse them.
//
// The load pattern that it addresses: a service is offered several times what it can
// handle, and callers retry what was refused. Each refusal by the router of the server
// then costs two messages on the links of two VMs, and the answers of requests that do run
// wait behind them. The service completes less the more it is offered. On a heavy day of a
// fleet with full links this raised the worth of the day from 0.28 to 0.39; where links are
// wide, it is worth nothing and no fraction is sent.
//
// The router of a backend server has a [Controller]. From what it admits and refuses, it
// computes for each rank the fraction of requests that entry routers should still send, and
// responses carry that fraction. It refuses the least urgent rank first, and it leaves more
// than the server can handle, so that no slot is idle for lack of requests. The entry
// router has a [Gate], which applies the newest fraction of each server. A fraction that is
// not renewed returns to 1 within a second.
//
// A request passes the gate by a hash of its fingerprint and a period of time, so that one
// that is repeated at once is refused again. One that returns when it was told to passes
// before new ones.
//
// Both keep their state in memory. After a restart everything passes until the first
// responses.
//
// # Usage
//
//	controller := throttler.NewController()
//	controller.Observe(now, rank, admitted)
//	fraction := controller.Fraction(rank) // sent with a response
//
//	gate := throttler.NewGate()
//	gate.Update(now, session, rank, fraction, retryAfter)
//	if after, refused := gate.Check(now, throttler.Request{...}); refused { ... }
package throttler

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("throttler")

const (
	// adjustInterval is the time between two adjustments of a Controller. Entry routers
	// hear of a fraction with their next response of the server.
	adjustInterval = 250 * time.Millisecond
	// minArrivals is the number of requests from which the refusals of an interval count.
	minArrivals = 8
	// headroom is how much more than was admitted entry routers should send: the excess
	// keeps requests waiting for each slot that becomes free.
	headroom = 1.3
	// maxIncrease is the factor by which a fraction grows in an interval without excess.
	maxIncrease = 1.25
	// changeWeight is the weight of a new fraction. Entry routers that apply the fractions
	// of different intervals would make the load swing otherwise.
	changeWeight = 0.5
	// appliedTime is the time constant with which the fraction that entry routers apply
	// follows the one that they are asked for.
	appliedTime = 700 * time.Millisecond
	// minFraction keeps some requests coming, so that responses report that the load has
	// gone.
	minFraction = 0.05
	// decayTime is the time after which a fraction that was not renewed is 1 again. Hot keys
	// and bursts move within seconds, so an older fraction refuses what could be served.
	decayTime = time.Second
)
