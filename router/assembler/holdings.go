package assembler

import (
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/locator"
)

// holdings are the rows of the routing table that one session owns. They follow
// the changes, so that a small one costs little in a large table.
type holdings struct {
	session uint64
	rows    map[shard]messenger.ShardRow
	// listed is the same as a list, nil when it must be made anew.
	listed []messenger.ShardRow
}

// shard names a shard.
type shard struct {
	service string
	number  uint32
}

// apply brings the holdings of a session up to a table that a delta led to. It
// reports whether they changed.
func (h *holdings) apply(session uint64, table *locator.Table, delta *messenger.TableDelta) bool {
	if session != h.session || delta.Full || len(delta.GoneServices) > 0 {
		h.load(session, table)
		return true
	}
	changed := false
	for _, row := range delta.Shards {
		changed = h.set(row) || changed
	}
	if changed {
		h.listed = nil
	}
	return changed
}

// load reads the whole table.
func (h *holdings) load(session uint64, table *locator.Table) {
	*h = holdings{session: session, rows: make(map[shard]messenger.ShardRow)}
	for service := range table.Services() {
		for row := range table.Shards(service.Name) {
			h.set(row)
		}
	}
}

// set takes one row and reports whether it is, or was, one of the session.
func (h *holdings) set(row messenger.ShardRow) bool {
	place := shard{row.Service, row.Shard}
	if row.Owner == h.session && row.Phase != messenger.PhaseFree {
		h.rows[place] = row
		return true
	}
	_, held := h.rows[place]
	delete(h.rows, place)
	return held
}

// list returns the rows; they must not be changed.
func (h *holdings) list() []messenger.ShardRow {
	if h.listed == nil {
		h.listed = make([]messenger.ShardRow, 0, len(h.rows))
		for _, row := range h.rows {
			h.listed = append(h.listed, row)
		}
	}
	return h.listed
}
