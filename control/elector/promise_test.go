package elector_test

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/elector"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// TestVotesAreWithheld cuts the leader off from one follower while the other
// follower's wall clock is stepped ahead again and again: votes are withheld by
// the monotonic clock, so no rival is elected.
func TestVotesAreWithheld(t *testing.T) {
	s := newSimulation(t, *firstSeed, 3)
	s.run(2 * time.Second)
	leader := s.leader()
	deaf := s.nodes[0]
	if deaf == leader {
		deaf = s.nodes[1]
	}
	s.cut[[2]string{leader.name, deaf.name}] = true
	for range 200 {
		for _, n := range s.nodes {
			if n != leader {
				n.clock.Wall += time.Second
			}
		}
		s.run(20 * time.Millisecond)
	}
	if s.leader() != leader {
		s.fail("%s does not lead any more", leader.name)
	}
}

// TestRestartedReplicaWithholdsItsVote restarts a follower again and again while
// the other one does not hear the leader.
func TestRestartedReplicaWithholdsItsVote(t *testing.T) {
	for i := range uint64(*seeds) {
		s := newSimulation(t, *firstSeed+i, 3)
		s.run(2 * time.Second)
		leader := s.leader()
		var followers []*node
		for _, n := range s.nodes {
			if n != leader {
				followers = append(followers, n)
			}
		}
		s.cut[[2]string{leader.name, followers[0].name}] = true
		for range 40 {
			s.crash(followers[1])
			s.boot(followers[1])
			s.run(time.Duration(50+s.random.IntN(100)) * time.Millisecond)
		}
		if len(s.leaders) > 1 {
			s.fail("a rival was elected: %v", s.leaders)
		}
	}
}

// TestFrozenLeader freezes the leader, with and without its monotonic clock,
// until another is confirmed. When it wakes, before it hears anything, it must
// not hold itself confirmed.
func TestFrozenLeader(t *testing.T) {
	for _, suspended := range []bool{false, true} {
		s := newSimulation(t, *firstSeed, 3)
		s.run(2 * time.Second)
		frozen := s.leader()
		frozen.frozen = s.now + 3*time.Second
		frozen.suspended = suspended
		s.run(3*time.Second - step)
		if s.leader() == nil {
			s.fail("no other leader")
		}
		s.isolate(frozen)
		s.flights = nil
		s.run(100 * time.Millisecond)
	}
}

// TestLateCampaign delivers the leader's request to take over long after the
// transfer was given up.
func TestLateCampaign(t *testing.T) {
	for i := range uint64(*seeds) {
		s := newSimulation(t, *firstSeed+i, 3)
		s.run(2 * time.Second)
		leader := s.leader()
		target := s.nodes[0]
		if target == leader {
			target = s.nodes[1]
		}
		s.hold = func(message elector.Message) bool { return message.Campaign != nil }
		leader.step(elector.Transfer{ID: 1, Name: target.name})
		s.run(time.Duration(500+s.random.IntN(1000)) * time.Millisecond)
		if len(s.held) == 0 {
			s.fail("the target was not asked to take over")
		}
		for _, n := range s.nodes {
			s.cut[[2]string{n.name, leader.name}] = true
		}
		for _, message := range s.held {
			s.flights = append(s.flights, flight{due: s.now, message: message})
		}
		s.run(time.Second)
	}
}

// TestTransferringLeader transfers leadership and then hears nothing: it must not
// hold itself confirmed while the target takes over.
func TestTransferringLeader(t *testing.T) {
	for i := range uint64(*seeds) {
		s := newSimulation(t, *firstSeed+i, 3)
		s.run(2 * time.Second)
		leader := s.leader()
		target := s.nodes[0]
		if target == leader {
			target = s.nodes[1]
		}
		leader.step(elector.Transfer{ID: 1, Name: target.name})
		for _, n := range s.nodes {
			s.cut[[2]string{n.name, leader.name}] = true
		}
		s.run(100 * time.Millisecond)
		if s.leader() != target {
			s.fail("%s did not take over", target.name)
		}
	}
}

