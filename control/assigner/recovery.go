package assigner

import (
	"slices"

	"marigoldhill/kernel/messenger"
)

// recovery says where the records of the earlier owners of a shard are, until
// its owner holds them all.
type recovery struct {
	// Last is the session whose records the survivors hold.
	Last uint64
	// Survivors hold the records after a loss.
	Survivors []uint64
	// Previous holds the records after a planned move.
	Previous uint64
	// ForgottenUntil is set when all holders were lost.
	ForgottenUntil int64
}

// fill writes the recovery into the row for routers.
func (r *recovery) fill(row *messenger.ShardRow) {
	row.Last = r.Last
	row.Survivors = r.Survivors
	row.Previous = r.Previous
	row.Forgotten = r.ForgottenUntil != 0
	row.ForgottenUntil = r.ForgottenUntil
}

// isOpen reports whether records are left that an owner has to read.
func (r *recovery) isOpen() bool {
	return r != nil && (len(r.Survivors) > 0 || r.Previous != 0)
}

// keepRecords notes who holds the records of a shard that a living session
// gives back. An owner that had not recovered leaves everything as it was.
func (s *State) keepRecords(t *Table, number uint32, session *Session, planned bool) {
	pending := t.recoveries[number]
	if pending.isOpen() || !s.isUsed(t, number, session) {
		return
	}
	entry := &recovery{Last: session.Row.Session}
	if planned {
		entry.Previous = session.Row.Session
	} else {
		entry.Survivors = append([]uint64{session.Row.Session}, session.Row.Recorders...)
	}
	if pending != nil {
		entry.ForgottenUntil = pending.ForgottenUntil
	}
	t.recoveries[number] = entry
}

// inheritRecords notes who holds the records of a shard whose owner is closed.
// Its recorders were cleaned of closed sessions before.
func (s *State) inheritRecords(t *Table, number uint32, session *Session) {
	pending := t.recoveries[number]
	if pending.isOpen() || !s.isUsed(t, number, session) {
		return
	}
	entry := &recovery{Last: session.Row.Session, Survivors: slices.Clone(session.Row.Recorders)}
	if pending != nil {
		entry.ForgottenUntil = pending.ForgottenUntil
	}
	s.forgetIfLost(t, entry)
	t.recoveries[number] = entry
}

// isUsed reports whether records of a shard may exist, and remembers it.
func (s *State) isUsed(t *Table, number uint32, session *Session) bool {
	cell := &t.shards[number]
	cell.used = cell.used || session.Recording
	return cell.used
}

// forgetIfLost marks records as forgotten when nobody holds them.
func (s *State) forgetIfLost(t *Table, entry *recovery) {
	if len(entry.Survivors) == 0 && entry.Previous == 0 {
		entry.ForgottenUntil = s.time + t.Service.Retention.Milliseconds()
		t.forgets++
	}
}

// dropSurvivors takes closed sessions out of all recoveries of a table.
func (s *State) dropSurvivors(t *Table, closed map[uint64]*Session) {
	for _, number := range sortedNumbers(t.recoveries) {
		entry := t.recoveries[number]
		if !entry.isOpen() || !s.dropFrom(entry, closed) {
			continue
		}
		s.forgetIfLost(t, entry)
		s.touchShard(t, number)
	}
}

// dropFrom takes closed sessions out of one recovery. The recorders of a
// previous owner that is lost hold its records.
func (s *State) dropFrom(entry *recovery, closed map[uint64]*Session) bool {
	before := len(entry.Survivors)
	entry.Survivors = slices.DeleteFunc(slices.Clone(entry.Survivors), func(number uint64) bool {
		return closed[number] != nil
	})
	changed := len(entry.Survivors) != before
	if previous := closed[entry.Previous]; previous != nil {
		entry.Previous = 0
		entry.Survivors = slices.Clone(previous.Row.Recorders)
		changed = true
	}
	return changed
}

// Owns reports whether a session owns a shard under the fence of ref.
func (s *State) Owns(session uint64, ref messenger.ShardRef) bool {
	t := s.tables[ref.Service]
	if t == nil || ref.Shard >= t.Size() {
		return false
	}
	cell := &t.shards[ref.Shard]
	return cell.owner == session && cell.fence == ref.Fence
}

// IsRecovering reports whether a session owns a shard whose earlier records it
// has not read yet.
func (s *State) IsRecovering(session uint64, ref messenger.ShardRef) bool {
	return s.Owns(session, ref) && s.tables[ref.Service].recoveries[ref.Shard].isOpen()
}

// recovered clears what the owner of a shard has read and stored.
func (s *State) recovered(command *Recovered) Result {
	total := 0
	for _, ref := range command.Shards {
		if !s.IsRecovering(command.Session, ref) {
			continue
		}
		t := s.tables[ref.Service]
		s.clearRecovery(t, ref.Shard, t.recoveries[ref.Shard])
		total++
	}
	if total == 0 {
		return void()
	}
	return applied(s.applied, total)
}

// clearRecovery ends a recovery but keeps that older records were forgotten.
func (s *State) clearRecovery(t *Table, number uint32, entry *recovery) {
	if entry.ForgottenUntil > s.time {
		t.recoveries[number] = &recovery{ForgottenUntil: entry.ForgottenUntil}
	} else {
		delete(t.recoveries, number)
	}
	s.touchShard(t, number)
}

func sortedNumbers[V any](values map[uint32]V) []uint32 {
	numbers := make([]uint32, 0, len(values))
	for number := range values {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}
