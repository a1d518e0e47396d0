// Package isolator keeps requests that may crash backend servers away from
// others.
//
// What was in flight when a backend server died is suspect; the control group
// tells all routers. A suspect runs alone: it waits until nothing else is in
// flight at the backend server, and nothing else starts beside it. If the server
// dies again, the suspect alone is to blame, and the control group quarantines
// it.
//
// # Usage
//
//	gate := isolator.New()
//	pass, err := gate.Enter(ctx, isolator.Suspect{Fingerprint: print, ...}, isSuspect)
//	defer pass.Leave()
//	rows := gate.Died() // what was in flight
package isolator

import (
	"context"
	"sync"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("isolator")

// Gate lets requests to the backend server. Its methods are safe for concurrent
// use. Requests are let in by the order of their arrival, so that neither
// suspects nor others starve.
type Gate struct {
	mu      sync.Mutex
	inside  map[*Pass]struct{}
	alone   bool
	waiting []*waiter
}

// Pass is the place of one request at the backend server.
type Pass struct {
	gate  *Gate
	row   messenger.QuarantineRow
	alone bool
}

// waiter is a request that waits to be let in.
type waiter struct {
	pass    *Pass
	entered chan struct{}
}

// New returns a Gate with nothing in flight.
func New() *Gate {
	return &Gate{inside: make(map[*Pass]struct{})}
}

// Enter waits until a request may go to the backend server. A suspect waits to
// be alone.
func (g *Gate) Enter(ctx context.Context, row messenger.QuarantineRow, suspect bool) (*Pass, error) {
	pass := &Pass{gate: g, row: row, alone: suspect}
	g.mu.Lock()
	if len(g.waiting) == 0 && g.hasRoom(pass) {
		g.admit(pass)
		g.mu.Unlock()
		return pass, nil
	}
	waiter := &waiter{pass: pass, entered: make(chan struct{})}
	g.waiting = append(g.waiting, waiter)
	g.mu.Unlock()
	select {
	case <-waiter.entered:
		return pass, nil
	case <-ctx.Done():
		g.cancel(waiter)
		return nil, Error.New("waiting to run: %w", context.Cause(ctx))
	}
}

// Leave ends the request at the backend server. Only the first call counts.
func (p *Pass) Leave() {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leave(p)
}

// leave needs the lock.
func (g *Gate) leave(pass *Pass) {
	if _, ok := g.inside[pass]; !ok {
		return
	}
	delete(g.inside, pass)
	if pass.alone {
		g.alone = false
	}
	g.next()
}

// hasRoom needs the lock.
func (g *Gate) hasRoom(pass *Pass) bool {
	if pass.alone {
		return len(g.inside) == 0
	}
	return !g.alone
}

// admit needs the lock.
func (g *Gate) admit(pass *Pass) {
	g.inside[pass] = struct{}{}
	g.alone = g.alone || pass.alone
}

// next lets in those who wait, in order. It needs the lock.
func (g *Gate) next() {
	for len(g.waiting) > 0 && g.hasRoom(g.waiting[0].pass) {
		g.admit(g.waiting[0].pass)
		close(g.waiting[0].entered)
		g.waiting = g.waiting[1:]
	}
}

// cancel takes a waiter away, or lets it leave when it was let in meanwhile.
func (g *Gate) cancel(gone *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, waiter := range g.waiting {
		if waiter == gone {
			g.waiting = append(g.waiting[:i:i], g.waiting[i+1:]...)
			g.next()
			return
		}
	}
	g.leave(gone.pass)
}

// Died lists what is in flight, each fingerprint once: the backend server ended,
// so all of it is suspect.
func (g *Gate) Died() []messenger.QuarantineRow {
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := make(map[string]struct{})
	var rows []messenger.QuarantineRow
	for pass := range g.inside {
		if _, ok := seen[pass.row.Fingerprint]; ok {
			continue
		}
		seen[pass.row.Fingerprint] = struct{}{}
		rows = append(rows, pass.row)
	}
	return rows
}
