package supervisor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
)

// TestRouterThatHearsNothing sends heartbeats of a router that gets no answers:
// they must not keep its session, since it holds no lease.
func TestRouterThatHearsNothing(t *testing.T) {
	h := newHarness(t)
	deaf, other := newRouter(h, 1, "findings"), newRouter(h, 2, "findings")
	h.run(3*time.Second, deaf, other)
	session := deaf.beat.Session
	for range 10 {
		deaf.beat.Unanswered++
		h.run(300*time.Millisecond, deaf, other)
	}
	qt.Assert(t, other.sessions[session].Gone, qt.IsTrue)
}

// TestRouterThatMissedAnswers hears again in time and goes on.
func TestRouterThatMissedAnswers(t *testing.T) {
	h := newHarness(t)
	router := newRouter(h, 1, "findings")
	h.run(3*time.Second, router)
	session := router.beat.Session
	router.beat.Unanswered = messenger.UnansweredMax + 1
	qt.Assert(t, router.send(), qt.Equals, messenger.HeartbeatUnheard)
	router.beat.Unanswered = 0
	qt.Assert(t, router.send(), qt.Equals, messenger.HeartbeatAlive)
	qt.Assert(t, router.beat.Session, qt.Equals, session)
}
