// Package drainer releases the grants of shards that the control group moves, also when
// the router shuts down, and all grants when the backend server cannot serve requests.
//
// A grant is released in two steps. First it is sealed, so that no new request is
// admitted under it. Once no request is in flight under it, it is reported as released
// in each heartbeat until the control group has revoked it.
//
// # Usage
//
//	tracker := drainer.NewTracker()
//	drain := drainer.New(tracker)
//	drain.SetRows(rows)                      // each new routing table
//	heartbeat.Released = drain.Release(view.State, table.ShardOf)
//
//	ticket := tracker.Begin(ref, key)
//	if ticket == nil { ... }                // refuse with messenger.ReasonMoving
//	defer tracker.End(ticket)
package drainer

import (
	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("drainer")

// Drainer decides which grants to release. Its methods must be called from one
// goroutine.
type Drainer struct {
	tracker *Tracker
	rows    []messenger.ShardRow
	// releasing are the sealed grants. A seal is permanent.
	releasing map[messenger.ShardRef]struct{}
}

// New returns a Drainer that seals grants at tracker.
func New(tracker *Tracker) *Drainer {
	return &Drainer{tracker: tracker, releasing: make(map[messenger.ShardRef]struct{})}
}

// SetRows updates the rows that the router owns, after each change of the routing
// table.
func (d *Drainer) SetRows(rows []messenger.ShardRow) {
	d.rows = rows
	owned := make(map[messenger.ShardRef]struct{}, len(rows))
	for _, row := range rows {
		owned[RefOf(row)] = struct{}{}
	}
	owns := func(ref messenger.ShardRef) bool {
		_, ok := owned[ref]
		return ok
	}
	for ref := range d.releasing {
		if !owns(ref) {
			delete(d.releasing, ref)
		}
	}
	d.tracker.Prune(owns)
}

// Release seals the grants that must be released, given the state of the backend
// server, and returns those with no request in flight.
func (d *Drainer) Release(state messenger.ServerState, shardOf func(service, key string) uint32) []messenger.ShardRef {
	var due []messenger.ShardRef
	for _, row := range d.rows {
		ref := RefOf(row)
		if _, releasing := d.releasing[ref]; releasing || mustRelease(row, state) {
			d.releasing[ref] = struct{}{}
			due = append(due, ref)
		}
	}
	return d.tracker.Seal(due, shardOf)
}

// mustRelease reports whether a grant must be released.
func mustRelease(row messenger.ShardRow, state messenger.ServerState) bool {
	if row.Phase == messenger.PhaseMoving {
		return true
	}
	switch state {
	case messenger.ServerFrozen, messenger.ServerDown, messenger.ServerAbsent:
		return true
	}
	return false
}

// RefOf returns the reference to the grant of a row.
func RefOf(row messenger.ShardRow) messenger.ShardRef {
	return messenger.ShardRef{Service: row.Service, Shard: row.Shard, Fence: row.Fence}
}
