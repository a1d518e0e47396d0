// Package isolator runs requests that may crash a backend server separately from
// others.
//
// The requests in flight when a backend server died are suspects; the control group
// distributes them to all routers. A suspect runs exclusively: it waits until no
// other request is in flight at the backend server, and no other starts until it
// ends. If the server dies again, the suspect is the only possible cause, and the
// control group quarantines it.
//
// In routed mode nothing runs exclusively: the control group quarantines a request that
// was in flight at three deaths. What the server has completed lately is no suspect; see
// [Pass.Complete].
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
	"time"

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
	completed *completions
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
	return &Isolator{inFlight: make(map[*Pass]struct{}), completed: newCompletions()}
}

// Enter waits until a request may be sent to the backend server. A suspect waits until
// no other request is in flight.
func (i *Isolator) Enter(ctx context.Context, row messenger.QuarantineRow, suspect bool) (*Pass, error) {
	pass := &Pass{isolation: i, row: row, exclusive: suspect}
	i.mu.Lock()
	if len(i.waiting) == 0 && i.hasRoom(pass) {
		i.admit(pass)
		i.mu.Unlock()
		return pass, nil
	}
	waiter := &waiter{pass: pass, admitted: make(chan struct{})}
	i.waiting = append(i.waiting, waiter)
	i.mu.Unlock()
	select {
	case <-waiter.admitted:
		return pass, nil
	case <-ctx.Done():
		i.cancel(waiter)
		return nil, Error.New("request not admitted to the backend server: %w", context.Cause(ctx))
	}
}

// Leave marks the end of the request at the backend server. Calls after the first have
// no effect.
func (p *Pass) Leave() {
	i := p.isolation
	i.mu.Lock()
	defer i.mu.Unlock()
	i.remove(p)
}

// Complete is like Leave, for a request that the backend server has completed. For some
// time such requests are no suspects, since they can run without harm.
func (p *Pass) Complete() {
	i := p.isolation
	i.mu.Lock()
	defer i.mu.Unlock()
	i.completed.add(time.Now(), p.row.Fingerprint)
	i.remove(p)
}

// remove requires mu to be held.
func (i *Isolator) remove(pass *Pass) {
	if _, ok := i.inFlight[pass]; !ok {
		return
	}
	delete(i.inFlight, pass)
	if pass.exclusive {
		i.exclusive = false
	}
	i.admitWaiting()
}

// hasRoom reports whether pass may be admitted now. It requires mu to be held.
func (i *Isolator) hasRoom(pass *Pass) bool {
	if pass.exclusive {
		return len(i.inFlight) == 0
	}
	return !i.exclusive
}

// admit requires mu to be held.
func (i *Isolator) admit(pass *Pass) {
	i.inFlight[pass] = struct{}{}
	i.exclusive = i.exclusive || pass.exclusive
}

// admitWaiting admits waiting requests in order. It requires mu to be held.
func (i *Isolator) admitWaiting() {
	for len(i.waiting) > 0 && i.hasRoom(i.waiting[0].pass) {
		i.admit(i.waiting[0].pass)
		close(i.waiting[0].admitted)
		i.waiting = i.waiting[1:]
	}
}

// cancel removes a waiter, or its pass if it was admitted in the meantime.
func (i *Isolator) cancel(canceled *waiter) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for n, waiter := range i.waiting {
		if waiter == canceled {
			i.waiting = append(i.waiting[:n:n], i.waiting[n+1:]...)
			i.admitWaiting()
			return
		}
	}
	i.remove(canceled.pass)
}

// InFlight returns the requests in flight, each fingerprint once, without those that have
// none or were completed lately. When the backend server has died, all of them are suspects.
func (i *Isolator) InFlight() []messenger.QuarantineRow {
	i.mu.Lock()
	defer i.mu.Unlock()
	seen := make(map[string]struct{})
	now := time.Now()
	var rows []messenger.QuarantineRow
	for pass := range i.inFlight {
		if _, ok := seen[pass.row.Fingerprint]; ok || pass.row.Fingerprint == "" || i.completed.contains(now, pass.row.Fingerprint) {
			continue
		}
		seen[pass.row.Fingerprint] = struct{}{}
		rows = append(rows, pass.row)
	}
	return rows
}
