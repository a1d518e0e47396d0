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

// TestVotesAreWithheld cuts the traffic from the leader to one follower while
// the wall clocks of the followers are stepped forward repeatedly. Votes are
// withheld by the monotonic clock, so no other leader is elected.
func TestVotesAreWithheld(t *testing.T) {
	s := newSimulation(t, *firstSeed, 3)
	s.run(2 * time.Second)
	leader := s.leader()
	unreachable := s.nodes[0]
	if unreachable == leader {
		unreachable = s.nodes[1]
	}
	s.cutLinks[[2]string{leader.name, unreachable.name}] = true
	for range 200 {
		for _, n := range s.nodes {
			if n != leader {
				n.clock.Wall += time.Second
			}
		}
		s.run(20 * time.Millisecond)
	}
	if s.leader() != leader {
		s.fail("%s is no longer the confirmed leader", leader.name)
	}
}

// TestRestartedReplicaWithholdsItsVote restarts a follower repeatedly while the
// other one receives nothing from the leader. The restarted one must not vote
// for the other.
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
		s.cutLinks[[2]string{leader.name, followers[0].name}] = true
		for range 40 {
			s.crash(followers[1])
			s.start(followers[1])
			s.run(time.Duration(50+s.random.IntN(100)) * time.Millisecond)
		}
		if len(s.leaders) > 1 {
			s.fail("another leader was elected: %v", s.leaders)
		}
	}
}

// TestFrozenLeaderIsNotConfirmed freezes the leader, with its monotonic clock
// running or stopped, until another one is confirmed. When it resumes, and before
// it receives any message, it must not consider itself confirmed.
func TestFrozenLeaderIsNotConfirmed(t *testing.T) {
	for _, suspended := range []bool{false, true} {
		s := newSimulation(t, *firstSeed, 3)
		s.run(2 * time.Second)
		frozen := s.leader()
		frozen.frozen = s.now + 3*time.Second
		frozen.suspended = suspended
		s.run(3*time.Second - step)
		if s.leader() == nil {
			s.fail("no other leader was confirmed")
		}
		s.isolate(frozen)
		s.inFlight = nil
		s.run(100 * time.Millisecond)
	}
}

// TestDelayedCampaignMessage delivers the leader's request to campaign, or the vote
// requests of the target, long after the transfer timed out, while the leader
// receives nothing. The leader must not be confirmed after the target was elected,
// which the simulation checks.
func TestDelayedCampaignMessage(t *testing.T) {
	tests := []struct {
		name      string
		intercept func(elector.Message) bool
	}{
		{"request to campaign", func(message elector.Message) bool { return message.Campaign != nil }},
		{"vote requests", func(message elector.Message) bool { return message.Vote != nil && message.Vote.Forced }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for i := range uint64(*seeds) {
				s := newSimulation(t, *firstSeed+i, 3)
				s.run(2 * time.Second)
				leader := s.leader()
				target := s.nodes[0]
				if target == leader {
					target = s.nodes[1]
				}
				s.intercept = test.intercept
				leader.step(elector.Transfer{ID: 1, Name: target.name})
				s.run(time.Duration(500+s.random.IntN(1000)) * time.Millisecond)
				if len(s.intercepted) == 0 {
					s.fail("nothing was intercepted")
				}
				for _, n := range s.nodes {
					s.cutLinks[[2]string{n.name, leader.name}] = true
				}
				for _, message := range s.intercepted {
					s.inFlight = append(s.inFlight, delivery{due: s.now, message: message})
				}
				s.run(time.Second)
			}
		})
	}
}

// TestLeaderIsNotConfirmedDuringTransfer cuts the traffic to the leader after
// it has started a transfer. It must not consider itself confirmed while the
// target takes over.
func TestLeaderIsNotConfirmedDuringTransfer(t *testing.T) {
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
			s.cutLinks[[2]string{n.name, leader.name}] = true
		}
		s.run(100 * time.Millisecond)
		if s.leader() != target {
			s.fail("%s did not take over", target.name)
		}
	}
}

