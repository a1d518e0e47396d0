package keeper

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/timer"
)

// TestHastenIsBounded asks for news at different times after a heartbeat.
func TestHastenIsBounded(t *testing.T) {
	tests := []struct {
		name   string
		since  time.Duration
		nudges int
	}{
		{name: "at once", since: 0, nudges: 0},
		{name: "too soon", since: HastenInterval - time.Millisecond, nudges: 0},
		{name: "in time", since: HastenInterval, nudges: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := New(Settings{Control: []string{"a"}}, Options{})
				sent := timer.Now()
				k.sent.Store(&sent)
				time.Sleep(test.since)
				k.Hasten()
				qt.Assert(t, len(k.nudge), qt.Equals, test.nudges)
			})
		})
	}
}
