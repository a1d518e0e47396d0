package forwarder_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/forwarder"
)

// Guards against requests that a stopping router passes on and cannot finish.
func TestStoppingRouterPassesOnWhatCanEndInTime(t *testing.T) {
	tests := []struct {
		name    string
		elapsed time.Duration
		want    string
		runs    int
	}{
		{name: "enough time", elapsed: 900 * time.Millisecond, want: "done", runs: 1},
		{name: "too little time", elapsed: 1100 * time.Millisecond, want: "refused/stopping"},
	}
	for _, test := range tests {
		for _, owner := range []uint64{entrySession, ownerSession} {
			synctest.Test(t, func(t *testing.T) {
				r := newRouterPair(t, forwarder.Settings{})
				r.place(t, 2, messenger.PhaseOwned, owner)
				r.entryStop.Begin()
				time.Sleep(test.elapsed)
				started := time.Now()
				got := r.forward(t.Context(), request("n1"), messenger.Profile{}, "hinge")
				comment := qt.Commentf("%s, owner %d", test.name, owner)
				qt.Check(t, got.text(), qt.Equals, test.want, comment)
				qt.Check(t, r.local.runs["n1"]+r.remote.runs["n1"], qt.Equals, test.runs, comment)
				qt.Check(t, time.Since(started) < 100*time.Millisecond, qt.IsTrue, comment)
				qt.Check(t, got.response.RetryAfter > 0, qt.Equals, test.runs == 0, comment)
			})
		}
	}
}
