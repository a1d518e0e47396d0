package locator

import "marigoldhill/kernel/messenger"

// entry is a ShardRow without the name and number that its place in the table
// gives, and with its rare fields apart.
type entry struct {
	owner uint64
	fence uint64
	next  uint64
	rare  *rareFields
	phase messenger.Phase
}

// rareFields are those that only the owner needs.
type rareFields struct {
	survivors      []uint64
	previous       uint64
	last           uint64
	forgottenUntil int64
	forgotten      bool
}

func newEntry(row messenger.ShardRow) entry {
	return entry{
		owner: row.Owner,
		fence: row.Fence,
		next:  row.Next,
		phase: row.Phase,
		rare:  newRareFields(row),
	}
}

func newRareFields(row messenger.ShardRow) *rareFields {
	if len(row.Survivors) == 0 && row.Previous == 0 && row.Last == 0 && row.ForgottenUntil == 0 && !row.Forgotten {
		return nil
	}
	return &rareFields{
		survivors:      row.Survivors,
		previous:       row.Previous,
		last:           row.Last,
		forgotten:      row.Forgotten,
		forgottenUntil: row.ForgottenUntil,
	}
}

// row puts the ShardRow together again.
func (e entry) row(service string, shard uint32) messenger.ShardRow {
	row := messenger.ShardRow{
		Service: service,
		Shard:   shard,
		Phase:   e.phase,
		Owner:   e.owner,
		Fence:   e.fence,
		Next:    e.next,
	}
	if e.rare != nil {
		row.Survivors = e.rare.survivors
		row.Previous = e.rare.previous
		row.Last = e.rare.last
		row.Forgotten = e.rare.forgotten
		row.ForgottenUntil = e.rare.forgottenUntil
	}
	return row
}
