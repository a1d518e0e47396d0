// Package aggregator aggregates the load of shards and keys for heartbeats. In routed
// mode package sampler aggregates by key range.
//
// # Usage
//
//	tally := aggregator.New()
//	tally.Add("findings", 7, "door-17", 12*time.Millisecond)
//	tally.Report(timer.Now(), &heartbeat)
package aggregator

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

const (
	// MaxLoads and MaxKeys are the maximum numbers of shards and keys in one report.
	MaxLoads = 64
	MaxKeys  = 16
	// maxTrackedKeys is the number of keys tracked at the same time.
	maxTrackedKeys = 128
	// decayTime is the time constant of the exponential decay of the work of keys.
	decayTime = 10 * time.Second
)

// Tally aggregates the work of requests, that is, the time for which they used a slot.
// Its methods are safe for concurrent use.
//
// Keys are tracked by the space-saving algorithm: a new key replaces the one with the
// least work and inherits that work, so the work of a hot key is never
// underestimated.
type Tally struct {
	mu      sync.Mutex
	shards  map[shardID]*messenger.ShardLoad
	keys    map[keyID]time.Duration
	total   time.Duration
	decayed timer.Instant
	// requests and busy are the totals of all shards since the last report.
	requests uint64
	busy     time.Duration
}

type shardID struct {
	service string
	shard   uint32
}

type keyID struct {
	service string
	key     string
}

// New returns an empty Tally.
func New() *Tally {
	return &Tally{
		shards:  make(map[shardID]*messenger.ShardLoad),
		keys:    make(map[keyID]time.Duration),
		decayed: timer.Now(),
	}
}

// Add adds a finished request that used a slot for the time busy.
func (t *Tally) Add(service string, shard uint32, key string, busy time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	load, ok := t.shards[shardID{service, shard}]
	if !ok {
		load = &messenger.ShardLoad{Service: service, Shard: shard}
		t.shards[shardID{service, shard}] = load
	}
	load.Requests++
	load.Busy += busy
	t.requests++
	t.busy += busy
	t.total += busy
	t.addKey(keyID{service, key}, busy)
}

func (t *Tally) addKey(key keyID, busy time.Duration) {
	if _, ok := t.keys[key]; ok || len(t.keys) < maxTrackedKeys {
		t.keys[key] += busy
		return
	}
	evicted, work := key, time.Duration(math.MaxInt64)
	for other, otherWork := range t.keys {
		if otherWork < work || otherWork == work && other.key < evicted.key {
			evicted, work = other, otherWork
		}
	}
	delete(t.keys, evicted)
	t.keys[key] = work + busy
}

// Report sets the load fields of a heartbeat: the busiest shards and the totals of all
// shards since the last report, and the keys with the most decayed work.
func (t *Tally) Report(now timer.Instant, heartbeat *messenger.Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := make([]messenger.ShardLoad, 0, len(t.shards))
	for _, load := range t.shards {
		loads = append(loads, *load)
	}
	clear(t.shards)
	slices.SortFunc(loads, func(a, b messenger.ShardLoad) int {
		return cmp.Or(cmp.Compare(b.Busy, a.Busy), cmp.Compare(a.Shard, b.Shard))
	})
	heartbeat.Loads = loads[:min(len(loads), MaxLoads)]
	heartbeat.Keys = t.hotKeys()
	heartbeat.Requests, heartbeat.Busy = t.requests, t.busy
	t.requests, t.busy = 0, 0
	t.decay(now)
}

// hotKeys returns the keys with the most work. The caller holds mu.
func (t *Tally) hotKeys() []messenger.KeyLoad {
	if t.total == 0 {
		return nil
	}
	keys := make([]messenger.KeyLoad, 0, len(t.keys))
	for key, work := range t.keys {
		share := min(1, float64(work)/float64(t.total))
		keys = append(keys, messenger.KeyLoad{Service: key.service, Key: key.key, Part: share})
	}
	slices.SortFunc(keys, func(a, b messenger.KeyLoad) int {
		return cmp.Or(cmp.Compare(b.Part, a.Part), cmp.Compare(a.Key, b.Key))
	})
	return keys[:min(len(keys), MaxKeys)]
}

// decay applies the exponential decay to the work of keys. The caller holds mu.
func (t *Tally) decay(now timer.Instant) {
	remaining := math.Exp(-float64(now.Since(t.decayed)) / float64(decayTime))
	t.decayed = now
	t.total = time.Duration(float64(t.total) * remaining)
	for key, work := range t.keys {
		work = time.Duration(float64(work) * remaining)
		if work == 0 {
			delete(t.keys, key)
			continue
		}
		t.keys[key] = work
	}
}
