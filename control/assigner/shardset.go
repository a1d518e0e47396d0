package assigner

import (
	"encoding/binary"
	"slices"
)

// ShardSet is a delta-encoded set of shard numbers: the first number, then the
// difference to each following one, as varints. Most shards take one byte.
type ShardSet []byte

// NewShardSet returns the set of shards. It sorts shards in place.
func NewShardSet(shards []uint32) ShardSet {
	slices.Sort(shards)
	var set ShardSet
	last := uint32(0)
	for _, shard := range shards {
		set = binary.AppendUvarint(set, uint64(shard-last))
		last = shard
	}
	return set
}

// Each calls visit for each shard in ascending order until it returns false.
func (s ShardSet) Each(visit func(shard uint32) bool) {
	shard := uint64(0)
	for len(s) > 0 {
		distance, size := binary.Uvarint(s)
		if size <= 0 {
			return
		}
		s = s[size:]
		shard += distance
		if !visit(uint32(shard)) {
			return
		}
	}
}

// Has reports whether the set contains shard.
func (s ShardSet) Has(shard uint32) bool {
	found := false
	s.Each(func(n uint32) bool {
		found = n == shard
		return n < shard
	})
	return found
}

// Len returns the number of shards. It decodes the whole set.
func (s ShardSet) Len() int {
	count := 0
	s.Each(func(uint32) bool {
		count++
		return true
	})
	return count
}
