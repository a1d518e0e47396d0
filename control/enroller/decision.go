package enroller

import (
	"time"

	"marigoldhill/kernel/messenger"
)

// replaceTime is the silence after which a member may be replaced by a replica
// at another address. It covers a restart and a short freeze; a replacement must
// have caught up a few seconds after it started.
const replaceTime = 3 * time.Second

// Group is the control group as its leader sees it.
type Group struct {
	// Leader is the name of the leader itself.
	Leader  string
	Members []messenger.Member
	// Silence is how long each member has not answered, by name.
	Silence map[string]time.Duration
	// Target is the number of members wanted.
	Target int
}

// Step is the next change of the group for a replica that asks to join.
type Step struct {
	// Enrolled says that it is a member already.
	Enrolled bool
	// Remove names a member that must leave first, or is empty.
	Remove string
	// Add says that it can be added now.
	Add bool
}

// Decide returns the next step for a replica that asks to join.
//
// A member at the address of the joiner has lost its disk, since the joiner is
// another identity; it is removed before the joiner is added, so that the group
// never counts one VM twice. A full group takes a joiner only in place of a
// member that has been silent for long. The group gets smaller by one at a time:
// no second member is removed while it is short of one.
func Decide(group Group, joiner messenger.Member) Step {
	for _, member := range group.Members {
		if member.Name == joiner.Name {
			return Step{Enrolled: true}
		}
	}
	if len(group.Members) < group.Target {
		return Step{Add: true}
	}
	for _, member := range group.Members {
		if member.Address == joiner.Address && member.Name != group.Leader {
			return Step{Remove: member.Name}
		}
	}
	return Step{Remove: longestSilent(group)}
}

// longestSilent is the member that has been silent longest, empty when none has
// been for replaceTime.
func longestSilent(group Group) string {
	name, longest := "", replaceTime
	for _, member := range group.Members {
		if silence := group.Silence[member.Name]; member.Name != group.Leader && silence >= longest {
			name, longest = member.Name, silence
		}
	}
	return name
}

// Endures reports whether what a majority of the members has synced outlives the
// loss of so many disks.
func Endures(members, losses int) bool {
	return members/2+1 > losses
}
