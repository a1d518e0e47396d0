// Package drainer gives grants back: of shards that move, of a backend server
// that cannot serve, and of a process that stops.
//
// A grant is given back in two steps. It is sealed, so that no request enters
// under it; and once nothing is in flight under it any more, it is reported as
// released in each heartbeat until the control group has taken it away.
//
// # Usage
//
//	tracker := drainer.NewTracker()
//	drain := drainer.New(tracker)
//	drain.Follow(rows)                      // each new routing table
//	heartbeat.Released = drain.Release(view.State, table.ShardOf)
//
//	ticket := tracker.Enter(ref, key)
//	if ticket == nil { ... }                // refuse with messenger.ReasonMoving
//	defer tracker.Leave(ticket)
package drainer

import (
	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("drainer")

// Drainer decides which grants to give back. Its methods must be called from
// one goroutine.
type Drainer struct {
	tracker *Tracker
	rows    []messenger.ShardRow
	// giving are the grants that were sealed; a seal is never undone.
	giving map[messenger.ShardRef]struct{}
}

// New returns a Drainer that seals grants at tracker.
func New(tracker *Tracker) *Drainer {
	return &Drainer{tracker: tracker, giving: make(map[messenger.ShardRef]struct{})}
}

// Follow takes the rows that the router owns in a new routing table.
func (d *Drainer) Follow(rows []messenger.ShardRow) {
	d.rows = rows
	held := make(map[messenger.ShardRef]struct{}, len(rows))
	for _, row := range rows {
		held[Ref(row)] = struct{}{}
	}
	isHeld := func(ref messenger.ShardRef) bool {
		_, ok := held[ref]
		return ok
	}
	for ref := range d.giving {
		if !isHeld(ref) {
			delete(d.giving, ref)
		}
	}
	d.tracker.Prune(isHeld)
}

// Release seals what is to be given back, for a backend server in state, and
// returns what is free of requests in flight.
func (d *Drainer) Release(state messenger.ServerState, shardOf func(service, key string) uint32) []messenger.ShardRef {
	var due []messenger.ShardRef
	for _, row := range d.rows {
		ref := Ref(row)
		if _, giving := d.giving[ref]; giving || isDue(row, state) {
			d.giving[ref] = struct{}{}
			due = append(due, ref)
		}
	}
	return d.tracker.Seal(due, shardOf)
}

// isDue reports whether a grant is to be given back.
func isDue(row messenger.ShardRow, state messenger.ServerState) bool {
	if row.Phase == messenger.PhaseMoving {
		return true
	}
	switch state {
	case messenger.ServerFrozen, messenger.ServerDown, messenger.ServerAbsent:
		return true
	}
	return false
}

// Ref names the grant of a row.
func Ref(row messenger.ShardRow) messenger.ShardRef {
	return messenger.ShardRef{Service: row.Service, Shard: row.Shard, Fence: row.Fence}
}
