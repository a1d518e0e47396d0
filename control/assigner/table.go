package assigner

import (
	"slices"

	"marigoldhill/kernel/hasher"
	"marigoldhill/kernel/messenger"
)

// shard is the ownership state of one shard.
type shard struct {
	owner   uint64
	fence   uint64
	changed uint64
	// last is the most recent session that owned it.
	last uint64
	// since is the time in milliseconds at which it got its owner, or from
	// which no owner serves it.
	since int64
	phase messenger.Phase
	cause Cause
	// recorded is set if an earlier owner may have accepted non-idempotent
	// requests, so that records of them may exist.
	recorded bool
}

// Table is the ownership of the shards of one service. Shards with numbers below
// Service.Shards are hash shards; the following ones belong to promoted keys.
type Table struct {
	Service messenger.Service
	// Revision is the revision of Service.
	Revision uint64

	shards []shard
	// shardOfKey maps each promoted key to its shard. keySlots has the key of
	// each shard beyond the hash shards, empty if the number is not in use.
	shardOfKey map[string]uint32
	keySlots   []string
	// promotedAt maps each promoted key to the revision of its promotion.
	promotedAt map[string]uint64
	// next maps each moving shard to its next owner.
	next map[uint32]uint64
	// recoveries maps shards to the recovery of the records of earlier owners.
	recoveries map[uint32]*recovery

	// changed is the highest revision of any shard; free and moving are the
	// numbers of free and of moving shards.
	changed uint64
	free    int
	moving  int

	measures Measures
	// forgottenShards is the number of shards whose records the command being
	// applied marked as forgotten.
	forgottenShards int
}

func newTable(service messenger.Service) *Table {
	return &Table{
		Service:    service,
		shards:     make([]shard, service.Shards),
		shardOfKey: make(map[string]uint32),
		promotedAt: make(map[string]uint64),
		next:       make(map[uint32]uint64),
		recoveries: make(map[uint32]*recovery),
		free:       int(service.Shards),
	}
}

// Table returns the table of a service, or nil.
func (s *State) Table(service string) *Table {
	return s.tables[service]
}

// Tables returns the tables sorted by service name.
func (s *State) Tables() []*Table {
	return sortedValues(s.tables)
}

// Size returns the number of shards, including those of demoted keys.
func (t *Table) Size() uint32 {
	return uint32(len(t.shards))
}

// Free returns the number of shards without an owner.
func (t *Table) Free() int {
	return t.free
}

// Moving returns the number of shards with a planned move in progress.
func (t *Table) Moving() int {
	return t.moving
}

// ChangedRevision returns the highest revision of any shard.
func (t *Table) ChangedRevision() uint64 {
	return t.changed
}

// PendingMove is a planned move in progress.
type PendingMove struct {
	Shard uint32
	From  uint64
	To    uint64
}

// EachPendingMove calls visit for each move in progress, in shard order.
func (t *Table) EachPendingMove(visit func(move PendingMove)) {
	for _, number := range sortedNumbers(t.next) {
		visit(PendingMove{Shard: number, From: t.shards[number].owner, To: t.next[number]})
	}
}

// Keys returns the number of promoted keys.
func (t *Table) Keys() int {
	return len(t.shardOfKey)
}

// Locate returns the shard of a key and whether the key is promoted.
func (t *Table) Locate(key string) (number uint32, promoted bool) {
	if number, promoted = t.shardOfKey[key]; promoted {
		return number, true
	}
	return hasher.Shard(key, t.Service.Shards), false
}

// KeyOf returns the promoted key that a shard belongs to.
func (t *Table) KeyOf(number uint32) (string, bool) {
	if number < t.Service.Shards || number >= t.Size() {
		return "", false
	}
	key := t.keySlots[number-t.Service.Shards]
	return key, key != ""
}

// InUse reports whether a number is that of a hash shard or of a promoted key.
func (t *Table) InUse(number uint32) bool {
	if number < t.Service.Shards {
		return true
	}
	_, ok := t.KeyOf(number)
	return ok
}

// Ownership is the part of a shard's ownership state that placement needs.
type Ownership struct {
	Owner uint64
	Phase messenger.Phase
	// Since is the time in milliseconds at which it got its owner.
	Since int64
	// Cause is the reason why it has its owner.
	Cause Cause
	// Recovering is set if its owner has not yet read the records of earlier
	// owners.
	Recovering bool
}

func (t *Table) Ownership(number uint32) Ownership {
	entry := &t.shards[number]
	return Ownership{Owner: entry.owner, Phase: entry.phase, Since: entry.since, Cause: entry.cause, Recovering: t.recoveries[number].isOpen()}
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

// Row returns the ownership of a shard in the form sent to routers.
func (t *Table) Row(number uint32) messenger.ShardRow {
	entry := &t.shards[number]
	row := messenger.ShardRow{
		Service: t.Service.Name,
		Shard:   number,
		Phase:   entry.phase,
		Owner:   entry.owner,
		Fence:   entry.fence,
		Next:    t.next[number],
	}
	if pending := t.recoveries[number]; pending != nil {
		pending.fill(&row)
	}
	return row
}

// setShard changes the owner and phase of a shard and updates the counts.
func (s *State) setShard(t *Table, number uint32, owner uint64, phase messenger.Phase) {
	entry := &t.shards[number]
	s.count(t, entry, -1)
	if !isUnserved(entry.phase) || !isUnserved(phase) {
		entry.since = s.time
	}
	entry.owner = owner
	entry.phase = phase
	if phase != messenger.PhaseMoving {
		delete(t.next, number)
	}
	s.count(t, entry, 1)
	s.markShardChanged(t, number)
}

// isUnserved reports whether a shard in this phase has no owner that serves new
// requests.
func isUnserved(phase messenger.Phase) bool {
	return phase != messenger.PhaseOwned
}

// count adds step to the counts of the shard's table and owner: 1 to include the
// shard, -1 to exclude it.
func (s *State) count(t *Table, entry *shard, step int) {
	switch entry.phase {
	case messenger.PhaseFree:
		t.free += step
	case messenger.PhaseMoving:
		t.moving += step
	}
	session := s.sessions[entry.owner]
	if session == nil {
		return
	}
	session.Owned += step
	if entry.phase == messenger.PhaseMoving {
		session.Moving += step
	}
}

// markShardChanged records that a shard changed at the log index being applied.
func (s *State) markShardChanged(t *Table, number uint32) {
	s.revision = s.applied
	entry := &t.shards[number]
	if entry.changed == s.applied {
		return
	}
	entry.changed = s.applied
	t.changed = s.applied
	s.recent.add(recentShard{revision: s.applied, table: t, number: number})
}

// sortedValues returns the values of a map sorted by key.
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
