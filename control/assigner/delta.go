package assigner

import (
	"slices"

	"marigoldhill/kernel/messenger"
)

// tombstoneKind is the kind of a removed item.
type tombstoneKind uint8

const (
	tombstoneSession tombstoneKind = iota + 1
	tombstoneKey
	tombstoneProfile
	tombstoneQuarantine
	tombstoneSuspect
	tombstoneEvacuation
)

// tombstone records a removal for deltas.
type tombstone struct {
	Kind     tombstoneKind
	Revision uint64
	Service  string
	Name     string
	Number   uint64
}

// addTombstone records a removal at the log index being applied.
func (s *State) addTombstone(removal tombstone) {
	removal.Revision = s.applied
	s.revision = s.applied
	if dropped, ok := s.tombstones.add(removal); ok {
		s.compactRevision = dropped.Revision
	}
}

// Delta returns the changes after revision from, or nil if there are none. It is
// truncated at a revision boundary after about limit shard rows; then more is
// true and the next delta starts at its To. The delta is shared and must not be
// modified.
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
	delta := &messenger.TableDelta{From: from, To: s.revision, Withdrawals: true}
	if from == 0 || from < s.compactRevision || from > s.revision {
		delta.Full = true
		delta.From = 0
	}
	s.addShards(delta, limit)
	s.addRows(delta)
	if !delta.Full {
		s.addRemovals(delta)
	}
	return delta
}

// changedShard refers to a shard and the revision of its last change.
type changedShard struct {
	revision uint64
	table    *Table
	number   uint32
}

func (s *State) addShards(delta *messenger.TableDelta, limit int) {
	changed, ok := s.recent.after(delta.From)
	if !ok || delta.Full {
		changed = s.scanShards(delta.From)
	}
	if len(changed) > limit {
		changed = truncateAtRevision(changed, limit, s.compactRevision)
		delta.To = max(changed[len(changed)-1].revision, s.compactRevision)
	}
	delta.Shards = make([]messenger.ShardRow, 0, len(changed))
	for _, entry := range changed {
		delta.Shards = append(delta.Shards, entry.table.Row(entry.number))
	}
}

// scanShards scans the tables for shards that changed after revision from,
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

// truncateAtRevision keeps at least limit rows. It ends at a revision boundary and
// keeps all revisions up to minRevision.
func truncateAtRevision(changed []changedShard, limit int, minRevision uint64) []changedShard {
	end := limit
	for end < len(changed) && (changed[end].revision == changed[end-1].revision || changed[end].revision <= minRevision) {
		end++
	}
	return changed[:end]
}

// addRows adds all rows other than shards. There are few of them, so they are not
// truncated.
func (s *State) addRows(delta *messenger.TableDelta) {
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
		for _, key := range sortedKeys(t.shardOfKey) {
			if t.promotedAt[key] > from {
				delta.Keys = append(delta.Keys, messenger.KeyRow{Service: t.Service.Name, Key: key, Shard: t.shardOfKey[key]})
			}
		}
	}
	if s.configured > from {
		delta.Configuration = s.configuration
	}
	s.addRanges(delta)
	s.addEvacuations(delta)
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

// addRemovals adds the removals after the start of the delta, except of names that
// have been added again since.
func (s *State) addRemovals(delta *messenger.TableDelta) {
	for n := len(s.tombstones.values) - 1; n >= 0; n-- {
		removal := &s.tombstones.values[n]
		if removal.Revision <= delta.From {
			return
		}
		s.addRemoval(delta, removal)
	}
}

func (s *State) addRemoval(delta *messenger.TableDelta, removal *tombstone) {
	switch removal.Kind {
	case tombstoneSession:
		delta.Sessions = append(delta.Sessions, messenger.SessionRow{Session: removal.Number, Gone: true})
	case tombstoneKey:
		if t := s.tables[removal.Service]; t == nil || t.promotedAt[removal.Name] == 0 {
			row := messenger.KeyRow{Service: removal.Service, Key: removal.Name, Shard: uint32(removal.Number), Gone: true}
			delta.Keys = append(delta.Keys, row)
		}
	case tombstoneProfile:
		if _, back := s.profiles[removal.Name]; !back {
			delta.GoneProfiles = append(delta.GoneProfiles, removal.Name)
		}
	case tombstoneQuarantine:
		if _, back := s.quarantines[removal.Name]; !back {
			delta.Quarantines = append(delta.Quarantines, messenger.QuarantineRow{Fingerprint: removal.Name, Gone: true})
		}
	case tombstoneSuspect:
		if _, back := s.suspects[removal.Name]; !back {
			delta.Suspects = append(delta.Suspects, messenger.QuarantineRow{Fingerprint: removal.Name, Gone: true})
		}
	case tombstoneEvacuation:
		if _, back := s.evacuations[removal.Name]; !back {
			delta.Evacuations = append(delta.Evacuations, messenger.EvacuationRow{Domain: removal.Name, Gone: true})
		}
	}
}
