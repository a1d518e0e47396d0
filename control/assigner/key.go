package assigner

import (
	"fmt"

	"marigoldhill/kernel/hasher"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
)

// MaxKeys is the maximum number of promoted keys of a service.
const MaxKeys = 1024

// keyReuseDelayMillis is the time in milliseconds before the shard number of a
// demoted key is reused. After it, no router with a valid lease still maps the
// number to the old key.
const keyReuseDelayMillis = 10_000

// promote gives a key a dedicated shard with the owner of its hash shard.
func (s *State) promote(command *Promote) Result {
	t := s.tables[command.Service]
	if t == nil || command.Key == "" || len(t.shardOfKey) >= MaxKeys {
		return void()
	}
	if _, own := t.shardOfKey[command.Key]; own {
		return void()
	}
	base := hasher.Shard(command.Key, t.Service.Shards)
	owner := s.sessions[t.shards[base].owner]
	if owner == nil || t.shards[base].phase != messenger.PhaseOwned || t.recoveries[base].isOpen() {
		return void()
	}
	number := s.addKey(t, command.Key)
	t.shards[number] = shard{recorded: t.shards[base].recorded, since: s.time}
	if pending := t.recoveries[base]; pending != nil {
		t.recoveries[number] = &recovery{ForgottenUntil: pending.ForgottenUntil}
	}
	s.own(t, number, owner, CausePromoted)
	s.event(logger.KeyPromoted, command.Service, fmt.Sprintf("key %q is shard %d", command.Key, number))
	return applied(s.applied, 1)
}

// addKey assigns an unused shard number to a key.
func (s *State) addKey(t *Table, key string) uint32 {
	slot := s.reusableSlot(t)
	if slot < 0 {
		slot = len(t.keySlots)
		t.keySlots = append(t.keySlots, "")
		t.shards = append(t.shards, shard{})
	}
	number := t.Service.Shards + uint32(slot)
	t.keySlots[slot] = key
	t.shardOfKey[key] = number
	t.promotedAt[key] = s.applied
	t.free++
	return number
}

// reusableSlot returns the index of a key slot that has been unused for
// keyReuseDelayMillis, or -1. Key slots are numbered from the end of the hash
// shards.
func (s *State) reusableSlot(t *Table) int {
	for slot, name := range t.keySlots {
		if name == "" && s.time-t.shards[int(t.Service.Shards)+slot].since >= keyReuseDelayMillis {
			return slot
		}
	}
	return -1
}

// demote returns a key to its hash shard if both have the same owner and neither
// has a pending recovery.
func (s *State) demote(command *Demote) Result {
	t := s.tables[command.Service]
	if t == nil || !t.CanDemote(command.Key) {
		return void()
	}
	number := t.shardOfKey[command.Key]
	base := hasher.Shard(command.Key, t.Service.Shards)
	if t.shards[number].recorded {
		t.shards[base].recorded = true
	}
	s.carryForgotten(t, number, base)
	delete(t.recoveries, number)
	s.setShard(t, number, 0, messenger.PhaseFree)
	t.free--
	delete(t.shardOfKey, command.Key)
	delete(t.promotedAt, command.Key)
	t.keySlots[number-t.Service.Shards] = ""
	s.addTombstone(tombstone{Kind: tombstoneKey, Service: command.Service, Name: command.Key, Number: uint64(number)})
	s.event(logger.KeyDemoted, command.Service, fmt.Sprintf("key %q is in shard %d", command.Key, base))
	return applied(s.applied, 1)
}

// CanDemote reports whether a promoted key and its hash shard have the same owner
// and neither has a pending recovery.
func (t *Table) CanDemote(key string) bool {
	number, promoted := t.shardOfKey[key]
	if !promoted {
		return false
	}
	base := hasher.Shard(key, t.Service.Shards)
	from, to := &t.shards[number], &t.shards[base]
	return from.owner == to.owner &&
		from.phase == messenger.PhaseOwned && to.phase == messenger.PhaseOwned &&
		!t.recoveries[number].isOpen() && !t.recoveries[base].isOpen()
}

// carryForgotten transfers the mark that records were forgotten from a key's shard
// to its hash shard.
func (s *State) carryForgotten(t *Table, number, base uint32) {
	from := t.recoveries[number]
	if from == nil || from.ForgottenUntil <= s.time {
		return
	}
	to := t.recoveries[base]
	if to == nil {
		to = &recovery{}
		t.recoveries[base] = to
	}
	to.ForgottenUntil = max(to.ForgottenUntil, from.ForgottenUntil)
	s.markShardChanged(t, base)
}

// PromotedKeys returns the promoted keys, sorted.
func (t *Table) PromotedKeys() []string {
	return sortedKeys(t.shardOfKey)
}
