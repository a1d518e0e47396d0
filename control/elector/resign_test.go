package elector_test

import (
	"testing"
	"time"

	"marigoldhill/kernel/messenger"
)

// TestLeaderWithoutInboundTrafficIsReplaced cuts the traffic to the leader,
// with many seeds. The followers still receive its heartbeats, and must not
// wait for their election timeouts once it has stepped down.
func TestLeaderWithoutInboundTrafficIsReplaced(t *testing.T) {
	const bound = messenger.MaxElectionTimeout + 200*time.Millisecond
	for i := range uint64(*seeds) {
		s := newSimulation(t, *firstSeed+i, 3)
		s.run(2 * time.Second)
		unreachable := s.leader()
		for _, peer := range s.nodes {
			s.cutLinks[[2]string{peer.name, unreachable.name}] = true
		}
		cutAt := s.now
		for (s.leader() == nil || s.leader() == unreachable) && s.now < cutAt+5*time.Second {
			s.run(step)
		}
		if s.now-cutAt > bound {
			t.Errorf("seed %d: a new leader took %v", *firstSeed+i, s.now-cutAt)
		}
	}
}
