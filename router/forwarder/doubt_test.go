package forwarder_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/executor"
	"marigoldhill/router/forwarder"
)

// TestRefusalAfterDoubt sends an idempotent request whose first send may have
// run: whatever the sends after it get, the request is not called refused.
func TestRefusalAfterDoubt(t *testing.T) {
	tests := []struct {
		name string
		then messenger.Reason
	}{
		{name: "queue full", then: messenger.ReasonQueue},
		{name: "owner leaves", then: messenger.ReasonDraining},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, forwarder.Settings{})
				r.remote.execute = func(_ context.Context, request *messenger.Request, _ io.Reader) executor.Answer {
					if r.remote.count(request.Number) > 1 {
						return refused(request, test.then)
					}
					return executor.Answer{Response: messenger.Response{
						Number: request.Number, Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonLost}}
				}
				profile := messenger.Profile{Idempotent: true, Retries: 2}
				got := r.forward(t.Context(), request("n1"), profile, "hinge")
				qt.Assert(t, r.remote.count("n1") > 1, qt.IsTrue)
				qt.Assert(t, got.text(), qt.Equals, "unknown/lost")
			})
		})
	}
}
