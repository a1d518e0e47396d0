// Package tallier adds up the work of shards and keys for heartbeats.
//
// # Usage
//
//	tally := tallier.New()
//	tally.Add("findings", 7, "door-17", 12*time.Millisecond)
//	tally.Report(timer.Now(), &heartbeat)
package tallier

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
	// MaxLoads and MaxKeys are the most shards and keys in one report.
	MaxLoads = 64
	MaxKeys  = 16
	// tracked is how many keys are tracked at once.
	tracked = 128
	// window is the time constant over which the work of keys fades.
	window = 10 * time.Second
)

// Tally adds up work. Its methods are safe for concurrent use.
//
// Keys are tracked by the space-saving algorithm: a new key takes the place of
// the one with the least work and inherits that, so the work of a hot key is
// never underestimated.
type Tally struct {
	mu     sync.Mutex
	shards map[place]*messenger.ShardLoad
	keys   map[name]time.Duration
	total  time.Duration
	faded  timer.Instant
	// requests and busy sum up the work of all shards since the last report.
	requests uint64
	busy     time.Duration
}

type place struct {
	service string
	shard   uint32
}

type name struct {
	service string
	key     string
}

// New returns an empty Tally.
func New() *Tally {
	return &Tally{
		shards: make(map[place]*messenger.ShardLoad),
		keys:   make(map[name]time.Duration),
		faded:  timer.Now(),
	}
}

// Add adds a finished request that took busy of a slot.
func (t *Tally) Add(service string, shard uint32, key string, busy time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	load, ok := t.shards[place{service, shard}]
	if !ok {
		load = &messenger.ShardLoad{Service: service, Shard: shard}
		t.shards[place{service, shard}] = load
	}
	load.Requests++
	load.Busy += busy
	t.requests++
	t.busy += busy
	t.total += busy
	t.addKey(name{service, key}, busy)
}

func (t *Tally) addKey(key name, busy time.Duration) {
	if _, ok := t.keys[key]; ok || len(t.keys) < tracked {
		t.keys[key] += busy
		return
	}
	least, work := key, time.Duration(math.MaxInt64)
	for other, have := range t.keys {
		if have < work || have == work && other.key < least.key {
			least, work = other, have
		}
	}
	delete(t.keys, least)
	t.keys[key] = work + busy
}

// Report fills in the work of a heartbeat: the busiest shards and the sum of all
// since the last report, and the keys with the most work in the window.
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
	heartbeat.Keys = t.hottest()
	heartbeat.Requests, heartbeat.Busy = t.requests, t.busy
	t.requests, t.busy = 0, 0
	t.fade(now)
}

// hottest lists the keys with the most work. It needs the lock.
func (t *Tally) hottest() []messenger.KeyLoad {
	if t.total == 0 {
		return nil
	}
	keys := make([]messenger.KeyLoad, 0, len(t.keys))
	for key, work := range t.keys {
		part := min(1, float64(work)/float64(t.total))
		keys = append(keys, messenger.KeyLoad{Service: key.service, Key: key.key, Part: part})
	}
	slices.SortFunc(keys, func(a, b messenger.KeyLoad) int {
		return cmp.Or(cmp.Compare(b.Part, a.Part), cmp.Compare(a.Key, b.Key))
	})
	return keys[:min(len(keys), MaxKeys)]
}

// fade lets old work count less. It needs the lock.
func (t *Tally) fade(now timer.Instant) {
	left := math.Exp(-float64(now.Since(t.faded)) / float64(window))
	t.faded = now
	t.total = time.Duration(float64(t.total) * left)
	for key, work := range t.keys {
		work = time.Duration(float64(work) * left)
		if work == 0 {
			delete(t.keys, key)
			continue
		}
		t.keys[key] = work
	}
}
