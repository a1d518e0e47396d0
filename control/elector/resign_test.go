package elector_test

import (
	"testing"
	"time"

	"marigoldhill/kernel/messenger"
)

// TestDeafLeaderIsReplacedSoon cuts off what the leader receives, with many
// seeds: its followers still hear it, and may not wait for their time-outs once
// it stepped down.
func TestDeafLeaderIsReplacedSoon(t *testing.T) {
	const bound = messenger.ElectionTimeMax + 200*time.Millisecond
	for i := range uint64(*seeds) {
		s := newSimulation(t, *firstSeed+i, 3)
		s.run(2 * time.Second)
		deaf := s.leader()
		for _, peer := range s.nodes {
			s.cut[[2]string{peer.name, deaf.name}] = true
		}
		lost := s.now
		for (s.leader() == nil || s.leader() == deaf) && s.now < lost+5*time.Second {
			s.run(step)
		}
		if s.now-lost > bound {
			t.Errorf("seed %d: a new leader took %v", *firstSeed+i, s.now-lost)
		}
	}
}
