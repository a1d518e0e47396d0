package assigner

import (
	"slices"
	"sort"

	"marigoldhill/kernel/messenger"
)

// recentShard records one change of a shard.
type recentShard struct {
	revision uint64
	table    *Table
	number   uint32
}

// recentShards holds the most recent shard changes, so that small deltas need no
// scan of the tables. It is not part of the replicated state.
type recentShards struct {
	// minRevision is the lowest revision after which all changes are present.
	minRevision uint64
	entries     []recentShard
}

func (r *recentShards) add(entry recentShard) {
	r.entries = append(r.entries, entry)
	if len(r.entries) <= 2*MaxRecentChanges {
		return
	}
	r.minRevision = r.entries[MaxRecentChanges-1].revision
	r.entries = slices.Clone(r.entries[MaxRecentChanges:])
}

// reset drops all entries. Changes up to minRevision are missing afterwards.
func (r *recentShards) reset(minRevision uint64) {
	r.minRevision = minRevision
	r.entries = nil
}

// after returns the shards that changed after a revision, ordered by the revision
// of their last change; ok is false if some changes may be missing.
func (r *recentShards) after(from uint64) (changed []changedShard, ok bool) {
	if from < r.minRevision {
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

// maxCachedDeltas is the maximum number of deltas in the cache.
const maxCachedDeltas = 64

// deltaKey identifies a delta to the current revision.
type deltaKey struct {
	from  uint64
	limit int
}

// deltaCache caches the deltas to the current revision, since many routers request
// the same ones.
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
	if c.revision != revision || len(c.deltas) >= maxCachedDeltas {
		c.revision = revision
		c.deltas = make(map[deltaKey]*messenger.TableDelta)
	}
	c.deltas[deltaKey{from: from, limit: limit}] = delta
}
