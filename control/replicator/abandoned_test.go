package replicator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// A command that waited in the queue until its proposer gave up was appended all the
// same, and could take effect after a newer one that was sent in the meantime.
func TestAbandonedProposalIsNotAppended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, "c1")
		defer g.stopAll()
		leader := g.leader()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for range 50 {
			_, err := leader.replica.Propose(ctx, []byte("abandoned"))
			qt.Assert(t, err, qt.Not(qt.IsNil))
		}
		time.Sleep(time.Second)
		_, err := leader.replica.Propose(t.Context(), []byte("wanted"))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, leader.logMachine.commands, qt.DeepEquals, []string{"wanted"})
	})
}
