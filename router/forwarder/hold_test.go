package forwarder_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/forwarder"
)

func TestHeldUntilKeyHasOwner(t *testing.T) {
	tests := []struct {
		name  string
		phase messenger.Phase
		owner uint64
		next  uint64 // owner after the change
	}{
		{name: "moves from another router to the owner", phase: messenger.PhaseMoving, owner: otherSession, next: ownerSession},
		{name: "moves from the entry to the owner", phase: messenger.PhaseMoving, owner: entrySession, next: ownerSession},
		{name: "moves to the entry", phase: messenger.PhaseMoving, owner: otherSession, next: entrySession},
		{name: "lost its owner", phase: messenger.PhaseFree, next: ownerSession},
		{name: "owner unreachable", phase: messenger.PhaseOwned, owner: otherSession, next: ownerSession},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRouterPair(t, forwarder.Settings{})
				r.place(t, 2, test.phase, test.owner)
				// Changes to other parts of the table must not end the hold.
				for i := range 20 {
					time.AfterFunc(time.Duration(i+1)*100*time.Millisecond, func() {
						_ = r.entryTable.Apply(&messenger.TableDelta{To: uint64(3 + i)})
					})
				}
				const moveTime = 2500 * time.Millisecond
				time.AfterFunc(moveTime, func() { r.place(t, 100, messenger.PhaseOwned, test.next) })
				start := time.Now()
				got := r.forward(t.Context(), request("n1"), messenger.Profile{}, "hinge")
				qt.Assert(t, got.text(), qt.Equals, "done")
				qt.Assert(t, got.body, qt.Equals, "door-17:hinge")
				qt.Assert(t, r.local.count("n1")+r.remote.count("n1"), qt.Equals, 1)
				qt.Assert(t, time.Since(start) < moveTime+10*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", time.Since(start)))
			})
		})
	}
}

func TestHoldEndsWithoutOwner(t *testing.T) {
	tests := []struct {
		name     string
		settings forwarder.Settings
		held     int
		want     string
		maxTook  time.Duration
	}{
		{name: "after the hold time", settings: forwarder.Settings{MaxHoldTime: time.Second}, want: "refused/moving", maxTook: time.Second + 400*time.Millisecond},
		{name: "with the deadline", want: "refused/moving", maxTook: callerTimeout},
		{name: "at once when too many are held", settings: forwarder.Settings{MaxHeld: 1}, held: 1, want: "refused/moving"},
		{name: "at once when too many bytes are held", settings: forwarder.Settings{MaxHeldBytes: 9}, held: 1, want: "refused/moving"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRouterPair(t, test.settings)
				r.place(t, 2, messenger.PhaseMoving, otherSession)
				for range test.held {
					go r.forward(t.Context(), request("n0"), messenger.Profile{}, "hinge")
				}
				synctest.Wait()
				start := time.Now()
				got := r.forward(t.Context(), request("n1"), messenger.Profile{}, "hinge")
				qt.Assert(t, got.text(), qt.Equals, test.want)
				qt.Assert(t, got.response.RetryAfter > 0, qt.IsTrue)
				qt.Assert(t, time.Since(start) <= test.maxTook, qt.IsTrue, qt.Commentf("took %v", time.Since(start)))
				qt.Assert(t, r.local.count("n1")+r.remote.count("n1"), qt.Equals, 0)
				// After the held requests have ended, further ones are held again.
				time.Sleep(callerTimeout)
				start = time.Now()
				r.forward(t.Context(), request("n2"), messenger.Profile{}, "hinge")
				qt.Assert(t, time.Since(start) > 0, qt.IsTrue)
			})
		})
	}
}

// TestMisroutedIsNotForwardedAgain sends a request to a router whose table has
// another owner for the key. It must refuse the request instead of forwarding it.
func TestMisroutedIsNotForwardedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouterPair(t, forwarder.Settings{MaxHoldTime: time.Second})
		qt.Assert(t, r.ownerTable.Apply(tableDelta(7, messenger.PhaseOwned, otherSession)), qt.IsNil)
		got := r.forward(t.Context(), request("n1"), messenger.Profile{}, "hinge")
		qt.Assert(t, got.text(), qt.Equals, "refused/misrouted")
		qt.Assert(t, got.response.Revision, qt.Equals, uint64(7))
		qt.Assert(t, r.local.count("n1")+r.remote.count("n1"), qt.Equals, 0)
	})
}
