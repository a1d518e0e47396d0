package elector_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"marigoldhill/control/elector"
	"marigoldhill/kernel/messenger"
)

var (
	seeds     = flag.Int("seeds", 30, "how many seeds each simulation runs with")
	firstSeed = flag.Uint64("first-seed", 1, "first seed of each simulation")
)

// disturb causes one random fault or change.
func (s *simulation) disturb() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	other := s.nodes[s.random.IntN(len(s.nodes))]
	span := time.Duration(s.random.IntN(2500)) * time.Millisecond
	var fault string
	switch s.random.IntN(12) {
	case 0:
		fault = "crash " + n.name
		if n.up {
			s.crash(n)
		}
	case 1, 10:
		fault = "restart all"
		for _, down := range s.nodes {
			if !down.up {
				s.boot(down)
			}
		}
	case 2:
		n.suspended = s.random.IntN(2) == 0
		n.frozen = s.now + span
		fault = fmt.Sprintf("freeze %s for %v, suspended %v", n.name, span, n.suspended)
	case 3:
		jump := time.Duration(s.random.IntN(4000)-2000) * time.Millisecond
		n.clock.Wall += jump
		fault = fmt.Sprintf("wall clock of %s by %v", n.name, jump)
	case 4:
		s.cut[[2]string{n.name, other.name}] = true
		fault = "cut " + n.name + " to " + other.name
	case 5:
		s.isolate(n)
		fault = "isolate " + n.name
	case 6, 11:
		clear(s.cut)
		fault = "heal"
	case 7:
		n.syncTime = time.Duration(s.random.IntN(150)) * time.Millisecond
		fault = fmt.Sprintf("sync of %s takes %v", n.name, n.syncTime)
	case 8:
		fault = s.change(other)
	case 9:
		s.loss = float64(s.random.IntN(3)) * 0.05
		fault = fmt.Sprintf("loss %.2f", s.loss)
	}
	s.faults = append(s.faults, fmt.Sprintf("%v %s;", s.now, fault))
}

// isolate cuts a node off in both directions.
func (s *simulation) isolate(n *node) {
	for _, peer := range s.nodes {
		s.cut[[2]string{n.name, peer.name}] = true
		s.cut[[2]string{peer.name, n.name}] = true
	}
}

// change asks all that may lead to transfer leadership or change members.
func (s *simulation) change(other *node) string {
	var event elector.Event
	switch s.random.IntN(4) {
	case 0:
		event = elector.AddMember{ID: 1, Member: messenger.Member{Name: other.name}}
	case 1:
		event = elector.RemoveMember{ID: 1, Name: other.name}
	default:
		event = elector.Transfer{ID: 1, Name: other.name}
	}
	s.tell(event)
	return fmt.Sprintf("%T %s", event, other.name)
}

// tell gives an event to all running nodes; all but a leader refuse it.
func (s *simulation) tell(event elector.Event) {
	for _, n := range s.nodes {
		if n.up && n.frozen <= s.now {
			n.step(event)
		}
	}
}

// propose proposes a new command at all that may lead.
func (s *simulation) propose() {
	s.proposed++
	data := fmt.Appendf(nil, "command %d", s.proposed)
	s.tell(elector.Propose{Commands: []elector.Command{{ID: 1, Data: data}}})
}

// mend ends all faults.
func (s *simulation) mend() {
	clear(s.cut)
	s.loss = 0
	for _, n := range s.nodes {
		n.frozen = 0
		n.syncTime = 2 * time.Millisecond
		if !n.up {
			s.boot(n)
		}
	}
}

// leader is the confirmed leader, or nil.
func (s *simulation) leader() *node {
	for _, n := range s.nodes {
		if n.up && n.frozen <= s.now && n.core.Confirmed(n.clock) {
			return n
		}
	}
	return nil
}

// checkConverged checks that the group works and all members are equal.
func (s *simulation) checkConverged() {
	s.t.Helper()
	s.run(4 * time.Second)
	s.propose()
	s.run(time.Second)
	leader := s.leader()
	if leader == nil {
		s.fail("no leader after all faults ended")
	}
	for _, member := range leader.core.View().Group.Members {
		n := s.find(member.Name)
		if n.applied != uint64(len(s.log))-1 {
			s.fail("%s applied %d of %d", n.name, n.applied, len(s.log)-1)
		}
	}
}

func TestRandomFaults(t *testing.T) {
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			entries := 0
			for i := range uint64(*seeds) {
				s := newSimulation(t, *firstSeed+i, size)
				s.run(2 * time.Second)
				s.addNode("joiner", true)
				s.boot(s.nodes[size])
				for i := range 80 {
					s.disturb()
					// Quiet phases let a replica that hears nothing be elected.
					quiet := i/10%2 == 1
					for range 10 {
						if !quiet {
							s.propose()
						}
						s.run(time.Duration(s.random.IntN(50)+1) * time.Millisecond)
					}
				}
				s.mend()
				s.checkConverged()
				entries += len(s.log)
			}
			if entries < 50**seeds {
				t.Errorf("only %d entries were committed with %d seeds", entries, *seeds)
			}
		})
	}
}

