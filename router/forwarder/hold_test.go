package forwarder_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/forwarder"
)

func TestHeldUntilOwned(t *testing.T) {
	tests := []struct {
		name  string
		phase messenger.Phase
		owner uint64 // before
		next  uint64 // after
	}{
		{name: "moves from the other to the owner", phase: messenger.PhaseMoving, owner: otherSession, next: ownerSession},
		{name: "moves from here to the owner", phase: messenger.PhaseMoving, owner: entrySession, next: ownerSession},
		{name: "moves here", phase: messenger.PhaseMoving, owner: otherSession, next: entrySession},
		{name: "lost its owner", phase: messenger.PhaseFree, next: ownerSession},
		{name: "owner cannot be reached", phase: messenger.PhaseOwned, owner: otherSession, next: ownerSession},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, forwarder.Settings{})
				r.place(t, 2, test.phase, test.owner)
				// Changes of other parts of the table wake nobody for good.
				for i := range 20 {
					time.AfterFunc(time.Duration(i+1)*100*time.Millisecond, func() {
						_ = r.table.Apply(&messenger.TableDelta{To: uint64(3 + i)})
					})
				}
				const landing = 2500 * time.Millisecond
				time.AfterFunc(landing, func() { r.place(t, 100, messenger.PhaseOwned, test.next) })
				start := time.Now()
				got := r.forward(t.Context(), request("n1"), messenger.Profile{}, "hinge")
				qt.Assert(t, got.text(), qt.Equals, "done")
				qt.Assert(t, got.body, qt.Equals, "door-17:hinge")
				qt.Assert(t, r.local.count("n1")+r.remote.count("n1"), qt.Equals, 1)
				qt.Assert(t, time.Since(start) < landing+10*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", time.Since(start)))
			})
		})
	}
}

func TestHoldingEnds(t *testing.T) {
	tests := []struct {
		name     string
		settings forwarder.Settings
		holders  int
		want     string
		took     time.Duration
	}{
		{name: "after the hold time", settings: forwarder.Settings{HoldTime: time.Second}, want: "refused/moving", took: time.Second + 400*time.Millisecond},
		{name: "with the deadline", want: "refused/moving", took: patience},
		{name: "at once when too many are held", settings: forwarder.Settings{Holds: 1}, holders: 1, want: "refused/moving"},
		{name: "at once when too much is held", settings: forwarder.Settings{HoldBytes: 9}, holders: 1, want: "refused/moving"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, test.settings)
				r.place(t, 2, messenger.PhaseMoving, otherSession)
				for range test.holders {
					go r.forward(t.Context(), request("n0"), messenger.Profile{}, "hinge")
				}
				synctest.Wait()
				start := time.Now()
				got := r.forward(t.Context(), request("n1"), messenger.Profile{}, "hinge")
				qt.Assert(t, got.text(), qt.Equals, test.want)
				qt.Assert(t, got.response.RetryAfter > 0, qt.IsTrue)
				qt.Assert(t, time.Since(start) <= test.took, qt.IsTrue, qt.Commentf("took %v", time.Since(start)))
				qt.Assert(t, r.local.count("n1")+r.remote.count("n1"), qt.Equals, 0)
				// Once the others have left, there is room again.
				time.Sleep(patience)
				start = time.Now()
				r.forward(t.Context(), request("n2"), messenger.Profile{}, "hinge")
				qt.Assert(t, time.Since(start) > 0, qt.IsTrue)
			})
		})
	}
}

// TestMisroutedIsNeverForwardedAgain sends a request to a router that knows
// another owner.
func TestMisroutedIsNeverForwardedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, forwarder.Settings{HoldTime: time.Second})
		qt.Assert(t, r.owned.Apply(delta(7, messenger.PhaseOwned, otherSession)), qt.IsNil)
		got := r.forward(t.Context(), request("n1"), messenger.Profile{}, "hinge")
		qt.Assert(t, got.text(), qt.Equals, "refused/misrouted")
		qt.Assert(t, got.response.Revision, qt.Equals, uint64(7))
		qt.Assert(t, r.local.count("n1")+r.remote.count("n1"), qt.Equals, 0)
	})
}
