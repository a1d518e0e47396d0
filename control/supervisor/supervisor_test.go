package supervisor_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/assigner"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/profiler"
)

func TestFirstServersGetEqualShards(t *testing.T) {
	h := newHarness(t)
	routers := []*fakeRouter{newRouter(h, 1, "findings"), newRouter(h, 2, "findings"), newRouter(h, 3, "findings")}
	h.run(3*time.Second, routers...)
	total := 0
	for _, router := range routers {
		count := len(router.owned())
		qt.Check(t, count >= 1365 && count <= 1366, qt.IsTrue, qt.Commentf("%s owns %d", router.heartbeat.Router, count))
		qt.Check(t, len(router.sessions[router.heartbeat.Session].Recorders), qt.Equals, 2)
		total += count
	}
	qt.Assert(t, total, qt.Equals, 4096)
}

func TestExpiredSessionIsTakenOver(t *testing.T) {
	h := newHarness(t)
	lost, survivor := newRouter(h, 1, "findings"), newRouter(h, 2, "findings")
	h.run(3*time.Second, lost, survivor)
	before := lost.rows
	h.run(1500*time.Millisecond, survivor)
	qt.Assert(t, len(survivor.owned()) < 4096, qt.IsTrue)
	h.run(500*time.Millisecond, survivor)
	qt.Assert(t, survivor.owned(), qt.HasLen, 4096)
	for ref, row := range survivor.rows {
		if before[ref].Owner == lost.heartbeat.Session {
			qt.Assert(t, row.Fence > before[ref].Fence, qt.IsTrue)
		}
	}
	qt.Assert(t, lost.send(), qt.Equals, messenger.HeartbeatExpired)
}

func TestOtherInstanceWaitsForSessionExpiry(t *testing.T) {
	h := newHarness(t)
	first, second := newRouter(h, 1, "findings"), newRouter(h, 1, "findings")
	second.heartbeat.Instance++
	h.run(time.Second, first)
	qt.Assert(t, second.send(), qt.Equals, messenger.HeartbeatWait)
	h.run(time.Second, first, second)
	qt.Assert(t, second.response.Status, qt.Equals, messenger.HeartbeatWait)
	h.run(2*time.Second, second)
	qt.Assert(t, second.response.Status, qt.Equals, messenger.HeartbeatRenewed)
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
		{name: "confirmed leader", leading: true, confirmed: true, want: messenger.HeartbeatRenewed},
		{name: "leader without a confirmed majority", leading: true, want: messenger.HeartbeatUnconfirmed},
		{name: "follower", want: messenger.HeartbeatRedirect},
	}
	for _, test := range tests {
		h.raftStatus.Leading, h.raftStatus.Confirmed = test.leading, test.confirmed
		qt.Check(t, router.send(), qt.Equals, test.want, qt.Commentf(test.name))
		_, refused := h.request(supervisor.StatusQuery{}).(*supervisor.NotLeader)
		qt.Check(t, refused, qt.Equals, !test.confirmed, qt.Commentf(test.name))
	}
}

func TestNewLeaderClosesNoSessionForALease(t *testing.T) {
	h := newHarness(t)
	router := newRouter(h, 1, "findings")
	h.run(time.Second, router)
	h.now = h.now.Add(time.Minute)
	h.raftStatus.Term++
	h.raftStatus.Since = h.now
	h.run(1600 * time.Millisecond)
	qt.Assert(t, router.send(), qt.Equals, messenger.HeartbeatRenewed)
	h.run(1750 * time.Millisecond)
	qt.Assert(t, router.send(), qt.Equals, messenger.HeartbeatExpired)
}

func TestConcurrentProfileChanges(t *testing.T) {
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
	profiles := h.request(supervisor.ProfilesQuery{}).([]assigner.Versioned[messenger.Profile])
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

func TestPausedLeaderClosesNoSession(t *testing.T) {
	h := newHarness(t)
	router := newRouter(h, 1, "findings")
	h.run(time.Second, router)
	h.now = h.now.Add(10 * time.Second)
	h.tick()
	h.commit()
	qt.Assert(t, router.send(), qt.Equals, messenger.HeartbeatRenewed)
}

// checkNothingClosed advances the time by the length of a lease, checks that the
// leader proposes nothing, and sets its wall clock forward once in each of the first
// intervals of 200 ms. Each step is too small to be taken for a pause.
func checkNothingClosed(h *harness, wallSteps int) {
	for passed := time.Duration(0); passed < messenger.LeaseDuration; passed += step {
		if passed%(200*time.Millisecond) == 0 && wallSteps > 0 {
			h.now.Wall += 400 * time.Millisecond
			wallSteps--
		}
		h.tick()
		qt.Assert(h.t, h.pending, qt.HasLen, 0, qt.Commentf("%v passed", passed+step))
	}
}

// A wall clock that is set forward must not close a session whose router still holds
// its lease.
func TestWallClockStepClosesNoSession(t *testing.T) {
	tests := []struct {
		name      string
		wallSteps int
	}{
		{"one step", 1},
		{"several steps", 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			router := newRouter(h, 1, "findings")
			h.run(5*time.Second, router)
			checkNothingClosed(h, test.wallSteps)
			h.run(messenger.LeaseMargin + 2*step)
			qt.Assert(t, router.send(), qt.Equals, messenger.HeartbeatExpired)
		})
	}
}

// A new leader whose wall clock is set forward must still wait for the leases that the
// previous leader renewed.
func TestWallClockStepKeepsGracePeriod(t *testing.T) {
	h := newHarness(t)
	h.run(time.Second, newRouter(h, 1, "findings"))
	h.raftStatus.Term++
	h.raftStatus.Since = h.now
	h.tick()
	checkNothingClosed(h, 1)
}

// A router whose session ended locally no longer knows which shards it released. When it
// resumes the session, its table must not contain them any more.
func TestResumedSessionOwnsNoReleasedShards(t *testing.T) {
	h := newHarness(t)
	router := newRouter(h, 1, "findings")
	h.run(5*time.Second, router)
	session, released := router.heartbeat.Session, router.owned()[:1]
	router.heartbeat.Released = released
	qt.Assert(t, router.send(), qt.Equals, messenger.HeartbeatRenewed)
	router.heartbeat.Session, router.heartbeat.Released = 0, nil
	qt.Assert(t, router.send(), qt.Equals, messenger.HeartbeatWait)
	h.commit()
	qt.Assert(t, router.send(), qt.Equals, messenger.HeartbeatRenewed)
	qt.Assert(t, router.heartbeat.Session, qt.Equals, session)
	qt.Assert(t, slices.Contains(router.owned(), released[0]), qt.IsFalse)
}

func TestSessionIsRenewedOnlyByItsInstanceWhileOpen(t *testing.T) {
	h := newHarness(t)
	router := newRouter(h, 1, "findings")
	h.run(3*time.Second, router)
	router.heartbeat.Instance++
	qt.Assert(t, router.send(), qt.Equals, messenger.HeartbeatExpired)
	router.heartbeat.Instance--
	qt.Assert(t, router.send(), qt.Equals, messenger.HeartbeatRenewed)
	for len(h.pending) == 0 {
		h.tick()
	}
	// The closing is proposed and not committed.
	qt.Assert(t, router.send(), qt.Equals, messenger.HeartbeatExpired)
}
