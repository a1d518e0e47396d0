package supervisor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
)

// A router that receives no responses holds no lease, so its heartbeats must not keep
// its session open.
func TestSessionExpiresWithoutResponses(t *testing.T) {
	h := newHarness(t)
	unanswered, other := newRouter(h, 1, "findings"), newRouter(h, 2, "findings")
	h.run(3*time.Second, unanswered, other)
	session := unanswered.heartbeat.Session
	for range 10 {
		unanswered.heartbeat.Unanswered++
		h.run(300*time.Millisecond, unanswered, other)
	}
	qt.Assert(t, other.sessions[session].Gone, qt.IsTrue)
}

// A router that receives responses again before its session expires keeps it.
func TestSessionSurvivesMissedResponses(t *testing.T) {
	h := newHarness(t)
	router := newRouter(h, 1, "findings")
	h.run(3*time.Second, router)
	session := router.heartbeat.Session
	router.heartbeat.Unanswered = messenger.MaxUnanswered + 1
	qt.Assert(t, router.send(), qt.Equals, messenger.HeartbeatUnacknowledged)
	router.heartbeat.Unanswered = 0
	qt.Assert(t, router.send(), qt.Equals, messenger.HeartbeatRenewed)
	qt.Assert(t, router.heartbeat.Session, qt.Equals, session)
}
