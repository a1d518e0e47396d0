package assigner

import (
	"slices"

	"marigoldhill/kernel/messenger"
)

// recovery lists the holders of the records of a shard's earlier owners, until the
// current owner has stored them all.
type recovery struct {
	// Last is the session whose records the holders have.
	Last uint64
	// Survivors are the sessions that hold the records after a release or the
	// loss of the owner.
	Survivors []uint64
	// Previous is the session that holds the records after a planned move.
	Previous uint64
	// ForgottenUntil is set if all holders were lost: the time in milliseconds
	// until which the retention of the lost records runs.
	ForgottenUntil int64
}

// fill copies the recovery to the row sent to routers.
func (r *recovery) fill(row *messenger.ShardRow) {
	row.Last = r.Last
	row.Survivors = r.Survivors
	row.Previous = r.Previous
	row.Forgotten = r.ForgottenUntil != 0
	row.ForgottenUntil = r.ForgottenUntil
}

// isOpen reports whether the owner still has to read records.
func (r *recovery) isOpen() bool {
	return r != nil && (len(r.Survivors) > 0 || r.Previous != 0)
}

// setHoldersAfterRelease sets the holders of the records of a shard that an open
// session releases. If that session had not finished recovery, the earlier holders
// stay.
func (s *State) setHoldersAfterRelease(t *Table, number uint32, session *Session, planned bool) {
	pending := t.recoveries[number]
	if pending.isOpen() || !s.mayHaveRecords(t, number, session) {
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

// setHoldersAfterLoss sets the holders of the records of a shard whose owner is
// closed. Closed sessions must have been removed from its recorders before.
func (s *State) setHoldersAfterLoss(t *Table, number uint32, session *Session) {
	pending := t.recoveries[number]
	if pending.isOpen() || !s.mayHaveRecords(t, number, session) {
		return
	}
	entry := &recovery{Last: session.Row.Session, Survivors: slices.Clone(session.Row.Recorders)}
	if pending != nil {
		entry.ForgottenUntil = pending.ForgottenUntil
	}
	s.forgetIfUnheld(t, entry)
	t.recoveries[number] = entry
}

// mayHaveRecords reports whether records of a shard may exist, and stores the
// result in the shard.
func (s *State) mayHaveRecords(t *Table, number uint32, session *Session) bool {
	entry := &t.shards[number]
	entry.recorded = entry.recorded || session.Recording
	return entry.recorded
}

// forgetIfUnheld marks records as forgotten if no session holds them.
func (s *State) forgetIfUnheld(t *Table, entry *recovery) {
	if len(entry.Survivors) == 0 && entry.Previous == 0 {
		entry.ForgottenUntil = s.time + t.Service.Retention.Milliseconds()
		t.forgottenShards++
	}
}

// removeClosedHolders removes closed sessions from all recoveries of a table.
func (s *State) removeClosedHolders(t *Table, closed map[uint64]*Session) {
	for _, number := range sortedNumbers(t.recoveries) {
		entry := t.recoveries[number]
		if !entry.isOpen() || !s.removeHolders(entry, closed) {
			continue
		}
		s.forgetIfUnheld(t, entry)
		s.markShardChanged(t, number)
	}
}

// removeHolders removes closed sessions from one recovery and reports whether it
// changed. If the previous owner is closed, its recorders become the survivors,
// since they hold its records.
func (s *State) removeHolders(entry *recovery, closed map[uint64]*Session) bool {
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
	entry := &t.shards[ref.Shard]
	return entry.owner == session && entry.fence == ref.Fence
}

// IsRecovering reports whether a session owns a shard and has not yet read the
// records of its earlier owners.
func (s *State) IsRecovering(session uint64, ref messenger.ShardRef) bool {
	return s.Owns(session, ref) && s.tables[ref.Service].recoveries[ref.Shard].isOpen()
}

// recovered ends the recoveries of shards whose owner has read and stored the
// records.
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

// clearRecovery ends a recovery but keeps the mark that older records were
// forgotten until it expires.
func (s *State) clearRecovery(t *Table, number uint32, entry *recovery) {
	if entry.ForgottenUntil > s.time {
		t.recoveries[number] = &recovery{ForgottenUntil: entry.ForgottenUntil}
	} else {
		delete(t.recoveries, number)
	}
	s.markShardChanged(t, number)
}

func sortedNumbers[V any](values map[uint32]V) []uint32 {
	numbers := make([]uint32, 0, len(values))
	for number := range values {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}
