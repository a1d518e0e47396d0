package replicator_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/replicator"
)

// A leader that doesn't know that a member runs a version without evacuations would
// accept orders that this member ignores. The version is known from the member's
// messages; a member without messages is not taken for an older one.
func TestLeaderKnowsOutdatedMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t)
		defer g.stopAll()
		for _, name := range []string{"a", "b", "c"} {
			g.members = append(g.members, member(name))
		}
		g.evacuates = map[string]bool{"a": true, "b": true}
		for _, name := range []string{"a", "b", "c"} {
			g.start(name, false)
		}
		if leader := g.leader(); leader.name == "c" {
			qt.Assert(t, leader.replica.TransferAny(t.Context()), qt.IsNil)
		}
		leader := g.leader("c")
		time.Sleep(time.Second)
		outdated := func(progress map[string]replicator.Progress) []string {
			var names []string
			for _, name := range []string{"a", "b", "c"} {
				if progress[name].Outdated {
					names = append(names, name)
				}
			}
			return names
		}
		qt.Check(t, outdated(leader.replica.RaftStatus().Progress), qt.DeepEquals, []string{"c"})
		// The replica is replaced by one of this version.
		g.stop("c")
		g.evacuates["c"] = true
		g.start("c", false)
		time.Sleep(3 * time.Second)
		qt.Check(t, len(outdated(leader.replica.RaftStatus().Progress)), qt.Equals, 0)
	})
}
