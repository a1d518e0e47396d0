package assembler

import (
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/locator"
)

// ownedShards holds the rows of the routing table that a session owns. It is updated
// from deltas, so that a small change is cheap in a large table.
type ownedShards struct {
	session uint64
	rows    map[shardID]messenger.ShardRow
	// cached is the result of list, nil when it must be rebuilt.
	cached []messenger.ShardRow
}

// shardID identifies a shard.
type shardID struct {
	service string
	number  uint32
}

// apply updates the rows after delta was applied to table. It reports whether they
// changed.
func (o *ownedShards) apply(session uint64, table *locator.Table, delta *messenger.TableDelta) bool {
	if session != o.session || delta.Full || len(delta.GoneServices) > 0 {
		o.load(session, table)
		return true
	}
	changed := false
	for _, row := range delta.Shards {
		changed = o.update(row) || changed
	}
	if changed {
		o.cached = nil
	}
	return changed
}

// load rebuilds the rows from the whole table.
func (o *ownedShards) load(session uint64, table *locator.Table) {
	*o = ownedShards{session: session, rows: make(map[shardID]messenger.ShardRow)}
	for service := range table.Services() {
		for row := range table.Shards(service.Name) {
			o.update(row)
		}
	}
}

// update applies one row and reports whether the session owns it or did so before.
func (o *ownedShards) update(row messenger.ShardRow) bool {
	id := shardID{row.Service, row.Shard}
	if row.Owner == o.session && row.Phase != messenger.PhaseFree {
		o.rows[id] = row
		return true
	}
	_, owned := o.rows[id]
	delete(o.rows, id)
	return owned
}

// list returns the rows. The result must not be modified.
func (o *ownedShards) list() []messenger.ShardRow {
	if o.cached == nil {
		o.cached = make([]messenger.ShardRow, 0, len(o.rows))
		for _, row := range o.rows {
			o.cached = append(o.cached, row)
		}
	}
	return o.cached
}
