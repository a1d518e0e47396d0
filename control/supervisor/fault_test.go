package supervisor_test

import (
	"fmt"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/assigner"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/profiler"
)

// fault injects a random fault in some of the steps.
func (c *chaos) fault() {
	n := c.nodes[c.random.IntN(len(c.nodes))]
	switch c.random.IntN(160) {
	case 0:
		n.stopped = true
	case 20:
		n.stopped = true
		c.nodes[c.random.IntN(len(c.nodes))].stopped = true
		c.nodes[c.random.IntN(len(c.nodes))].stopped = true
	case 21:
		c.change(assigner.Command{Promote: &assigner.Promote{Service: "findings", Key: c.key()}})
	case 22:
		c.change(assigner.Command{Demote: &assigner.Demote{Service: "findings", Key: c.key()}})
	case 1, 2, 3:
		for _, other := range c.nodes {
			if other.stopped {
				other.stopped = false
				other.reset()
				return
			}
		}
	case 4:
		n.frozenUntil = c.h.now.Add(time.Duration(c.random.IntN(3000)) * time.Millisecond)
	case 5:
		n.router.heartbeat.State = messenger.ServerFrozen
	case 6, 7, 8:
		n.router.heartbeat.State = messenger.ServerReady
	case 9, 10:
		c.change(assigner.Command{Move: &assigner.Move{Service: "findings", Placements: []assigner.Placement{{
			Session: n.session(), Shards: assigner.NewShardSet([]uint32{c.random.Uint32N(chaosShards)}),
		}}}})
	case 11:
		c.change(assigner.Command{Drain: &assigner.Drain{Server: n.router.heartbeat.Server.Name, On: c.random.IntN(2) == 0}})
	case 12:
		c.newLeader()
	case 13:
		c.h.raftStatus.Confirmed = false
	case 14, 15, 16, 17:
		c.h.raftStatus.Confirmed = true
	case 18:
		c.replay()
	case 19:
		c.checkSnapshots()
	case 23, 24:
		c.checkDeltas()
	case 25:
		c.change(assigner.Command{Death: &assigner.Death{Session: n.session(), Rows: []messenger.QuarantineRow{{Fingerprint: c.key()}}}})
	case 26:
		c.change(assigner.Command{Lift: &assigner.Lift{Fingerprint: c.key()}})
	case 27:
		c.changeProfile()
	}
}

func (c *chaos) key() string {
	return fmt.Sprintf("key-%d", c.random.IntN(3))
}

func (c *chaos) change(command assigner.Command) {
	c.counts[string(rune('0'+c.h.propose(command).Verdict))]++
}

// changeProfile creates, changes or removes a profile.
func (c *chaos) changeProfile() {
	profile := profiler.DefaultProfiles()[0]
	profile.Name = c.key()
	profile.Weight = 1 + c.random.IntN(9)
	current, known := c.reference.Profile(profile.Name)
	condition := assigner.Condition{Revision: current.Revision}
	if known && c.random.IntN(2) == 0 {
		c.change(assigner.Command{RemoveProfile: &assigner.RemoveProfile{Condition: condition, Name: profile.Name}})
		return
	}
	c.change(assigner.Command{PutProfile: &assigner.PutProfile{Condition: condition, Profile: profile}})
}

// checkDeltas checks that a table that follows by deltas is equal to a new one,
// also when the state was restored in between.
func (c *chaos) checkDeltas() {
	c.h.commit()
	c.deltaReader.follow(c, c.reference, 1+c.random.IntN(8))
	fresh := newDeltaReader()
	fresh.follow(c, c.restored, 1000)
	qt.Assert(c.h.t, c.deltaReader.revision, qt.Equals, fresh.revision)
	qt.Assert(c.h.t, c.deltaReader.rows, qt.DeepEquals, fresh.rows)
}

// newLeader commits only a prefix of what the old leader proposed, and starts a new
// leader from a snapshot.
func (c *chaos) newLeader() {
	c.h.pending = c.h.pending[:c.random.IntN(len(c.h.pending)+1)]
	c.h.commit()
	snapshot, err := c.h.machine.Snapshot()
	qt.Assert(c.h.t, err, qt.IsNil)
	c.h.machine = supervisor.New(supervisor.Options{Cluster: "test"})
	qt.Assert(c.h.t, c.h.machine.Restore(c.h.index, snapshot), qt.IsNil)
	c.h.raftStatus.Term++
	c.h.raftStatus.Since = c.h.now
	c.h.raftStatus.Confirmed = true
	c.counts["leaders"]++
}

// replay commits an old grant, move or join again, as a leader that was frozen
// might do.
func (c *chaos) replay() {
	for range 20 {
		data := c.log[c.random.IntN(len(c.log))]
		command, err := assigner.Decode(data)
		qt.Assert(c.h.t, err, qt.IsNil)
		if command.Grant != nil || command.Move != nil || command.Join != nil {
			c.h.commit()
			c.h.apply(data)
			c.counts["replays"]++
			return
		}
	}
}

// checkSnapshots checks that a restored replica is equal to one that was never
// restored.
func (c *chaos) checkSnapshots() {
	t := c.h.t
	want, err := c.reference.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	got, err := c.restored.Snapshot()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got) == string(want), qt.IsTrue, qt.Commentf("replicas differ at %d", c.h.index))
	c.restored = assigner.New()
	qt.Assert(t, c.restored.Restore(got), qt.IsNil)
	c.counts["snapshots"]++
}
