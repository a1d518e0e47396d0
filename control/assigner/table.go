package assigner

import (
	"slices"

	"marigoldhill/kernel/hasher"
	"marigoldhill/kernel/messenger"
)

// shard is the ownership of one shard.
type shard struct {
	owner   uint64
	fence   uint64
	changed uint64
	// last is the newest session that owned it.
	last uint64
	// since is in milliseconds: when it got its owner, or since when it has no
	// serving owner.
	since int64
	phase messenger.Phase
	cause Cause
	// used says that an earlier owner may have accepted non-idempotent work.
	used bool
}

// Table is the ownership of the shards of one service. Numbers below
// Service.Shards are hash shards, those from there on promoted keys.
type Table struct {
	Service messenger.Service
	// Revision is the revision of Service.
	Revision uint64

	shards []shard
	// keys has the shard of each promoted key; names has the key of each
	// shard beyond the hash shards, empty when the number is not in use.
	keys  map[string]uint32
	names []string
	// keyed has the revision at which each promoted key was promoted.
	keyed map[string]uint64
	// next has the session that each moving shard goes to.
	next map[uint32]uint64
	// recoveries has the shards whose earlier records are not recovered.
	recoveries map[uint32]*recovery

	// changed is the newest revision of a shard, free counts free shards and
	// moving those that move.
	changed uint64
	free    int
	moving  int

	measures Measures
	// forgets counts the shards whose records were forgotten by the command
	// being applied.
	forgets int
}

func newTable(service messenger.Service) *Table {
	return &Table{
		Service:    service,
		shards:     make([]shard, service.Shards),
		keys:       make(map[string]uint32),
		keyed:      make(map[string]uint64),
		next:       make(map[uint32]uint64),
		recoveries: make(map[uint32]*recovery),
		free:       int(service.Shards),
	}
}

// Table returns the table of a service, or nil.
func (s *State) Table(service string) *Table {
	return s.tables[service]
}

// Tables returns the tables ordered by name.
func (s *State) Tables() []*Table {
	return sortedValues(s.tables)
}

// Size is the number of shards, those of removed keys included.
func (t *Table) Size() uint32 {
	return uint32(len(t.shards))
}

// Free is the number of shards without an owner.
func (t *Table) Free() int {
	return t.free
}

// Moving is the number of shards that are moving.
func (t *Table) Moving() int {
	return t.moving
}

// Changed is the newest revision of a shard.
func (t *Table) Changed() uint64 {
	return t.changed
}

// MoveUnderWay is a planned move that has not ended.
type MoveUnderWay struct {
	Shard uint32
	From  uint64
	To    uint64
}

// EachMove calls visit for each move under way, ordered by shard.
func (t *Table) EachMove(visit func(move MoveUnderWay)) {
	for _, number := range sortedNumbers(t.next) {
		visit(MoveUnderWay{Shard: number, From: t.shards[number].owner, To: t.next[number]})
	}
}

// Keys is the number of promoted keys.
func (t *Table) Keys() int {
	return len(t.keys)
}

// Locate returns the shard of a key, and whether the shard is the key's own.
func (t *Table) Locate(key string) (number uint32, own bool) {
	if number, own = t.keys[key]; own {
		return number, true
	}
	return hasher.Shard(key, t.Service.Shards), false
}

// KeyOf returns the promoted key that a shard belongs to.
func (t *Table) KeyOf(number uint32) (string, bool) {
	if number < t.Service.Shards || number >= t.Size() {
		return "", false
	}
	key := t.names[number-t.Service.Shards]
	return key, key != ""
}

// InUse reports whether a number is a hash shard or a promoted key.
func (t *Table) InUse(number uint32) bool {
	if number < t.Service.Shards {
		return true
	}
	_, ok := t.KeyOf(number)
	return ok
}

// Ownership is the ownership of one shard, as much as placement needs.
type Ownership struct {
	Owner uint64
	Phase messenger.Phase
	// Since is when it got its owner, in milliseconds.
	Since int64
	// Cause says what gave it to its owner.
	Cause Cause
	// Recovering says that its owner has not read the records of earlier owners
	// yet.
	Recovering bool
}

// Ownership returns the ownership of a shard.
func (t *Table) Ownership(number uint32) Ownership {
	cell := &t.shards[number]
	return Ownership{Owner: cell.owner, Phase: cell.phase, Since: cell.since, Cause: cell.cause, Recovering: t.recoveries[number].isOpen()}
}

// FreeShards returns up to limit free shards.
func (t *Table) FreeShards(limit int) []uint32 {
	var free []uint32
	if t.free == 0 {
		return nil
	}
	for number := range t.Size() {
		if t.shards[number].phase != messenger.PhaseFree || !t.InUse(number) {
			continue
		}
		free = append(free, number)
		if len(free) == limit {
			break
		}
	}
	return free
}

// Row returns the ownership of a shard as routers see it.
func (t *Table) Row(number uint32) messenger.ShardRow {
	cell := &t.shards[number]
	row := messenger.ShardRow{
		Service: t.Service.Name,
		Shard:   number,
		Phase:   cell.phase,
		Owner:   cell.owner,
		Fence:   cell.fence,
		Next:    t.next[number],
	}
	if pending := t.recoveries[number]; pending != nil {
		pending.fill(&row)
	}
	return row
}

// setShard changes owner and phase of a shard and keeps the counts.
func (s *State) setShard(t *Table, number uint32, owner uint64, phase messenger.Phase) {
	cell := &t.shards[number]
	s.count(t, cell, -1)
	if !isIdle(cell.phase) || !isIdle(phase) {
		cell.since = s.time
	}
	cell.owner = owner
	cell.phase = phase
	if phase != messenger.PhaseMoving {
		delete(t.next, number)
	}
	s.count(t, cell, 1)
	s.touchShard(t, number)
}

// isIdle reports whether a shard in this phase has no owner that serves new
// requests.
func isIdle(phase messenger.Phase) bool {
	return phase != messenger.PhaseOwned
}

// count adds a shard to the counts of its table and its owner, or takes it out.
func (s *State) count(t *Table, cell *shard, step int) {
	switch cell.phase {
	case messenger.PhaseFree:
		t.free += step
	case messenger.PhaseMoving:
		t.moving += step
	}
	session := s.sessions[cell.owner]
	if session == nil {
		return
	}
	session.Owned += step
	if cell.phase == messenger.PhaseMoving {
		session.Moving += step
	}
}

// touchShard notes that a shard changed at the index being applied.
func (s *State) touchShard(t *Table, number uint32) {
	s.revision = s.applied
	cell := &t.shards[number]
	if cell.changed == s.applied {
		return
	}
	cell.changed = s.applied
	t.changed = s.applied
	s.recent.add(recentShard{revision: s.applied, table: t, number: number})
}

// sortedValues returns the values of a map ordered by their keys.
func sortedValues[V any](values map[string]V) []V {
	sorted := make([]V, 0, len(values))
	for _, name := range sortedKeys(values) {
		sorted = append(sorted, values[name])
	}
	return sorted
}

func sortedKeys[V any](values map[string]V) []string {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
