package responder

import (
	"sync"

	"marigoldhill/kernel/messenger"
)

// shardKey identifies a shard of a service.
type shardKey struct {
	service string
	shard   uint32
}

// fences holds the highest fencing token seen for each shard.
type fences struct {
	mutex   sync.Mutex
	highest map[shardKey]uint64
}

func newFences() *fences {
	return &fences{highest: make(map[shardKey]uint64)}
}

// update records the fences of granted or revoked shards.
func (f *fences) update(list messenger.ShardList) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, shard := range list.Shards {
		key := shardKey{service: shard.Service, shard: shard.Shard}
		f.highest[key] = max(f.highest[key], shard.Fence)
	}
}

// accept reports whether fence is at least the highest seen for its shard, and
// records it if so.
func (f *fences) accept(key shardKey, fence uint64) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if fence < f.highest[key] {
		return false
	}
	f.highest[key] = fence
	return true
}
