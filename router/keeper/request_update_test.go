package keeper

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/timer"
)

// TestRequestUpdateIsRateLimited calls RequestUpdate at different times after a heartbeat.
func TestRequestUpdateIsRateLimited(t *testing.T) {
	tests := []struct {
		name     string
		elapsed  time.Duration
		requests int
	}{
		{name: "at the same time", elapsed: 0, requests: 0},
		{name: "within the interval", elapsed: MinUpdateRequestInterval - time.Millisecond, requests: 0},
		{name: "after the interval", elapsed: MinUpdateRequestInterval, requests: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				keeper := New(Settings{Control: []string{"a"}}, Options{})
				lastSentAt := timer.Now()
				keeper.lastSentAt.Store(&lastSentAt)
				time.Sleep(test.elapsed)
				keeper.RequestUpdate()
				qt.Assert(t, len(keeper.heartbeatRequested), qt.Equals, test.requests)
			})
		})
	}
}
