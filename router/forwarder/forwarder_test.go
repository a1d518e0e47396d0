package forwarder_test

import (
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/forwarder"
)

func TestForward(t *testing.T) {
	tests := []struct {
		name  string
		owner uint64
		body  string
	}{
		{name: "local", owner: entrySession, body: "hinge"},
		{name: "remote", owner: ownerSession, body: "hinge"},
		{name: "remote without body", owner: ownerSession},
		{name: "remote with a body as large as the buffer", owner: ownerSession, body: strings.Repeat("x", forwarder.BufferSize)},
		{name: "remote with a larger body", owner: ownerSession, body: strings.Repeat("x", 4*forwarder.BufferSize+1)},
		{name: "local with a larger body", owner: entrySession, body: strings.Repeat("x", 4*forwarder.BufferSize+1)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRouterPair(t, forwarder.Settings{})
				r.place(t, 2, messenger.PhaseOwned, test.owner)
				got := r.forward(t.Context(), request("n1"), messenger.Profile{}, test.body)
				qt.Assert(t, got.err, qt.IsNil)
				qt.Assert(t, got.response.Outcome, qt.Equals, messenger.OutcomeDone)
				qt.Assert(t, got.body == "door-17:"+test.body, qt.IsTrue)
				qt.Assert(t, r.local.count("n1")+r.remote.count("n1"), qt.Equals, 1)
				if len(test.body) <= forwarder.BufferSize {
					qt.Assert(t, r.local.last.Length+r.remote.last.Length, qt.Equals, int64(len(test.body)))
				}
			})
		})
	}
}
