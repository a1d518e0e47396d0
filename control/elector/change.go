package elector

import (
	"slices"
	"time"

	"marigoldhill/kernel/messenger"
)

// change is a change of members that is under way at the leader.
type change struct {
	// id is the proposal, or 0 for a change that the leader started itself.
	id uint64
	// joiner is a new member that catches up before it counts.
	joiner *messenger.Member
	// index is the entry of the change, 0 as long as it was not appended.
	index uint64
	// match and deadline bound the time without progress while catching up.
	match    uint64
	offset   int
	deadline time.Duration
}

// catchesUp reports whether name is the new member of a change.
func (c *change) catchesUp(name string) bool {
	return c != nil && c.joiner != nil && c.joiner.Name == name
}

// mayChange reports why no change of the group may start now, or nil.
func (e *Elector) mayChange() error {
	if !e.Leading() {
		return ErrNotLeader
	}
	if e.change != nil || e.transfer != nil {
		return ErrBusy
	}
	return nil
}

// defers keeps an event for the end of a change that the leader started itself,
// since nobody who asks for a change knows of that one.
func (e *Elector) defers(event Event) bool {
	if !e.Leading() || e.change == nil || e.change.id != 0 {
		return false
	}
	e.deferred = append(e.deferred, event)
	return true
}

func (e *Elector) addMember(event AddMember) {
	if e.defers(event) {
		return
	}
	err := e.mayChange()
	if err == nil && e.group().Has(event.Member.Name) {
		err = ErrMember
	}
	if err != nil {
		e.reject(event.ID, err)
		return
	}
	e.change = &change{id: event.ID, joiner: &event.Member, deadline: e.now.Mono + CatchUpTime}
	e.peers[event.Member.Name] = newPeer(e.log.last(), e.now)
	e.sendTo(event.Member.Name, e.peers[event.Member.Name], true)
}

func (e *Elector) removeMember(event RemoveMember) {
	if e.defers(event) {
		return
	}
	err := e.mayChange()
	if err == nil && (!e.group().Has(event.Name) || event.Name == e.config.Name) {
		err = ErrMember
	}
	if err != nil {
		e.reject(event.ID, err)
		return
	}
	members := slices.DeleteFunc(slices.Clone(e.group().Members), func(m Member) bool {
		return m.Name == event.Name
	})
	e.change = &change{id: event.ID}
	e.appendGroup(Group{Members: members})
}

// appendGroup appends the group of the change under way, which is in force at
// once.
func (e *Elector) appendGroup(group Group) {
	e.change.index = e.appendOwn(EntryGroup, encodeGroup(group))
	e.change.joiner = nil
	if e.change.id != 0 {
		e.out.Proposed = append(e.out.Proposed, Proposed{ID: e.change.id, Index: e.change.index, Term: e.hard.Term})
	}
	e.syncPeers()
	e.replicate(false)
}

// advanceChange adds a new member that has caught up.
func (e *Elector) advanceChange(name string, incarnation uint64, p *peer) {
	if !e.change.catchesUp(name) {
		return
	}
	e.notice(p)
	if p.match+caughtUp < e.log.last() || p.match < e.snapshotIndex() || p.match == 0 {
		return
	}
	joiner := Member{Member: *e.change.joiner, Incarnation: incarnation}
	e.appendGroup(Group{Members: append(slices.Clone(e.group().Members), joiner)})
}

// notice extends the time of a new member that makes progress.
func (e *Elector) notice(p *peer) {
	if p.match > e.change.match || p.offset > e.change.offset {
		e.change.deadline = e.now.Mono + CatchUpTime
	}
	e.change.match = p.match
	e.change.offset = p.offset
}

func (e *Elector) snapshotIndex() uint64 {
	if e.snapshot == nil {
		return 0
	}
	return e.snapshot.Index
}

// tickChange gives up a new member that makes no progress.
func (e *Elector) tickChange() {
	if e.change == nil || e.change.joiner == nil || e.now.Mono < e.change.deadline {
		return
	}
	e.reject(e.change.id, ErrCatchUp)
	e.change = nil
	e.syncPeers()
}

// endChange ends a change whose entry is committed, and takes what waited.
func (e *Elector) endChange() {
	if e.change == nil || e.change.index == 0 || e.change.index > e.commit {
		return
	}
	e.change = nil
	e.takeDeferred()
}

// takeDeferred takes the events that waited; those that still may not start are
// rejected.
func (e *Elector) takeDeferred() {
	events := e.deferred
	e.deferred = nil
	for _, event := range events {
		e.take(event)
	}
}

// pinIdentities records the incarnations of members in the log, so that a
// wiped replica is never taken for the one that it was.
func (e *Elector) pinIdentities() {
	if e.mayChange() != nil {
		return
	}
	members := slices.Clone(e.group().Members)
	pinned := false
	for i, member := range members {
		if member.Incarnation == 0 && e.seen[member.Name] != 0 {
			members[i].Incarnation = e.seen[member.Name]
			pinned = true
		}
	}
	if !pinned {
		return
	}
	e.change = &change{}
	e.appendGroup(Group{Members: members})
}
