// Package isolator runs requests that may crash a backend server separately from
// others.
//
// The requests in flight when a backend server died are suspects; the control group
// distributes them to all routers. A suspect runs exclusively: it waits until no
// other request is in flight at the backend server, and no other starts until it
// ends. If the server dies again, the suspect is the only possible cause, and the
// control group quarantines it.
//
// # Usage
//
//	isolation := isolator.New()
//	pass, err := isolation.Enter(ctx, messenger.QuarantineRow{Fingerprint: print, ...}, isSuspect)
//	defer pass.Leave()
//	rows := isolation.InFlight() // the requests in flight
package isolator

import (
	"context"
	"sync"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("isolator")

// Isolator admits requests to a backend server, in order of arrival, so that neither
// suspects nor other requests starve. Its methods are safe for concurrent use.
type Isolator struct {
	mu        sync.Mutex
	inFlight  map[*Pass]struct{}
	exclusive bool
	waiting   []*waiter
}

// Pass is the admission of one request to the backend server.
type Pass struct {
	isolation *Isolator
	row       messenger.QuarantineRow
	exclusive bool
}

// waiter is a request that waits for admission.
type waiter struct {
	pass     *Pass
	admitted chan struct{}
}

// New returns an Isolator with no requests in flight.
func New() *Isolator {
	return &Isolator{inFlight: make(map[*Pass]struct{})}
}

// Enter waits until a request may be sent to the backend server. A suspect waits until
// no other request is in flight.
func (g *Isolator) Enter(ctx context.Context, row messenger.QuarantineRow, suspect bool) (*Pass, error) {
	pass := &Pass{isolation: g, row: row, exclusive: suspect}
	g.mu.Lock()
	if len(g.waiting) == 0 && g.hasRoom(pass) {
		g.admit(pass)
		g.mu.Unlock()
		return pass, nil
	}
	waiter := &waiter{pass: pass, admitted: make(chan struct{})}
	g.waiting = append(g.waiting, waiter)
	g.mu.Unlock()
	select {
	case <-waiter.admitted:
		return pass, nil
	case <-ctx.Done():
		g.cancel(waiter)
		return nil, Error.New("request not admitted to the backend server: %w", context.Cause(ctx))
	}
}

// Leave marks the end of the request at the backend server. Calls after the first have
// no effect.
func (p *Pass) Leave() {
	g := p.isolation
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remove(p)
}

// remove requires mu to be held.
func (g *Isolator) remove(pass *Pass) {
	if _, ok := g.inFlight[pass]; !ok {
		return
	}
	delete(g.inFlight, pass)
	if pass.exclusive {
		g.exclusive = false
	}
	g.admitWaiting()
}

// hasRoom reports whether pass may be admitted now. It requires mu to be held.
func (g *Isolator) hasRoom(pass *Pass) bool {
	if pass.exclusive {
		return len(g.inFlight) == 0
	}
	return !g.exclusive
}

// admit requires mu to be held.
func (g *Isolator) admit(pass *Pass) {
	g.inFlight[pass] = struct{}{}
	g.exclusive = g.exclusive || pass.exclusive
}

// admitWaiting admits waiting requests in order. It requires mu to be held.
func (g *Isolator) admitWaiting() {
	for len(g.waiting) > 0 && g.hasRoom(g.waiting[0].pass) {
		g.admit(g.waiting[0].pass)
		close(g.waiting[0].admitted)
		g.waiting = g.waiting[1:]
	}
}

// cancel removes a waiter, or its pass if it was admitted in the meantime.
func (g *Isolator) cancel(canceled *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, waiter := range g.waiting {
		if waiter == canceled {
			g.waiting = append(g.waiting[:i:i], g.waiting[i+1:]...)
			g.admitWaiting()
			return
		}
	}
	g.remove(canceled.pass)
}

// InFlight returns the requests in flight, each fingerprint once. When the backend server
// has died, all of them are suspects.
func (g *Isolator) InFlight() []messenger.QuarantineRow {
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := make(map[string]struct{})
	var rows []messenger.QuarantineRow
	for pass := range g.inFlight {
		if _, ok := seen[pass.row.Fingerprint]; ok {
			continue
		}
		seen[pass.row.Fingerprint] = struct{}{}
		rows = append(rows, pass.row)
	}
	return rows
}