// TestLeaderWithoutMajorityStepsDown isolates the leader.
func TestLeaderWithoutMajorityStepsDown(t *testing.T) {
	s := newSimulation(t, *firstSeed, 3)
	s.run(2 * time.Second)
	leader := s.leader()
	s.isolate(leader)
	s.run(messenger.ElectionTimeMax + 2*tickTime)
	if leader.core.View().Role == elector.Leader {
		s.fail("%s still leads", leader.name)
	}
}

// TestSlowDisks elects a leader though each sync takes longer than a candidate
// waits for votes over a fast disk.
func TestSlowDisks(t *testing.T) {
	s := newSimulation(t, *firstSeed, 5)
	for _, n := range s.nodes {
		n.syncTime = 600 * time.Millisecond
	}
	s.run(10 * time.Second)
	if s.leader() == nil {
		s.fail("no leader, terms %v", s.leaders)
	}
}

// TestNoChangeBeforeCommit asks a new leader to remove a member before it has
// committed an entry of its term.
func TestNoChangeBeforeCommit(t *testing.T) {
	s := newSimulation(t, *firstSeed, 3)
	for len(s.leaders) == 0 {
		s.run(step)
	}
	for _, n := range s.nodes {
		if n.core.View().Role != elector.Leader {
			continue
		}
		effects := n.core.Step(n.clock, elector.RemoveMember{ID: 1, Name: "n1"})
		qt.Assert(t, effects.Proposed, qt.HasLen, 1)
		qt.Check(t, errors.Is(effects.Proposed[0].Err, elector.ErrNotLeader), qt.IsTrue)
		qt.Check(t, effects.Append, qt.HasLen, 0)
	}
}

// lone returns the elector of one of three members, which has stored entries.
func lone(entries []elector.Entry, founders elector.Group) *elector.Elector {
	return elector.New(elector.Config{
		Name:        "a",
		Incarnation: 1,
		Rand:        rand.New(rand.NewPCG(1, 1)),
	}, elector.Stored{Hard: elector.HardState{Term: 1}, Founders: founders, Entries: entries}, timer.Instant{})
}

func three() elector.Group {
	group := elector.Founders([]messenger.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	group.Members[1].Incarnation = 5
	return group
}

// TestStrangerIsRefused gives messages under a known name with another
// incarnation.
func TestStrangerIsRefused(t *testing.T) {
	tests := []struct {
		name    string
		message elector.Message
	}{
		{"vote", elector.Message{Vote: &elector.Vote{Term: 9}}},
		{"append", elector.Message{Term: 9, Append: &elector.Append{}}},
		{"vote answer", elector.Message{VoteAnswer: &elector.VoteAnswer{Term: 9, Granted: true}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			core := lone(nil, three())
			test.message.From, test.message.FromIncarnation, test.message.To = "b", 6, "a"
			effects := core.Step(timer.Instant{Mono: time.Minute}, elector.Received{Message: test.message})
			qt.Check(t, effects.Refusals, qt.DeepEquals, []elector.Refusal{elector.RefusalIdentity})
			qt.Assert(t, effects.Before, qt.HasLen, 1)
			qt.Check(t, effects.Before[0].Stranger, qt.IsNotNil)
			qt.Check(t, effects.Save, qt.IsNil)
		})
	}
}

// TestOldSnapshotKeepsTheLog gives a follower a late part of a snapshot that its
// log covers: entries after it were acknowledged and must stay.
func TestOldSnapshotKeepsTheLog(t *testing.T) {
	var entries []elector.Entry
	for index := uint64(1); index <= 9; index++ {
		entries = append(entries, elector.Entry{Index: index, Term: 1, Kind: elector.EntryEmpty})
	}
	core := lone(entries, three())
	effects := core.Step(timer.Instant{}, elector.Received{Message: elector.Message{
		From:            "b",
		FromIncarnation: 5,
		To:              "a",
		Term:            1,
		Chunk:           &elector.Chunk{Index: 4, Term: 1, Group: three()},
	}})
	qt.Check(t, effects.Install, qt.IsFalse)
	qt.Check(t, effects.Committed, qt.HasLen, 4)
	qt.Check(t, core.View().Last, qt.Equals, uint64(9))
}
