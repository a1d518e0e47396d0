package journaler

import "marigoldhill/control/elector"

// replay brings the records of a log together with the snapshot.
func replay(records []Record, stored *Stored) error {
	for _, record := range records {
		if record.Save != nil {
			stored.Hard = *record.Save
		}
		entries, err := splice(stored.Entries, record.Entries)
		if err != nil {
			return err
		}
		stored.Entries = entries
	}
	return fit(stored)
}

// splice appends entries one by one; each replaces what stands at its index and
// after.
func splice(entries, added []elector.Entry) ([]elector.Entry, error) {
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

// fit drops entries that a snapshot from the leader replaced before the new log
// file was there, and checks that nothing is missing between the two.
func fit(stored *Stored) error {
	if len(stored.Entries) == 0 {
		return nil
	}
	first := stored.Entries[0].Index
	if stored.Snapshot == nil {
		if first != 1 {
			return Error.New("%w: the log starts with entry %d and there is no snapshot", ErrCorrupt, first)
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