// TestIsolatedReplicaReturns cuts a follower off for an hour: on its return the
// leader and its term stay.
func TestIsolatedReplicaReturns(t *testing.T) {
	s := newSimulation(t, *firstSeed, 3)
	s.run(2 * time.Second)
	leader := s.leader()
	term := leader.core.View().Term
	lost := s.nodes[0]
	if lost == leader {
		lost = s.nodes[1]
	}
	s.isolate(lost)
	lost.clock = lost.clock.Add(time.Hour)
	lost.nextTick = 0
	for range 100 {
		s.propose()
		s.run(100 * time.Millisecond)
	}
	s.mend()
	s.checkConverged()
	if now := s.leader(); now != leader || now.core.View().Term != term {
		s.fail("%s leads term %d, was %s in %d", now.name, now.core.View().Term, leader.name, term)
	}
}

// TestRemovedReplicaDisturbsNobody removes a member that does not hear of it.
func TestRemovedReplicaDisturbsNobody(t *testing.T) {
	s := newSimulation(t, *firstSeed, 5)
	s.run(2 * time.Second)
	leader := s.leader()
	term := leader.core.View().Term
	removed := s.nodes[0]
	if removed == leader {
		removed = s.nodes[1]
	}
	s.isolate(removed)
	s.tell(elector.RemoveMember{ID: 1, Name: removed.name})
	s.run(time.Second)
	clear(s.cut)
	s.checkConverged()
	if view := s.leader().core.View(); view.Term != term || view.Group.Has(removed.name) {
		s.fail("term %d after %d, members %v", view.Term, term, view.Group)
	}
}

// TestElectionTime loses the leader with many seeds and bounds the time until
// another one is confirmed.
func TestElectionTime(t *testing.T) {
	var longest, sum time.Duration
	for i := range uint64(*seeds) {
		s := newSimulation(t, *firstSeed+i, 3)
		s.run(2 * time.Second)
		s.crash(s.leader())
		lost := s.now
		for s.leader() == nil && s.now < lost+5*time.Second {
			s.run(step)
		}
		longest = max(longest, s.now-lost)
		sum += s.now - lost
	}
	t.Logf("mean %v, longest %v", sum/time.Duration(*seeds), longest)
	if longest > 900*time.Millisecond {
		t.Errorf("an election took %v", longest)
	}
}

// TestWipedReplicaIsRefused wipes a founding member: the group takes it for a
// stranger, and it stops.
func TestWipedReplicaIsRefused(t *testing.T) {
	s := newSimulation(t, *firstSeed, 3)
	s.run(2 * time.Second)
	wiped := s.nodes[0]
	if wiped == s.leader() {
		wiped = s.nodes[1]
	}
	s.crash(wiped)
	wiped.disk = stored{}
	wiped.incarnation++
	s.boot(wiped)
	wiped.fatal = func(err error) { wiped.up = false }
	s.run(2 * time.Second)
	if wiped.up || wiped.applied != 0 {
		s.fail("the wiped replica still runs, applied %d", wiped.applied)
	}
}

// TestMajorityWipedFoundsNothing wipes two of three founding members while the
// third is down: they must not found a second group.
func TestMajorityWipedFoundsNothing(t *testing.T) {
	s := newSimulation(t, *firstSeed, 3)
	s.run(2 * time.Second)
	for i, n := range s.nodes {
		s.crash(n)
		if i < 2 {
			n.disk = stored{}
			n.incarnation++
			s.boot(n)
		}
	}
	s.run(10 * time.Second)
	if leader := s.leader(); leader != nil {
		s.fail("%s leads a second group", leader.name)
	}
}

// TestSnapshotPartsAreSentOnce counts the parts of a large snapshot: but for one
// more at each heartbeat, each is sent once.
func TestSnapshotPartsAreSentOnce(t *testing.T) {
	const parts = 100
	s := newSimulation(t, *firstSeed, 3)
	s.padding = parts*elector.ChunkBytes - 8
	s.run(2 * time.Second)
	behind := s.nodes[0]
	if behind == s.leader() {
		behind = s.nodes[1]
	}
	s.isolate(behind)
	for range 2 * compactEvery {
		s.propose()
		s.run(5 * time.Millisecond)
	}
	sent := 0
	s.hold = func(message elector.Message) bool {
		if message.Chunk != nil {
			sent++
		}
		return false
	}
	clear(s.cut)
	s.checkConverged()
	if sent < parts || sent > parts*3/2 {
		s.fail("%d parts were sent, the snapshot has %d", sent, parts)
	}
}

// TestSnapshotInParts lets a follower catch up by a snapshot of several parts
// over a network that loses some.
func TestSnapshotInParts(t *testing.T) {
	s := newSimulation(t, *firstSeed, 3)
	s.padding = 5 * elector.ChunkBytes / 2
	s.run(2 * time.Second)
	behind := s.nodes[0]
	if behind == s.leader() {
		behind = s.nodes[1]
	}
	s.isolate(behind)
	for range 3 * compactEvery {
		s.propose()
		s.run(5 * time.Millisecond)
	}
	clear(s.cut)
	s.loss = 0.1
	s.run(3 * time.Second)
	s.loss = 0
	s.checkConverged()
	if behind.disk.snapshot == nil {
		s.fail("no snapshot at %s", behind.name)
	}
}
