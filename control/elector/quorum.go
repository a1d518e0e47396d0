package elector

import (
	"cmp"
	"slices"
	"time"
)

// unconfirmedAge is the age of a confirmation that was never received.
const unconfirmedAge = 24 * time.Hour

// quorumSize returns how many members of a group are a quorum: a majority, and more than the
// number of disks that may be lost, so that an entry outlives them.
func (e *Elector) quorumSize(group Group) int {
	return max(group.Majority(), min(e.config.ToleratedLosses+1, len(group.Members)))
}

// isQuorum reports whether the members for which has returns true are a quorum of a group. If
// some members have lost their disks, but no more than may be lost, all others are a quorum too:
// at least one of them has each entry that a quorum has stored.
func (e *Elector) isQuorum(group Group, has func(name string) bool) bool {
	counted, lost, missing := 0, 0, 0
	for _, member := range group.Members {
		switch {
		case has(member.Name):
			counted++
		case e.hasLostDisk(group, member):
			lost++
		default:
			missing++
		}
	}
	if counted >= e.quorumSize(group) {
		return true
	}
	return counted > 0 && missing == 0 && lost <= e.config.ToleratedLosses && len(group.Members) > e.config.ToleratedLosses
}

// hasLostDisk reports whether a member of a group is known to have lost its disk: a joiner or a
// later member has its address. Members are in the order in which they were added.
func (e *Elector) hasLostDisk(group Group, member Member) bool {
	if e.lost[member.Name] {
		return true
	}
	newest := e.group().Members
	index := slices.IndexFunc(newest, func(m Member) bool { return m.Name == member.Name })
	return slices.ContainsFunc(newest[index+1:], func(m Member) bool {
		isLater := index >= 0 || !group.Has(m.Name)
		return isLater && m.Address != "" && m.Address == member.Address
	})
}

// hasQuorum reports whether the members for which has returns true are a quorum of each group
// in force.
func (e *Elector) hasQuorum(has func(name string) bool) bool {
	for _, group := range e.groupsInForce() {
		if !e.isQuorum(group, has) {
			return false
		}
	}
	return true
}

// groupsInForce returns the newest group and, unless it is known to be committed, the one before
// it. That one is committed: a leader changes a group only after it has committed the last change.
// If no disk may be lost, majorities of successive groups intersect, and the newest group is enough.
func (e *Elector) groupsInForce() []Group {
	newest := len(e.groups) - 1
	if e.config.ToleratedLosses == 0 || newest == 0 || e.groups[newest].index <= e.commit || len(e.groups[newest-1].group.Members) == 0 {
		return []Group{e.groups[newest].group}
	}
	return []Group{e.groups[newest-1].group, e.groups[newest].group}
}

// recordLostDisk records that a member has lost its disk.
func (e *Elector) recordLostDisk(name string) {
	isMember := slices.ContainsFunc(e.groupsInForce(), func(g Group) bool { return g.Has(name) })
	if !isMember || name == e.config.Name {
		return
	}
	e.lost[name] = true
	if e.role == Leader {
		e.advanceCommit()
	}
}

// recordPresence records a message from a member, which has not lost its disk.
func (e *Elector) recordPresence(name string) {
	delete(e.lost, name)
}

// membersInForce returns the members of all groups in force.
func (e *Elector) membersInForce() []Member {
	groups := e.groupsInForce()
	members := slices.Clone(groups[0].Members)
	for _, member := range e.group().Members {
		if !groups[0].Has(member.Name) {
			members = append(members, member)
		}
	}
	return members
}

// isMemberInForce reports whether a group in force has a member.
func (e *Elector) isMemberInForce(name string) bool {
	return slices.ContainsFunc(e.groupsInForce(), func(g Group) bool { return g.Has(name) })
}

// lostMembers returns the members of the newest group that have lost their disks.
func (e *Elector) lostMembers() []string {
	var names []string
	for _, member := range e.group().Members {
		if e.hasLostDisk(e.group(), member) {
			names = append(names, member.Name)
		}
	}
	return names
}

// quorumValue returns the first of the values of the members, in the given order, that a quorum
// has reached, or none if no quorum has a value. Members without a value are left out of values.
func quorumValue[V any](e *Elector, values map[string]V, order func(a, b V) int, none V) V {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(order(values[a], values[b]), cmp.Compare(a, b))
	})
	reached := make(map[string]bool, len(names))
	for _, name := range names {
		reached[name] = true
		if e.hasQuorum(func(name string) bool { return reached[name] }) {
			return values[name]
		}
	}
	return none
}

// hasSameMembers reports whether two groups have the same members.
func hasSameMembers(a, b Group) bool {
	return len(a.Members) == len(b.Members) && !slices.ContainsFunc(a.Members, func(m Member) bool { return !b.Has(m.Name) })
}
