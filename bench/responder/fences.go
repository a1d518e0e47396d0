package responder

import (
	"sync"

	"marigoldhill/kernel/messenger"
)

// shardKey names a shard.
type shardKey struct {
	service string
	shard   uint32
}

// fences remembers the highest fence seen for each shard.
type fences struct {
	mutex   sync.Mutex
	highest map[shardKey]uint64
}

func newFences() *fences {
	return &fences{highest: make(map[shardKey]uint64)}
}

// learn takes in the fences of shards that are granted or revoked.
func (f *fences) learn(list messenger.ShardList) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, shard := range list.Shards {
		key := shardKey{service: shard.Service, shard: shard.Shard}
		f.highest[key] = max(f.highest[key], shard.Fence)
	}
}

// admit reports whether fence is the newest for its shard, and remembers it.
func (f *fences) admit(key shardKey, fence uint64) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if fence < f.highest[key] {
		return false
	}
	f.highest[key] = fence
	return true
}
