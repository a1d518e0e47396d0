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

// TestSuspensionCountsAlthoughTheWallClockIsSetBack suspends the VM, so that the monotonic
// clock stops, and sets the wall clock back meanwhile.
func TestSuspensionCountsAlthoughTheWallClockIsSetBack(t *testing.T) {
	suspended := time.Duration(0)
	restore := timer.SetSuspendedTime(func() time.Duration { return suspended })
	defer restore()
	earlier := timer.Now()
	suspended = 2500 * time.Millisecond
	timer.StepWallClock(-2400 * time.Millisecond)
	defer timer.StepWallClock(2400 * time.Millisecond)
	time.Sleep(30 * time.Millisecond)
	now := timer.Now()
	qt.Check(t, now.Since(earlier) >= suspended, qt.IsTrue, qt.Commentf("%s", now.Since(earlier)))
	qt.Check(t, now.SinceMonotonic(earlier) >= suspended, qt.IsTrue, qt.Commentf("%s", now.SinceMonotonic(earlier)))
}

// TestSuspendedTimeIsReadable checks that the clocks of the system can be read, and that
// this machine was not suspended in between.
func TestSuspendedTimeIsReadable(t *testing.T) {
	earlier := timer.Now()
	time.Sleep(20 * time.Millisecond)
	elapsed := timer.Now().SinceMonotonic(earlier)
	qt.Check(t, elapsed >= 20*time.Millisecond && elapsed < 2*time.Second, qt.IsTrue, qt.Commentf("%s", elapsed))
}
