package replicator_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/elector"
	"marigoldhill/control/journaler"
	"marigoldhill/control/replicator"
)

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// TestLostMemberIsReplaced replaces a stopped member by a new one, which must then
// count for the majority.
func TestLostMemberIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		leader := g.leader()
		for i := range 130 {
			qt.Assert(t, g.propose(leader, fmt.Sprint(i)), qt.IsNil)
		}
		lost := otherHost(g, leader.name)
		g.stop(lost)
		g.start("d", true)
		_, err := leader.replica.RemoveMember(testContext(t), lost)
		qt.Assert(t, err, qt.IsNil)
		_, err = leader.replica.AddMember(testContext(t), member("d"))
		qt.Assert(t, err, qt.IsNil)
		_, err = leader.replica.AddMember(testContext(t), member("d"))
		qt.Check(t, errors.Is(err, replicator.ErrInvalidMember), qt.IsTrue, qt.Commentf("got %v", err))

		// Another member fails right afterwards, so the majority depends on the
		// new member.
		g.stop(otherHost(g, leader.name, "d"))
		qt.Assert(t, g.propose(leader, "last"), qt.IsNil)
		g.assertApplied(131)
		qt.Check(t, len(leader.replica.RaftStatus().Members), qt.Equals, 3)
	})
}

// otherHost returns the name of a running host that is not among names.
func otherHost(g *group, names ...string) string {
	for _, m := range g.members {
		excluded := g.hosts[m.Name] == nil
		for _, name := range names {
			excluded = excluded || m.Name == name
		}
		if !excluded {
			return m.Name
		}
	}
	g.t.Fatal("no other host")
	return ""
}

func TestUnreachableMemberIsNotAdded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		leader := g.leader()
		_, err := leader.replica.AddMember(testContext(t), member("d"))
		qt.Check(t, errors.Is(err, replicator.ErrCatchUpTimeout), qt.IsTrue, qt.Commentf("got %v", err))
		qt.Check(t, len(leader.replica.RaftStatus().Members), qt.Equals, 3)
	})
}

// TestLeadershipTransfer checks that the target of a transfer is confirmed within
// 100 ms, and that a leader that is to remove itself transfers leadership first.
func TestLeadershipTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		leader := g.leader()
		target := otherHost(g, leader.name)
		started := time.Now()
		qt.Assert(t, leader.replica.Transfer(testContext(t), target), qt.IsNil)
		qt.Check(t, g.leader().name, qt.Equals, target)
		qt.Check(t, time.Since(started) <= 100*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", time.Since(started)))
		_, err := g.hosts[target].replica.RemoveMember(testContext(t), target)
		qt.Check(t, errors.Is(err, replicator.ErrNotLeader), qt.IsTrue, qt.Commentf("got %v", err))
		next := g.leader(target)
		_, err = next.replica.RemoveMember(testContext(t), target)
		qt.Check(t, err, qt.IsNil)
		g.stop(target)
	})
}

// TestIsolatedLeaderIsNotConfirmed partitions the leader from the other replicas:
// its pending proposal has an unknown result, and it is no longer confirmed before
// another leader is elected.
func TestIsolatedLeaderIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		leader := g.leader()
		for name := range g.hosts {
			if name != leader.name {
				g.network.PartitionBoth(leader.name, name)
			}
		}
		err := g.propose(leader, "lost")
		qt.Check(t, errors.Is(err, replicator.ErrUnknownResult), qt.IsTrue, qt.Commentf("got %v", err))
		qt.Check(t, leader.replica.RaftStatus().Confirmed, qt.IsFalse)
		newLeader := g.leader(leader.name)
		qt.Assert(t, g.propose(newLeader, "kept"), qt.IsNil)
		term := newLeader.replica.RaftStatus().Term
		time.Sleep(time.Minute)
		for name := range g.hosts {
			g.network.HealBoth(leader.name, name)
		}
		g.assertApplied(1)
		qt.Check(t, newLeader.replica.RaftStatus().Term, qt.Equals, term)
		qt.Check(t, g.leader().name, qt.Equals, newLeader.name)
	})
}

func TestLaggingFollowerCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		leader := g.leader()
		behind := otherHost(g, leader.name)
		g.stop(behind)
		for i := range 700 {
			qt.Assert(t, g.propose(leader, fmt.Sprint(i)), qt.IsNil)
		}
		g.start(behind, false)
		g.assertApplied(700)
	})
}

// TestWipedReplicaStops starts a replica whose data directory was emptied. The group
// refuses its new incarnation, and it must stop.
func TestWipedReplicaStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		leader := g.leader()
		wiped := otherHost(g, leader.name)
		directory := g.hosts[wiped].directory
		time.Sleep(time.Second)
		g.stop(wiped)
		qt.Assert(t, os.RemoveAll(directory), qt.IsNil)
		h := g.start(wiped, false)
		<-h.replica.Done()
		qt.Check(t, errors.Is(h.replica.Err(), elector.ErrIncarnationMismatch), qt.IsTrue, qt.Commentf("got %v", h.replica.Err()))
	})
}

// failingFile fails to sync once failSync is set on its disk.
type failingFile struct {
	journaler.File
	disk *failingDisk
}

type failingDisk struct {
	journaler.OSDisk
	failSync bool
}

var errSync = errors.New("input/output error")

func (d *failingDisk) Create(path string) (journaler.File, error) {
	file, err := d.OSDisk.Create(path)
	return &failingFile{File: file, disk: d}, err
}

func (f *failingFile) Sync() error {
	if f.disk.failSync {
		return errSync
	}
	return f.File.Sync()
}

// TestFailedSyncStopsTheReplica makes a sync of the leader fail: the leader stops,
// and the other replicas keep the entries that it acknowledged.
func TestFailedSyncStopsTheReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		leader := g.leader()
		qt.Assert(t, g.propose(leader, "kept"), qt.IsNil)
		leader.disk.failSync = true
		_ = g.propose(leader, "maybe")
		<-leader.replica.Done()
		qt.Check(t, errors.Is(leader.replica.Err(), journaler.ErrWriteFailed), qt.IsTrue)
		err := g.propose(leader, "no")
		qt.Check(t, errors.Is(err, replicator.ErrStopped), qt.IsTrue, qt.Commentf("got %v", err))
		qt.Check(t, leader.replica.RaftStatus().Confirmed, qt.IsFalse)
		newLeader := g.leader(leader.name)
		qt.Check(t, newLeader.logMachine.commands[0], qt.Equals, "kept")
	})
}

// TestManyProposersAtOnce submits more concurrent proposals than fit into a batch
// and checks that each gets a result.
func TestManyProposersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		leader := g.leader()
		const proposers = 3000
		failures := make(chan error, proposers)
		for i := range proposers {
			go func() { failures <- g.propose(leader, fmt.Sprint(i)) }()
		}
		for range proposers {
			qt.Assert(t, <-failures, qt.IsNil)
		}
		g.assertApplied(proposers)
	})
}
