package timer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/timer"
)

func TestSinceReturnsLargerDifference(t *testing.T) {
	tests := []struct {
		name string
		mono time.Duration
		wall time.Duration
		want time.Duration
	}{
		{name: "clocks agree", mono: time.Second, wall: time.Second, want: time.Second},
		{name: "suspended VM", mono: time.Second, wall: time.Hour, want: time.Hour},
		{name: "wall clock set back", mono: time.Second, wall: -time.Hour, want: time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			earlier := timer.Instant{Mono: time.Minute, Wall: 5 * time.Hour}
			later := timer.Instant{Mono: earlier.Mono + test.mono, Wall: earlier.Wall + test.wall}
			qt.Assert(t, later.Since(earlier), qt.Equals, test.want)
		})
	}
}
