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
	held    map[shardKey]bool
}

func newFences() *fences {
	return &fences{highest: make(map[shardKey]uint64), held: make(map[shardKey]bool)}
}

// grant takes in the fences of granted shards.
func (f *fences) grant(list messenger.ShardList) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, shard := range list.Shards {
		key := shardKey{service: shard.Service, shard: shard.Shard}
		f.highest[key] = max(f.highest[key], shard.Fence)
		f.held[key] = true
	}
}

// revoke drops shards from those held; their fences stay known.
func (f *fences) revoke(list messenger.ShardList) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, shard := range list.Shards {
		key := shardKey{service: shard.Service, shard: shard.Shard}
		f.highest[key] = max(f.highest[key], shard.Fence)
		delete(f.held, key)
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
