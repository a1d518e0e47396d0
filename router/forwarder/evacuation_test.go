package forwarder_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/executor"
	"marigoldhill/router/forwarder"
)

// Guards against callers that wait for another owner of their key while there is none: all
// failure domains are evacuated. While one is left, the key is about to move there.
func TestRefusedAtOnceIfAllDomainsAreEvacuated(t *testing.T) {
	const moveTime = 500 * time.Millisecond
	tests := []struct {
		name      string
		evacuated []string
		phase     messenger.Phase
		owner     uint64
		want      string
		took      time.Duration
	}{
		{name: "all domains", evacuated: []string{"a", "b"}, phase: messenger.PhaseOwned, owner: ownerSession, want: "refused/draining"},
		{name: "all domains, key without owner", evacuated: []string{"a", "b"}, phase: messenger.PhaseFree, want: "refused/draining"},
		{name: "one domain left", evacuated: []string{"b"}, phase: messenger.PhaseOwned, owner: ownerSession, want: "done", took: moveTime},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRouterPair(t, forwarder.Settings{})
				r.remote.execute = func(_ context.Context, request *messenger.Request, _ io.Reader) executor.Answer {
					return refusedAnswer(request, messenger.ReasonDraining)
				}
				apply := func(revision uint64, phase messenger.Phase, owner uint64) {
					delta := tableDelta(revision, phase, owner)
					delta.Sessions[0].Domain, delta.Sessions[1].Domain, delta.Sessions[2].Domain = "a", "b", "b"
					for _, domain := range test.evacuated {
						delta.Evacuations = append(delta.Evacuations, messenger.EvacuationRow{Domain: domain, Since: 1})
					}
					_ = r.entryTable.Apply(delta)
					_ = r.ownerTable.Apply(delta)
				}
				apply(2, test.phase, test.owner)
				time.AfterFunc(moveTime, func() { apply(3, messenger.PhaseOwned, entrySession) })
				started := time.Now()
				got := r.forward(t.Context(), request("n1"), messenger.Profile{}, "hinge")
				took := time.Since(started)
				qt.Assert(t, got.text(), qt.Equals, test.want)
				qt.Assert(t, took >= test.took && took <= test.took+10*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", took))
				if test.want != "done" {
					qt.Assert(t, got.response.RetryAfter, qt.Equals, time.Second)
				}
				time.Sleep(time.Second)
			})
		})
	}
}
