package assigner

import (
	"slices"

	"marigoldhill/kernel/messenger"
)

// tombKind says what was removed.
type tombKind uint8

const (
	tombSession tombKind = iota + 1
	tombKey
	tombProfile
	tombQuarantine
	tombSuspect
)

// tombstone remembers a removal, for deltas.
type tombstone struct {
	Kind     tombKind
	Revision uint64
	Service  string
	Name     string
	Number   uint64
}

// bury notes a removal at the index being applied.
func (s *State) bury(stone tombstone) {
	stone.Revision = s.applied
	s.revision = s.applied
	if dropped, ok := s.tombstones.add(stone); ok {
		s.forgotten = dropped.Revision
	}
}

// Delta returns what changed after revision from, nil when nothing did. It is
// cut after about limit shard rows, between two revisions; then more is true and
// the next delta starts at its To. The delta is shared and must not be changed.
func (s *State) Delta(from uint64, limit int) (delta *messenger.TableDelta, more bool) {
	if from == s.revision {
		return nil, false
	}
	if cached, ok := s.deltas.get(s.revision, from, limit); ok {
		return cached, cached.To != s.revision
	}
	delta = s.buildDelta(from, limit)
	s.deltas.put(s.revision, from, limit, delta)
	return delta, delta.To != s.revision
}

func (s *State) buildDelta(from uint64, limit int) *messenger.TableDelta {
	delta := &messenger.TableDelta{From: from, To: s.revision}
	if from == 0 || from < s.forgotten || from > s.revision {
		delta.Full = true
		delta.From = 0
	}
	s.fillShards(delta, limit)
	s.fillRows(delta)
	if !delta.Full {
		s.fillTombstones(delta)
	}
	return delta
}

// changedShard is a shard row with its revision.
type changedShard struct {
	revision uint64
	table    *Table
	number   uint32
}

func (s *State) fillShards(delta *messenger.TableDelta, limit int) {
	changed, ok := s.recent.after(delta.From)
	if !ok || delta.Full {
		changed = s.scanShards(delta.From)
	}
	if len(changed) > limit {
		changed = cut(changed, limit, s.forgotten)
		delta.To = max(changed[len(changed)-1].revision, s.forgotten)
	}
	delta.Shards = make([]messenger.ShardRow, 0, len(changed))
	for _, entry := range changed {
		delta.Shards = append(delta.Shards, entry.table.Row(entry.number))
	}
}

// scanShards finds the shards that changed after revision from in the tables,
// ordered by revision.
func (s *State) scanShards(from uint64) []changedShard {
	var changed []changedShard
	for _, t := range s.Tables() {
		if t.changed <= from {
			continue
		}
		for number := range t.Size() {
			if revision := t.shards[number].changed; revision > from {
				changed = append(changed, changedShard{revision: revision, table: t, number: number})
			}
		}
	}
	slices.SortStableFunc(changed, func(a, b changedShard) int {
		return int(int64(a.revision) - int64(b.revision))
	})
	return changed
}

// cut keeps at least limit rows, whole revisions only, and all revisions up to
// floor.
func cut(changed []changedShard, limit int, floor uint64) []changedShard {
	end := limit
	for end < len(changed) && (changed[end].revision == changed[end-1].revision || changed[end].revision <= floor) {
		end++
	}
	return changed[:end]
}

// fillRows adds all rows but shards, which are few.
func (s *State) fillRows(delta *messenger.TableDelta) {
	from := delta.From
	for _, session := range s.Sessions() {
		if session.Changed > from {
			delta.Sessions = append(delta.Sessions, session.Row)
		}
	}
	for _, entry := range sortedValues(s.profiles) {
		if entry.Revision > from {
			delta.Profiles = append(delta.Profiles, entry.Value)
		}
	}
	for _, t := range s.Tables() {
		if t.Revision > from {
			delta.Services = append(delta.Services, t.Service)
		}
		for _, key := range sortedKeys(t.keys) {
			if t.keyed[key] > from {
				delta.Keys = append(delta.Keys, messenger.KeyRow{Service: t.Service.Name, Key: key, Shard: t.keys[key]})
			}
		}
	}
	if s.configured > from {
		delta.Configuration = s.configuration
	}
	s.fillRanges(delta)
	delta.Quarantines = rowsAfter(s.quarantines, from)
	delta.Suspects = rowsAfter(s.suspects, from)
}

func rowsAfter(rows map[string]Versioned[messenger.QuarantineRow], from uint64) []messenger.QuarantineRow {
	var after []messenger.QuarantineRow
	for _, entry := range sortedValues(rows) {
		if entry.Revision > from {
			after = append(after, entry.Value)
		}
	}
	return after
}

// fillTombstones adds the removals. A name that is back since is left out.
func (s *State) fillTombstones(delta *messenger.TableDelta) {
	for n := len(s.tombstones.values) - 1; n >= 0; n-- {
		stone := &s.tombstones.values[n]
		if stone.Revision <= delta.From {
			return
		}
		s.addTombstone(delta, stone)
	}
}

func (s *State) addTombstone(delta *messenger.TableDelta, stone *tombstone) {
	switch stone.Kind {
	case tombSession:
		delta.Sessions = append(delta.Sessions, messenger.SessionRow{Session: stone.Number, Gone: true})
	case tombKey:
		if t := s.tables[stone.Service]; t == nil || t.keyed[stone.Name] == 0 {
			row := messenger.KeyRow{Service: stone.Service, Key: stone.Name, Shard: uint32(stone.Number), Gone: true}
			delta.Keys = append(delta.Keys, row)
		}
	case tombProfile:
		if _, back := s.profiles[stone.Name]; !back {
			delta.GoneProfiles = append(delta.GoneProfiles, stone.Name)
		}
	case tombQuarantine:
		if _, back := s.quarantines[stone.Name]; !back {
			delta.Quarantines = append(delta.Quarantines, messenger.QuarantineRow{Fingerprint: stone.Name, Gone: true})
		}
	case tombSuspect:
		if _, back := s.suspects[stone.Name]; !back {
			delta.Suspects = append(delta.Suspects, messenger.QuarantineRow{Fingerprint: stone.Name, Gone: true})
		}
	}
}