// TestLeaderWithoutMajorityStepsDown isolates the leader. It must step down within
// the longest election timeout.
func TestLeaderWithoutMajorityStepsDown(t *testing.T) {
	s := newSimulation(t, *firstSeed, 3)
	s.run(2 * time.Second)
	leader := s.leader()
	s.isolate(leader)
	s.run(messenger.MaxElectionTimeout + 2*tickInterval)
	if leader.core.Status().Role == elector.Leader {
		s.fail("%s is still the leader", leader.name)
	}
}

// TestElectionWithSlowDisks checks that a leader is elected although each sync
// takes longer than a candidate with a fast disk waits for votes.
func TestElectionWithSlowDisks(t *testing.T) {
	s := newSimulation(t, *firstSeed, 5)
	for _, n := range s.nodes {
		n.syncDelay = 600 * time.Millisecond
	}
	s.run(10 * time.Second)
	if s.leader() == nil {
		s.fail("no leader, terms %v", s.leaders)
	}
}

// TestNoChangeBeforeCommit requests the removal of a member from a new leader
// that has not committed an entry of its term yet. It must be rejected.
func TestNoChangeBeforeCommit(t *testing.T) {
	s := newSimulation(t, *firstSeed, 3)
	for len(s.leaders) == 0 {
		s.run(step)
	}
	for _, n := range s.nodes {
		if n.core.Status().Role != elector.Leader {
			continue
		}
		effects := n.core.Step(n.clock, elector.RemoveMember{ID: 1, Name: "n1"})
		qt.Assert(t, effects.Proposed, qt.HasLen, 1)
		qt.Check(t, errors.Is(effects.Proposed[0].Err, elector.ErrNotLeader), qt.IsTrue)
		qt.Check(t, effects.Append, qt.HasLen, 0)
	}
}

// newMember returns the elector of one of three members, with the given stored
// entries.
func newMember(entries []elector.Entry, founders elector.Group) *elector.Elector {
	return elector.New(elector.Config{
		Name:        "a",
		Incarnation: 1,
		Rand:        rand.New(rand.NewPCG(1, 1)),
	}, elector.Stored{Hard: elector.HardState{Term: 1}, Founders: founders, Entries: entries}, timer.Instant{})
}

func threeMembers() elector.Group {
	group := elector.Founders([]messenger.Member{{Name: "a"}, {Name: "b"}, {Name: "c"}})
	group.Members[1].Incarnation = 5
	return group
}

// TestOtherIncarnationIsRefused delivers messages that have the name of a
// member but another incarnation.
func TestOtherIncarnationIsRefused(t *testing.T) {
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
			core := newMember(nil, threeMembers())
			test.message.From, test.message.FromIncarnation, test.message.To = "b", 6, "a"
			effects := core.Step(timer.Instant{Mono: time.Minute}, elector.Received{Message: test.message})
			qt.Check(t, effects.Refusals, qt.DeepEquals, []elector.Refusal{elector.RefusalIdentity})
			qt.Assert(t, effects.MessagesBeforeSync, qt.HasLen, 1)
			qt.Check(t, effects.MessagesBeforeSync[0].Stranger, qt.IsNotNil)
			qt.Check(t, effects.Save, qt.IsNil)
		})
	}
}

// TestStaleSnapshotKeepsLog delivers to a follower a late chunk of a snapshot
// that its log covers. The entries after the snapshot were acknowledged and
// must be kept.
func TestStaleSnapshotKeepsLog(t *testing.T) {
	var entries []elector.Entry
	for index := uint64(1); index <= 9; index++ {
		entries = append(entries, elector.Entry{Index: index, Term: 1, Kind: elector.EntryEmpty})
	}
	core := newMember(entries, threeMembers())
	effects := core.Step(timer.Instant{}, elector.Received{Message: elector.Message{
		From:            "b",
		FromIncarnation: 5,
		To:              "a",
		Term:            1,
		Chunk:           &elector.Chunk{Index: 4, Term: 1, Group: threeMembers()},
	}})
	qt.Check(t, effects.Install, qt.IsFalse)
	qt.Check(t, effects.Committed, qt.HasLen, 4)
	qt.Check(t, core.Status().Last, qt.Equals, uint64(9))
}
