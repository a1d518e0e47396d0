// Package locator holds the routing table of a router.
//
// A [Table] is immutable. [Table.Apply] builds the next one from a delta of the
// control group; the two share all unchanged parts. Request goroutines read the
// current table through a [Locator] without a lock.
//
// # Usage
//
//	table := locator.Load()
//	place, reason := table.Locate("findings", "door-17")
//	profile := table.Profile(place.Service, "POST", "certificates/new")
//
// A goroutine that waits for an owner must get the channel before the lookup, so that
// it misses no change:
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

// Errors that callers distinguish. Returned errors wrap them.
var (
	// ErrOlder means that a delta or a table is older than the current table.
	ErrOlder = errs.New("revision is older than that of the table")
	// ErrGap means that a delta starts after the revision of the table.
	ErrGap = errs.New("changes before the delta are missing")
)

// Place is the location of a key.
type Place struct {
	Service *messenger.Service
	// Row is the ownership of the key's shard.
	Row messenger.ShardRow
	// Owner is the router that owns the shard, nil if the shard is free.
	Owner *messenger.SessionRow
}

// Table is one revision of the routing table. Neither it nor the rows that its methods
// return may be modified.
type Table struct {
	revision    uint64
	sessions    map[uint64]*messenger.SessionRow
	services    map[string]*serviceTable
	profiles    map[string]*messenger.Profile
	quarantines map[string]messenger.QuarantineRow
	suspects    map[string]messenger.QuarantineRow
	evacuations map[string]messenger.EvacuationRow
}

// NewTable returns an empty table at revision 0.
func NewTable() *Table {
	return &Table{
		sessions:    make(map[uint64]*messenger.SessionRow),
		services:    make(map[string]*serviceTable),
		profiles:    make(map[string]*messenger.Profile),
		quarantines: make(map[string]messenger.QuarantineRow),
		suspects:    make(map[string]messenger.QuarantineRow),
	}
}

// Revision returns the log index up to which the table is complete.
func (t *Table) Revision() uint64 {
	return t.revision
}

// Locate returns the place of a key. The reason is ReasonNone if the key has an owner
// that accepts new work. With ReasonService the place is empty; with ReasonUnowned its
// Owner is nil.
func (t *Table) Locate(service, key string) (Place, messenger.Reason) {
	serviceTable, ok := t.services[service]
	if !ok {
		return Place{}, messenger.ReasonService
	}
	row := serviceTable.row(serviceTable.shardOf(key))
	place := Place{Service: serviceTable.service, Row: row}
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

// Profile returns the profile for a request of a service. If no route matches, or the
// route names a profile that does not exist, it returns the strictest one: not
// idempotent and without retries.
func (t *Table) Profile(service *messenger.Service, method, route string) *messenger.Profile {
	serviceTable, ok := t.services[service.Name]
	if !ok {
		return fallbackProfile()
	}
	profile, ok := t.profiles[serviceTable.profileName(method, route)]
	if !ok {
		return fallbackProfile()
	}
	return profile
}

// Service returns a service by name, nil if it does not exist.
func (t *Table) Service(name string) *messenger.Service {
	serviceTable, ok := t.services[name]
	if !ok {
		return nil
	}
	return serviceTable.service
}

// Services iterates over all services.
func (t *Table) Services() iter.Seq[*messenger.Service] {
	return func(yield func(*messenger.Service) bool) {
		for _, serviceTable := range t.services {
			if !yield(serviceTable.service) {
				return
			}
		}
	}
}

// Session returns an open session by number, nil if it does not exist.
func (t *Table) Session(number uint64) *messenger.SessionRow {
	return t.sessions[number]
}

// Sessions iterates over all open sessions.
func (t *Table) Sessions() iter.Seq[*messenger.SessionRow] {
	return maps.Values(t.sessions)
}

// Shard returns the ownership of one shard; ok is false for an unknown service.
func (t *Table) Shard(service string, shard uint32) (row messenger.ShardRow, ok bool) {
	serviceTable, ok := t.services[service]
	if !ok {
		return messenger.ShardRow{}, false
	}
	return serviceTable.row(shard), true
}

// Shards iterates over all shards of a service that were ever granted.
func (t *Table) Shards(service string) iter.Seq[messenger.ShardRow] {
	return func(yield func(messenger.ShardRow) bool) {
		if serviceTable, ok := t.services[service]; ok {
			serviceTable.forEachShard(yield)
		}
	}
}

// ShardOf returns the number of a key's shard, which for a promoted key is a shard of
// its own. It is 0 for an unknown service.
func (t *Table) ShardOf(service, key string) uint32 {
	serviceTable, ok := t.services[service]
	if !ok {
		return 0
	}
	return serviceTable.shardOf(key)
}

// IsQuarantined reports whether a fingerprint of [hasher.Fingerprint] is
// quarantined.
func (t *Table) IsQuarantined(fingerprint string) bool {
	_, ok := t.quarantines[fingerprint]
	return ok
}

// IsSuspect reports whether a fingerprint was in flight when a backend server
// terminated, so that requests with it must run alone.
func (t *Table) IsSuspect(fingerprint string) bool {
	_, ok := t.suspects[fingerprint]
	return ok
}

// Evacuation returns the evacuation of a failure domain, nil if it is not evacuated.
func (t *Table) Evacuation(domain string) *messenger.EvacuationRow {
	if row, ok := t.evacuations[domain]; ok {
		return &row
	}
	return nil
}

// IsEvacuated reports whether no router takes new work because failure domains are
// evacuated.
func (t *Table) IsEvacuated() bool {
	if len(t.evacuations) == 0 {
		return false
	}
	evacuated := false
	for _, session := range t.sessions {
		if _, ok := t.evacuations[session.Domain]; ok {
			evacuated = true
		} else if !session.Leaving {
			return false
		}
	}
	return evacuated
}

// serviceTable is the part of a table that belongs to one service.
type serviceTable struct {
	service *messenger.Service
	routes  []matcher
	// shards holds the hash shards, promoted the shards of promoted keys by number.
	shards   pages[entry]
	promoted map[uint32]entry
	keys     map[string]uint32
}

func newServiceTable(service *messenger.Service) *serviceTable {
	return &serviceTable{
		service:  service,
		routes:   newMatchers(service.Routes),
		shards:   newPages[entry](int(service.Shards)),
		promoted: make(map[uint32]entry),
		keys:     make(map[string]uint32),
	}
}

func (s *serviceTable) shardOf(key string) uint32 {
	if shard, ok := s.keys[key]; ok {
		return shard
	}
	return hasher.Shard(key, s.service.Shards)
}

func (s *serviceTable) row(shard uint32) messenger.ShardRow {
	if shard < s.service.Shards {
		return s.shards.get(int(shard)).row(s.service.Name, shard)
	}
	return s.promoted[shard].row(s.service.Name, shard)
}

func (s *serviceTable) forEachShard(yield func(messenger.ShardRow) bool) {
	for shard := range s.service.Shards {
		entry := s.shards.get(int(shard))
		if entry.fence != 0 && !yield(entry.row(s.service.Name, shard)) {
			return
		}
	}
	for shard, entry := range s.promoted {
		if !yield(entry.row(s.service.Name, shard)) {
			return
		}
	}
}
