package assigner

import (
	"slices"
	"sort"

	"marigoldhill/kernel/messenger"
)

// recentShard is one change of a shard.
type recentShard struct {
	revision uint64
	table    *Table
	number   uint32
}

// recentShards keeps the newest changes of shards, so that small deltas need no
// scan of the tables. It is not part of the replicated state.
type recentShards struct {
	// floor is the newest revision of which changes may be missing.
	floor   uint64
	entries []recentShard
}

func (r *recentShards) add(entry recentShard) {
	r.entries = append(r.entries, entry)
	if len(r.entries) <= 2*MaxRecent {
		return
	}
	r.floor = r.entries[MaxRecent-1].revision
	r.entries = slices.Clone(r.entries[MaxRecent:])
}

// reset forgets all changes up to revision floor.
func (r *recentShards) reset(floor uint64) {
	r.floor = floor
	r.entries = nil
}

// after returns the shards that changed after a revision, ordered by the
// revision of their last change; ok is false when some may be missing.
func (r *recentShards) after(from uint64) (changed []changedShard, ok bool) {
	if from < r.floor {
		return nil, false
	}
	first := sort.Search(len(r.entries), func(n int) bool { return r.entries[n].revision > from })
	for _, entry := range r.entries[first:] {
		if entry.table.shards[entry.number].changed == entry.revision {
			changed = append(changed, changedShard(entry))
		}
	}
	return changed, true
}

// maxCached is how many deltas are kept for other routers.
const maxCached = 64

// deltaKey names a delta of the newest revision.
type deltaKey struct {
	from  uint64
	limit int
}

// deltaCache keeps the deltas to the newest revision, since many routers ask
// for the same ones.
type deltaCache struct {
	revision uint64
	deltas   map[deltaKey]*messenger.TableDelta
}

func (c *deltaCache) get(revision, from uint64, limit int) (*messenger.TableDelta, bool) {
	if c.revision != revision {
		return nil, false
	}
	delta, ok := c.deltas[deltaKey{from: from, limit: limit}]
	return delta, ok
}

func (c *deltaCache) put(revision, from uint64, limit int, delta *messenger.TableDelta) {
	if c.revision != revision || len(c.deltas) >= maxCached {
		c.revision = revision
		c.deltas = make(map[deltaKey]*messenger.TableDelta)
	}
	c.deltas[deltaKey{from: from, limit: limit}] = delta
}
