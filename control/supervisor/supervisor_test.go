package supervisor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/assigner"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/profiler"
)

func TestFirstServersShareTheShards(t *testing.T) {
	h := newHarness(t)
	routers := []*fakeRouter{newRouter(h, 1, "findings"), newRouter(h, 2, "findings"), newRouter(h, 3, "findings")}
	h.run(3*time.Second, routers...)
	total := 0
	for _, router := range routers {
		count := len(router.owned())
		qt.Check(t, count >= 1365 && count <= 1366, qt.IsTrue, qt.Commentf("%s owns %d", router.beat.Router, count))
		qt.Check(t, len(router.sessions[router.beat.Session].Recorders), qt.Equals, 2)
		total += count
	}
	qt.Assert(t, total, qt.Equals, 4096)
}

func TestLapsedSessionIsTakenOver(t *testing.T) {
	h := newHarness(t)
	lost, left := newRouter(h, 1, "findings"), newRouter(h, 2, "findings")
	h.run(3*time.Second, lost, left)
	before := lost.rows
	h.run(1500*time.Millisecond, left)
	qt.Assert(t, len(left.owned()) < 4096, qt.IsTrue)
	h.run(500*time.Millisecond, left)
	qt.Assert(t, left.owned(), qt.HasLen, 4096)
	for place, row := range left.rows {
		if before[place].Owner == lost.beat.Session {
			qt.Assert(t, row.Fence > before[place].Fence, qt.IsTrue)
		}
	}
	qt.Assert(t, lost.send(), qt.Equals, messenger.HeartbeatExpired)
}

func TestOtherInstanceWaitsForTheSession(t *testing.T) {
	h := newHarness(t)
	first, second := newRouter(h, 1, "findings"), newRouter(h, 1, "findings")
	second.beat.Instance++
	h.run(time.Second, first)
	qt.Assert(t, second.send(), qt.Equals, messenger.HeartbeatWait)
	h.run(time.Second, first, second)
	qt.Assert(t, second.answer.Status, qt.Equals, messenger.HeartbeatWait)
	h.run(2*time.Second, second)
	qt.Assert(t, second.answer.Status, qt.Equals, messenger.HeartbeatAlive)
	qt.Assert(t, first.send(), qt.Equals, messenger.HeartbeatExpired)
}

func TestOnlyConfirmedLeaderRenews(t *testing.T) {
	h := newHarness(t)
	router := newRouter(h, 1, "findings")
	h.run(time.Second, router)
	tests := []struct {
		name      string
		leading   bool
		confirmed bool
		want      messenger.HeartbeatStatus
	}{
		{name: "confirmed leader", leading: true, confirmed: true, want: messenger.HeartbeatAlive},
		{name: "leader that was cut off", leading: true, want: messenger.HeartbeatUnconfirmed},
		{name: "follower", want: messenger.HeartbeatRedirect},
	}
	for _, test := range tests {
		h.standing.Leading, h.standing.Confirmed = test.leading, test.confirmed
		qt.Check(t, router.send(), qt.Equals, test.want, qt.Commentf(test.name))
		_, refused := h.ask(supervisor.StatusQuestion{}).(*supervisor.NotLeading)
		qt.Check(t, refused, qt.Equals, !test.confirmed, qt.Commentf(test.name))
	}
}

func TestNewLeaderClosesNobodyForALease(t *testing.T) {
	h := newHarness(t)
	router := newRouter(h, 1, "findings")
	h.run(time.Second, router)
	h.now = h.now.Add(time.Minute)
	h.standing.Term++
	h.standing.Since = h.now
	h.run(1600 * time.Millisecond)
	qt.Assert(t, router.send(), qt.Equals, messenger.HeartbeatAlive)
	h.run(1750 * time.Millisecond)
	qt.Assert(t, router.send(), qt.Equals, messenger.HeartbeatExpired)
}

func TestRacingOperators(t *testing.T) {
	h := newHarness(t)
	h.run(2*time.Second, newRouter(h, 1, "findings"))
	change := func(revision uint64, key string, weight int) assigner.Result {
		profile := profiler.DefaultProfiles()[0]
		profile.Weight = weight
		return h.propose(assigner.Command{PutProfile: &assigner.PutProfile{
			Condition: assigner.Condition{Revision: revision, Idempotency: key},
			Profile:   profile,
		}})
	}
	profiles := h.ask(supervisor.ProfilesQuestion{}).([]assigner.Versioned[messenger.Profile])
	base := profiles[0].Revision
	first := change(base, "a", 1)
	qt.Assert(t, first.Verdict, qt.Equals, assigner.VerdictApplied)
	second := change(base, "b", 2)
	qt.Assert(t, second.Verdict, qt.Equals, assigner.VerdictConflict)
	qt.Assert(t, second.Revision, qt.Equals, first.Revision)
	qt.Assert(t, change(base, "a", 1), qt.DeepEquals, first)
	qt.Assert(t, change(base, "b", 2), qt.DeepEquals, second)
	qt.Assert(t, change(base, "a", 3).Verdict, qt.Equals, assigner.VerdictMismatch)
	qt.Assert(t, change(first.Revision, "c", 4).Verdict, qt.Equals, assigner.VerdictApplied)
}

func TestPausedLeaderClosesNobody(t *testing.T) {
	h := newHarness(t)
	router := newRouter(h, 1, "findings")
	h.run(time.Second, router)
	h.now = h.now.Add(10 * time.Second)
	h.pass()
	h.commit()
	qt.Assert(t, router.send(), qt.Equals, messenger.HeartbeatAlive)
}

func TestSessionIsRenewedOnlyByItsInstanceWhileOpen(t *testing.T) {
	h := newHarness(t)
	router := newRouter(h, 1, "findings")
	h.run(3*time.Second, router)
	router.beat.Instance++
	qt.Assert(t, router.send(), qt.Equals, messenger.HeartbeatExpired)
	router.beat.Instance--
	qt.Assert(t, router.send(), qt.Equals, messenger.HeartbeatAlive)
	for len(h.waiting) == 0 {
		h.pass()
	}
	// The closing is proposed and not committed.
	qt.Assert(t, router.send(), qt.Equals, messenger.HeartbeatExpired)
}
