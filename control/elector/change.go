package elector

import (
	"slices"
	"time"

	"marigoldhill/kernel/messenger"
)

// change is a membership change in progress at the leader.
type change struct {
	// id is the proposal ID, or 0 for a change that the leader started itself.
	id uint64
	// joiner is the new member while it catches up, before it becomes a voting
	// member.
	joiner *messenger.Member
	// index is the log index of the group entry, 0 until it is appended.
	index uint64
	// match and offset are the last recorded progress of joiner. The change
	// fails at deadline, which any progress extends.
	match    uint64
	offset   int
	deadline time.Duration
}

// isCatchingUp reports whether name is the joiner of the change.
func (c *change) isCatchingUp(name string) bool {
	return c != nil && c.joiner != nil && c.joiner.Name == name
}

// checkChangeAllowed returns an error if no membership change or leadership
// transfer may start now.
func (e *Elector) checkChangeAllowed() error {
	if !e.Leading() {
		return ErrNotLeader
	}
	if e.change != nil || e.transfer != nil {
		return ErrBusy
	}
	return nil
}

// deferEvent queues an event while a change that the leader started itself is
// in progress, and reports whether it did. No caller requested such a
// change, so other requests wait for its end instead of failing with ErrBusy.
func (e *Elector) deferEvent(event Event) bool {
	if !e.Leading() || e.change == nil || e.change.id != 0 {
		return false
	}
	e.deferred = append(e.deferred, event)
	return true
}

func (e *Elector) addMember(event AddMember) {
	if e.deferEvent(event) {
		return
	}
	err := e.checkChangeAllowed()
	if err == nil && e.group().Has(event.Member.Name) {
		err = ErrInvalidMember
	}
	if err != nil {
		e.rejectProposal(event.ID, err)
		return
	}
	e.change = &change{id: event.ID, joiner: &event.Member, deadline: e.now.Mono + CatchUpTimeout}
	e.peers[event.Member.Name] = newPeer(e.log.last(), e.now)
	e.sendTo(event.Member.Name, e.peers[event.Member.Name], true)
}

func (e *Elector) removeMember(event RemoveMember) {
	if e.deferEvent(event) {
		return
	}
	err := e.checkChangeAllowed()
	if err == nil && (!e.group().Has(event.Name) || event.Name == e.config.Name) {
		err = ErrInvalidMember
	}
	if err == nil && len(e.group().Members) <= e.config.ToleratedLosses+1 {
		err = ErrTooFewMembers
	}
	if err != nil {
		e.rejectProposal(event.ID, err)
		return
	}
	members := slices.DeleteFunc(slices.Clone(e.group().Members), func(m Member) bool {
		return m.Name == event.Name
	})
	e.change = &change{id: event.ID}
	e.appendGroup(Group{Members: members})
}

// appendGroup appends the new group of the current change. It takes effect when
// it is appended, not when it is committed.
func (e *Elector) appendGroup(group Group) {
	e.change.index = e.appendEntry(EntryGroup, encodeGroup(group))
	e.change.joiner = nil
	if e.change.id != 0 {
		e.effects.Proposed = append(e.effects.Proposed, Proposed{ID: e.change.id, Index: e.change.index, Term: e.hardState.Term})
	}
	e.syncPeers()
	e.replicate(false)
}

// advanceChange adds the joiner to the group once it has caught up.
func (e *Elector) advanceChange(name string, incarnation uint64, p *peer) {
	if !e.change.isCatchingUp(name) {
		return
	}
	e.recordCatchUp(p)
	if p.match+maxJoinLagEntries < e.log.last() || p.match < e.snapshotIndex() || p.match == 0 {
		return
	}
	joiner := Member{Member: *e.change.joiner, Incarnation: incarnation}
	e.appendGroup(Group{Members: append(slices.Clone(e.group().Members), joiner)})
}

// recordCatchUp records the progress of the joiner and extends its deadline if
// it has made any.
func (e *Elector) recordCatchUp(p *peer) {
	if p.match > e.change.match || p.offset > e.change.offset {
		e.change.deadline = e.now.Mono + CatchUpTimeout
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

// expireChange aborts the change if the joiner has made no progress until the
// deadline.
func (e *Elector) expireChange() {
	if e.change == nil || e.change.joiner == nil || e.now.Mono < e.change.deadline {
		return
	}
	e.abortAddition(ErrCatchUpTimeout)
}

// abortAddition ends the addition of a joiner that is not in the group yet.
func (e *Elector) abortAddition(reason error) {
	e.rejectProposal(e.change.id, reason)
	e.change = nil
	e.syncPeers()
}

// cancelAddition aborts the addition of a joiner that has not caught up, or that waits for
// the end of another change.
func (e *Elector) cancelAddition(event CancelAddition) {
	e.deferred = slices.DeleteFunc(e.deferred, func(deferred Event) bool {
		addition, ok := deferred.(AddMember)
		if !ok || addition.Member.Name != event.Name {
			return false
		}
		e.rejectProposal(addition.ID, ErrAdditionCanceled)
		return true
	})
	if e.change.isCatchingUp(event.Name) {
		e.abortAddition(ErrAdditionCanceled)
	}
}

// finishChange ends the change once its entry is committed, and handles the
// deferred events.
func (e *Elector) finishChange() {
	if e.change == nil || e.change.index == 0 || e.change.index > e.commit {
		return
	}
	e.change = nil
	e.confirmGroup()
	e.handleDeferred()
}

// confirmGroup appends the newest group once more after a change of members. A log with this
// entry shows that the change was committed.
func (e *Elector) confirmGroup() {
	newest := len(e.groups) - 1
	isConfirmed := newest > 0 && hasSameMembers(e.groups[newest-1].group, e.groups[newest].group)
	if e.groups[newest].index == 0 || isConfirmed || e.checkChangeAllowed() != nil {
		return
	}
	e.change = &change{}
	e.appendGroup(e.groups[newest].group)
}

// handleDeferred handles the deferred events. Those that still may not start
// are rejected.
func (e *Elector) handleDeferred() {
	events := e.deferred
	e.deferred = nil
	for _, event := range events {
		e.handle(event)
	}
}

// recordIncarnations adds newly seen incarnations of members to the replicated
// group, so that a wiped replica is never accepted as the former member.
func (e *Elector) recordIncarnations() {
	if e.checkChangeAllowed() != nil {
		return
	}
	members := slices.Clone(e.group().Members)
	changed := false
	for i, member := range members {
		if member.Incarnation == 0 && e.seenIncarnations[member.Name] != 0 {
			members[i].Incarnation = e.seenIncarnations[member.Name]
			changed = true
		}
	}
	if !changed {
		return
	}
	e.change = &change{}
	e.appendGroup(Group{Members: members})
}
