package assigner

import (
	"fmt"

	"marigoldhill/kernel/hasher"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
)

// MaxKeys is how many keys of a service may have shards of their own.
const MaxKeys = 1024

// reuseMillis is how long the number of a key that went back stays out of use,
// in milliseconds: no router with a lease takes it for the old key then.
const reuseMillis = 10_000

// promote gives a key a shard of its own, with the owner that it has.
func (s *State) promote(command *Promote) Result {
	t := s.tables[command.Service]
	if t == nil || command.Key == "" || len(t.keys) >= MaxKeys {
		return void()
	}
	if _, own := t.keys[command.Key]; own {
		return void()
	}
	base := hasher.Shard(command.Key, t.Service.Shards)
	owner := s.sessions[t.shards[base].owner]
	if owner == nil || t.shards[base].phase != messenger.PhaseOwned || t.recoveries[base].isOpen() {
		return void()
	}
	number := s.addKey(t, command.Key)
	t.shards[number] = shard{used: t.shards[base].used, since: s.time}
	if pending := t.recoveries[base]; pending != nil {
		t.recoveries[number] = &recovery{ForgottenUntil: pending.ForgottenUntil}
	}
	s.own(t, number, owner, CausePromoted)
	s.event(logger.KeyPromoted, command.Service, fmt.Sprintf("key %q is shard %d", command.Key, number))
	return applied(s.applied, 1)
}

// addKey gives a key a number that is not in use.
func (s *State) addKey(t *Table, key string) uint32 {
	slot := s.freeSlot(t)
	if slot < 0 {
		slot = len(t.names)
		t.names = append(t.names, "")
		t.shards = append(t.shards, shard{})
	}
	number := t.Service.Shards + uint32(slot)
	t.names[slot] = key
	t.keys[key] = number
	t.keyed[key] = s.applied
	t.free++
	return number
}

// freeSlot returns a number that has not been in use for reuseMillis, counted
// from the hash shards, or -1.
func (s *State) freeSlot(t *Table) int {
	for slot, name := range t.names {
		if name == "" && s.time-t.shards[int(t.Service.Shards)+slot].since >= reuseMillis {
			return slot
		}
	}
	return -1
}

// demote puts a key back into its hash shard, when both have the same owner and
// nothing is to be recovered.
func (s *State) demote(command *Demote) Result {
	t := s.tables[command.Service]
	if t == nil || !t.CanDemote(command.Key) {
		return void()
	}
	number := t.keys[command.Key]
	base := hasher.Shard(command.Key, t.Service.Shards)
	if t.shards[number].used {
		t.shards[base].used = true
	}
	s.mergeForgotten(t, number, base)
	delete(t.recoveries, number)
	s.setShard(t, number, 0, messenger.PhaseFree)
	t.free--
	delete(t.keys, command.Key)
	delete(t.keyed, command.Key)
	t.names[number-t.Service.Shards] = ""
	s.bury(tombstone{Kind: tombKey, Service: command.Service, Name: command.Key, Number: uint64(number)})
	s.event(logger.KeyDemoted, command.Service, fmt.Sprintf("key %q is in shard %d", command.Key, base))
	return applied(s.applied, 1)
}

// CanDemote reports whether a promoted key and its hash shard have the same
// owner, with nothing to be recovered.
func (t *Table) CanDemote(key string) bool {
	number, own := t.keys[key]
	if !own {
		return false
	}
	base := hasher.Shard(key, t.Service.Shards)
	from, to := &t.shards[number], &t.shards[base]
	return from.owner == to.owner &&
		from.phase == messenger.PhaseOwned && to.phase == messenger.PhaseOwned &&
		!t.recoveries[number].isOpen() && !t.recoveries[base].isOpen()
}

// mergeForgotten carries over that records of a key were forgotten.
func (s *State) mergeForgotten(t *Table, number, base uint32) {
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
	s.touchShard(t, base)
}

// PromotedKeys returns the promoted keys in order.
func (t *Table) PromotedKeys() []string {
	return sortedKeys(t.keys)
}
