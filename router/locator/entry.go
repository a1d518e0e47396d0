package locator

import "marigoldhill/kernel/messenger"

// entry is a compact ShardRow. It omits the service name and the shard number, which
// follow from its position in the table, and keeps rarely set fields in a separate
// struct.
type entry struct {
	owner     uint64
	fence     uint64
	next      uint64
	ownerOnly *ownerFields
	phase     messenger.Phase
}

// ownerFields are the fields that only the owner uses. They are rarely set.
type ownerFields struct {
	survivors      []uint64
	previous       uint64
	last           uint64
	forgottenUntil int64
	forgotten      bool
}

func newEntry(row messenger.ShardRow) entry {
	return entry{
		owner:     row.Owner,
		fence:     row.Fence,
		next:      row.Next,
		phase:     row.Phase,
		ownerOnly: newOwnerFields(row),
	}
}

func newOwnerFields(row messenger.ShardRow) *ownerFields {
	if len(row.Survivors) == 0 && row.Previous == 0 && row.Last == 0 && row.ForgottenUntil == 0 && !row.Forgotten {
		return nil
	}
	return &ownerFields{
		survivors:      row.Survivors,
		previous:       row.Previous,
		last:           row.Last,
		forgotten:      row.Forgotten,
		forgottenUntil: row.ForgottenUntil,
	}
}

// row returns the complete ShardRow.
func (e entry) row(service string, shard uint32) messenger.ShardRow {
	row := messenger.ShardRow{
		Service: service,
		Shard:   shard,
		Phase:   e.phase,
		Owner:   e.owner,
		Fence:   e.fence,
		Next:    e.next,
	}
	if e.ownerOnly != nil {
		row.Survivors = e.ownerOnly.survivors
		row.Previous = e.ownerOnly.previous
		row.Last = e.ownerOnly.last
		row.Forgotten = e.ownerOnly.forgotten
		row.ForgottenUntil = e.ownerOnly.forgottenUntil
	}
	return row
}
