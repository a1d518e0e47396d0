package journaler

import "marigoldhill/control/elector"

// replay applies the records of a log and reconciles the entries with the
// snapshot.
func replay(records []Record, stored *Stored) error {
	for _, record := range records {
		if record.Save != nil {
			stored.Hard = *record.Save
		}
		entries, err := appendEntries(stored.Entries, record.Entries)
		if err != nil {
			return err
		}
		stored.Entries = entries
	}
	return reconcileSnapshot(stored)
}

// appendEntries appends entries one by one. Each replaces the existing entries
// at its index and after it.
func appendEntries(entries, added []elector.Entry) ([]elector.Entry, error) {
	for _, entry := range added {
		if len(entries) == 0 {
			entries = append(entries, entry)
			continue
		}
		first, next := entries[0].Index, entries[0].Index+uint64(len(entries))
		if entry.Index < first || entry.Index > next {
			return nil, Error.New("%w: entry %d after entry %d", ErrCorrupt, entry.Index, next-1)
		}
		entries = append(entries[:entry.Index-first], entry)
	}
	return entries, nil
}

// reconcileSnapshot checks that no entries are missing between the snapshot and
// the log. It drops entries that were replaced by a snapshot from the leader, which
// are left if a crash came before the new log file was created.
func reconcileSnapshot(stored *Stored) error {
	if len(stored.Entries) == 0 {
		return nil
	}
	first := stored.Entries[0].Index
	if stored.Snapshot == nil {
		if first != 1 {
			return Error.New("%w: no snapshot, and the log starts with entry %d", ErrCorrupt, first)
		}
		return nil
	}
	base := stored.Snapshot.Index
	if first > base+1 {
		return Error.New("%w: entries %d to %d are missing", ErrCorrupt, base+1, first-1)
	}
	last := first + uint64(len(stored.Entries)) - 1
	if first == base+1 {
		return nil
	}
	if last < base || stored.Entries[base-first].Term != stored.Snapshot.Term {
		stored.Entries = nil
	}
	return nil
}
