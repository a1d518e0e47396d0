package enroller

import (
	"slices"
	"time"

	"marigoldhill/kernel/messenger"
)

// replaceAfter is the time without contact after which a member may be replaced
// by a replica at another address. It covers a restart and a short freeze. A
// replacement must have caught up a few seconds after it started.
const replaceAfter = 3 * time.Second

// Group is the state of the control group as seen by its leader.
type Group struct {
	// Leader is the name of the leader itself.
	Leader  string
	Members []messenger.Member
	// SinceContact is the time since the last contact with each member, by name.
	SinceContact map[string]time.Duration
	// Lost are the names of the members that have lost their disks.
	Lost []string
	// TargetSize is the intended number of members, MinSize the number below which none is
	// removed.
	TargetSize, MinSize int
}

func (g *Group) names() []string {
	var names []string
	for _, member := range g.Members {
		names = append(names, member.Name)
	}
	return names
}

// Step is the next membership change for a replica that requests to join.
type Step struct {
	// IsMember is set if the replica is a member already.
	IsMember bool
	// Remove is the name of a member to remove first, or empty.
	Remove string
	// Add is set if the replica can be added now.
	Add bool
}

// NextStep returns the next step for a replica that requests to join.
//
// A member with the joiner's address has lost its disk, since the joiner has
// another identity. All members that have lost their disks are removed before the
// joiner is added, so that the group has recorded the losses before the next one. A
// group of MinSize members adds the joiner first. If the group is full, a joiner at another address can only replace a member
// that has been out of contact for replaceAfter.
func NextStep(group Group, joiner messenger.Member) Step {
	isMember := slices.ContainsFunc(group.Members, func(m messenger.Member) bool { return m.Name == joiner.Name })
	if lost := lostMember(group, joiner); lost != "" && len(group.Members) > group.MinSize {
		return Step{IsMember: isMember, Remove: lost}
	}
	switch {
	case isMember:
		return Step{IsMember: true}
	case len(group.Members) < group.TargetSize:
		return Step{Add: true}
	}
	return Step{Remove: longestUnreachable(group)}
}

// lostMember returns a member that has lost its disk, or an empty name: one that is reported, or whose
// address the joiner or a later member has.
func lostMember(group Group, joiner messenger.Member) string {
	for n, member := range group.Members {
		hasAddress := func(m messenger.Member) bool { return m.Address == member.Address }
		isReplaced := slices.ContainsFunc(group.Members[n+1:], hasAddress) || (hasAddress(joiner) && member.Name != joiner.Name)
		if (isReplaced || slices.Contains(group.Lost, member.Name)) && member.Name != group.Leader {
			return member.Name
		}
	}
	return ""
}

// longestUnreachable returns the member without contact for the longest time,
// or an empty name if none has been out of contact for replaceAfter.
func longestUnreachable(group Group) string {
	name, longest := "", replaceAfter
	for _, member := range group.Members {
		if sinceContact := group.SinceContact[member.Name]; member.Name != group.Leader && sinceContact >= longest {
			name, longest = member.Name, sinceContact
		}
	}
	return name
}

// ToleratesLosses reports whether data synced by a quorum of the members survives the loss of the
// given number of disks. A quorum is more members than that, if there are as many.
func ToleratesLosses(members, losses int) bool {
	return members > losses
}
