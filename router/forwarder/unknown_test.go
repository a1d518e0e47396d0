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

// TestRefusalAfterUnknownOutcome sends an idempotent request whose first attempt
// may have run. A refusal of a later attempt must not turn the outcome of the
// request into refused.
func TestRefusalAfterUnknownOutcome(t *testing.T) {
	tests := []struct {
		name  string
		later messenger.Reason
	}{
		{name: "queue full", later: messenger.ReasonQueue},
		{name: "owner draining", later: messenger.ReasonDraining},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRouterPair(t, forwarder.Settings{})
				r.remote.execute = func(_ context.Context, request *messenger.Request, _ io.Reader) executor.Answer {
					if r.remote.count(request.Number) > 1 {
						return refusedAnswer(request, test.later)
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
