// Package locator holds the routing table of a router.
//
// A [Table] is immutable; [Table.Apply] makes the next one from a delta of the
// control group and shares with it all that did not change. Traffic goroutines
// read the newest through a [Locator] without a lock.
//
// # Usage
//
//	table := locator.Load()
//	place, reason := table.Locate("findings", "door-17")
//	profile := table.Profile(place.Service, "POST", "certificates/new")
//
// A goroutine that waits for an owner takes the channel first and looks then,
// so that it misses no change:
//
//	changed := locator.Changed()
//	place, reason = locator.Load().Locate("findings", "door-17")
//	<-changed
package locator

import (
	"iter"
	"maps"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/hasher"
	"marigoldhill/kernel/messenger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("locator")

// Errors that callers tell apart; the returned ones wrap them.
var (
	// ErrOlder means that a delta ends before the revision of the table.
	ErrOlder = errs.New("delta is older than the table")
	// ErrGap means that a delta starts after the revision of the table.
	ErrGap = errs.New("delta does not follow the table")
)

// Place is where a key is served.
type Place struct {
	Service *messenger.Service
	// Row is the ownership of the key's shard.
	Row messenger.ShardRow
	// Owner is the router that owns it, nil when the shard is free.
	Owner *messenger.SessionRow
}

// Table is one revision of the routing table. It never changes, and neither
// may the rows that its methods return.
type Table struct {
	revision    uint64
	sessions    map[uint64]*messenger.SessionRow
	services    map[string]*division
	profiles    map[string]*messenger.Profile
	quarantines map[string]messenger.QuarantineRow
	suspects    map[string]messenger.QuarantineRow
}

// NewTable returns the empty table of revision 0.
func NewTable() *Table {
	return &Table{
		sessions:    make(map[uint64]*messenger.SessionRow),
		services:    make(map[string]*division),
		profiles:    make(map[string]*messenger.Profile),
		quarantines: make(map[string]messenger.QuarantineRow),
		suspects:    make(map[string]messenger.QuarantineRow),
	}
}

// Revision is the log index up to which the table is complete.
func (t *Table) Revision() uint64 {
	return t.revision
}

// Locate finds the place of a key. The reason is ReasonNone when it has an
// owner that takes new work. With ReasonService the place is empty; with
// ReasonUnowned and ReasonMoving it is filled as far as it is known.
func (t *Table) Locate(service, key string) (Place, messenger.Reason) {
	division, ok := t.services[service]
	if !ok {
		return Place{}, messenger.ReasonService
	}
	row := division.row(division.shardOf(key))
	place := Place{Service: division.service, Row: row}
	if row.Phase == messenger.PhaseFree {
		return place, messenger.ReasonUnowned
	}
	place.Owner = t.sessions[row.Owner]
	switch {
	case place.Owner == nil:
		return place, messenger.ReasonUnowned
	case row.Phase == messenger.PhaseMoving:
		return place, messenger.ReasonMoving
	}
	return place, messenger.ReasonNone
}

// Profile returns the profile for a request of a service. A service whose
// routes name a profile that does not exist gets the strictest one: not
// idempotent and without retries.
func (t *Table) Profile(service *messenger.Service, method, route string) *messenger.Profile {
	division, ok := t.services[service.Name]
	if !ok {
		return fallback()
	}
	profile, ok := t.profiles[division.match(method, route)]
	if !ok {
		return fallback()
	}
	return profile
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *messenger.Service {
	division, ok := t.services[name]
	if !ok {
		return nil
	}
	return division.service
}

// Services iterates over all services.
func (t *Table) Services() iter.Seq[*messenger.Service] {
	return func(yield func(*messenger.Service) bool) {
		for _, division := range t.services {
			if !yield(division.service) {
				return
			}
		}
	}
}

// Session returns an open session by number, or nil.
func (t *Table) Session(number uint64) *messenger.SessionRow {
	return t.sessions[number]
}

// Sessions iterates over all open sessions.
func (t *Table) Sessions() iter.Seq[*messenger.SessionRow] {
	return maps.Values(t.sessions)
}

// Shard returns the ownership of one shard; ok is false for an unknown service.
func (t *Table) Shard(service string, shard uint32) (row messenger.ShardRow, ok bool) {
	division, ok := t.services[service]
	if !ok {
		return messenger.ShardRow{}, false
	}
	return division.row(shard), true
}

// Shards iterates over all shards of a service that were ever granted.
func (t *Table) Shards(service string) iter.Seq[messenger.ShardRow] {
	return func(yield func(messenger.ShardRow) bool) {
		if division, ok := t.services[service]; ok {
			division.each(yield)
		}
	}
}

// ShardOf returns the number of a key's shard: its own one when the key was
// promoted. It is 0 for an unknown service.
func (t *Table) ShardOf(service, key string) uint32 {
	division, ok := t.services[service]
	if !ok {
		return 0
	}
	return division.shardOf(key)
}

// Quarantined reports whether a fingerprint of [hasher.Fingerprint] is
// quarantined.
func (t *Table) Quarantined(fingerprint string) bool {
	_, ok := t.quarantines[fingerprint]
	return ok
}

// Suspected reports whether a fingerprint was in flight at a death of a backend
// server, so that it must run alone.
func (t *Table) Suspected(fingerprint string) bool {
	_, ok := t.suspects[fingerprint]
	return ok
}

// division is one service with its shards.
type division struct {
	service *messenger.Service
	routes  []matcher
	// shards has the hash shards, promoted the others by number.
	shards   pages[entry]
	promoted map[uint32]entry
	keys     map[string]uint32
}

func newDivision(service *messenger.Service) *division {
	return &division{
		service:  service,
		routes:   newMatchers(service.Routes),
		shards:   newPages[entry](int(service.Shards)),
		promoted: make(map[uint32]entry),
		keys:     make(map[string]uint32),
	}
}

func (d *division) shardOf(key string) uint32 {
	if shard, ok := d.keys[key]; ok {
		return shard
	}
	return hasher.Shard(key, d.service.Shards)
}

func (d *division) row(shard uint32) messenger.ShardRow {
	if shard < d.service.Shards {
		return d.shards.get(int(shard)).row(d.service.Name, shard)
	}
	return d.promoted[shard].row(d.service.Name, shard)
}

func (d *division) each(yield func(messenger.ShardRow) bool) {
	for shard := range d.service.Shards {
		entry := d.shards.get(int(shard))
		if entry.fence != 0 && !yield(entry.row(d.service.Name, shard)) {
			return
		}
	}
	for shard, entry := range d.promoted {
		if !yield(entry.row(d.service.Name, shard)) {
			return
		}
	}
}
