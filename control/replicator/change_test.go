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

func within(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestMemberReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		leader := g.leader()
		for i := range 130 {
			qt.Assert(t, g.propose(leader, fmt.Sprint(i)), qt.IsNil)
		}
		lost := other(g, leader.name)
		g.stop(lost)
		g.start("d", true)
		_, err := leader.replica.RemoveMember(within(t), lost)
		qt.Assert(t, err, qt.IsNil)
		_, err = leader.replica.AddMember(within(t), member("d"))
		qt.Assert(t, err, qt.IsNil)
		_, err = leader.replica.AddMember(within(t), member("d"))
		qt.Check(t, errors.Is(err, replicator.ErrMember), qt.IsTrue, qt.Commentf("got %v", err))

		// A second loss right after: the new member decides.
		g.stop(other(g, leader.name, "d"))
		qt.Assert(t, g.propose(leader, "last"), qt.IsNil)
		g.settle(131)
		qt.Check(t, len(leader.replica.Standing().Members), qt.Equals, 3)
	})
}

// other is a host that is none of those named.
func other(g *group, names ...string) string {
	for _, m := range g.members {
		taken := g.hosts[m.Name] == nil
		for _, name := range names {
			taken = taken || m.Name == name
		}
		if !taken {
			return m.Name
		}
	}
	g.t.Fatal("no other host")
	return ""
}

func TestNewMemberThatDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		leader := g.leader()
		_, err := leader.replica.AddMember(within(t), member("d"))
		qt.Check(t, errors.Is(err, replicator.ErrCatchUp), qt.IsTrue, qt.Commentf("got %v", err))
		qt.Check(t, len(leader.replica.Standing().Members), qt.Equals, 3)
	})
}

func TestTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		leader := g.leader()
		target := other(g, leader.name)
		started := time.Now()
		qt.Assert(t, leader.replica.Transfer(within(t), target), qt.IsNil)
		qt.Check(t, g.leader().name, qt.Equals, target)
		qt.Check(t, time.Since(started) <= 100*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", time.Since(started)))
		_, err := g.hosts[target].replica.RemoveMember(within(t), target)
		qt.Check(t, errors.Is(err, replicator.ErrNotLeader), qt.IsTrue, qt.Commentf("got %v", err))
		next := g.leader(target)
		_, err = next.replica.RemoveMember(within(t), target)
		qt.Check(t, err, qt.IsNil)
		g.stop(target)
	})
}

// TestIsolatedLeader cuts the leader off: what it was asked to do has an unknown
// result, and it gives up its confirmation before another is elected.
func TestIsolatedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		leader := g.leader()
		for name := range g.hosts {
			if name != leader.name {
				g.world.CutBoth(leader.name, name)
			}
		}
		err := g.propose(leader, "lost")
		qt.Check(t, errors.Is(err, replicator.ErrUnknownResult), qt.IsTrue, qt.Commentf("got %v", err))
		qt.Check(t, leader.replica.Standing().Confirmed, qt.IsFalse)
		second := g.leader(leader.name)
		qt.Assert(t, g.propose(second, "kept"), qt.IsNil)
		term := second.replica.Standing().Term
		time.Sleep(time.Minute)
		for name := range g.hosts {
			g.world.HealBoth(leader.name, name)
		}
		g.settle(1)
		qt.Check(t, second.replica.Standing().Term, qt.Equals, term)
		qt.Check(t, g.leader().name, qt.Equals, second.name)
	})
}

func TestFollowerHundredsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		leader := g.leader()
		behind := other(g, leader.name)
		g.stop(behind)
		for i := range 700 {
			qt.Assert(t, g.propose(leader, fmt.Sprint(i)), qt.IsNil)
		}
		g.start(behind, false)
		g.settle(700)
	})
}

func TestWipedReplicaStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		leader := g.leader()
		wiped := other(g, leader.name)
		folder := g.hosts[wiped].folder
		time.Sleep(time.Second)
		g.stop(wiped)
		qt.Assert(t, os.RemoveAll(folder), qt.IsNil)
		h := g.start(wiped, false)
		<-h.replica.Done()
		qt.Check(t, errors.Is(h.replica.Err(), elector.ErrStranger), qt.IsTrue, qt.Commentf("got %v", h.replica.Err()))
	})
}

// brokenFile fails to sync once broken is set.
type brokenFile struct {
	journaler.File
	disk *brokenDisk
}

type brokenDisk struct {
	journaler.OS
	broken bool
}

var errBroken = errors.New("input/output error")

func (d *brokenDisk) Create(path string) (journaler.File, error) {
	file, err := d.OS.Create(path)
	return &brokenFile{File: file, disk: d}, err
}

func (f *brokenFile) Sync() error {
	if f.disk.broken {
		return errBroken
	}
	return f.File.Sync()
}

// TestFailedSyncStopsTheReplica lets a sync of the leader fail: it stops, and
// what it acknowledged is kept by the others.
func TestFailedSyncStopsTheReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "a", "b", "c")
		defer g.stopAll()
		leader := g.leader()
		qt.Assert(t, g.propose(leader, "kept"), qt.IsNil)
		leader.disk.broken = true
		_ = g.propose(leader, "maybe")
		<-leader.replica.Done()
		qt.Check(t, errors.Is(leader.replica.Err(), journaler.ErrWrite), qt.IsTrue)
		err := g.propose(leader, "no")
		qt.Check(t, errors.Is(err, replicator.ErrStopped), qt.IsTrue, qt.Commentf("got %v", err))
		qt.Check(t, leader.replica.Standing().Confirmed, qt.IsFalse)
		second := g.leader(leader.name)
		qt.Check(t, second.ledger.lines[0], qt.Equals, "kept")
	})
}

// TestManyProposersAtOnce has more proposals wait than are taken in one go: each
// is answered.
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
		g.settle(proposers)
	})
}
