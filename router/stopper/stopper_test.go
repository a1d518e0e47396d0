package stopper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/router/stopper"
)

// Guards against requests that are taken and cannot end before the process does.
func TestRequestsFitUntilTheStopLeavesThemTooLittleTime(t *testing.T) {
	tests := []struct {
		name     string
		stopping bool
		elapsed  time.Duration
		duration time.Duration
		fits     bool
	}{
		{name: "not stopping", duration: time.Hour, fits: true},
		{name: "short, at the beginning", stopping: true, duration: 2 * time.Second, fits: true},
		{name: "ends with the window", stopping: true, elapsed: 3 * time.Second, duration: 2 * time.Second, fits: true},
		{name: "ends after the window", stopping: true, elapsed: 3*time.Second + time.Millisecond, duration: 2 * time.Second},
		{name: "longer than the window", stopping: true, duration: 8 * time.Second},
		{name: "after the window", stopping: true, elapsed: 6 * time.Second},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			window := stopper.New(5 * time.Second)
			if test.stopping {
				window.Begin()
			}
			time.Sleep(test.elapsed)
			window.Begin() // a second signal changes nothing
			if !test.stopping {
				window = stopper.New(5 * time.Second)
			}
			qt.Check(t, window.Fits(test.duration), qt.Equals, test.fits, qt.Commentf(test.name))
		})
	}
	var none *stopper.Window
	qt.Check(t, none.Fits(time.Hour), qt.IsTrue)
}

// Guards against requests that wait until their time is over though they cannot run any more.
func TestWaitingEndsWhenTheRequestNoLongerFits(t *testing.T) {
	tests := []struct {
		name     string
		duration time.Duration
		begin    time.Duration
		ends     bool
	}{
		{name: "fits", duration: 4 * time.Second, begin: time.Second},
		{name: "has waited long enough to fit", duration: 6 * time.Second, begin: 2 * time.Second},
		{name: "does not fit", duration: 8 * time.Second, begin: time.Second, ends: true},
		{name: "stop has begun before", duration: 8 * time.Second, ends: true},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			window := stopper.New(5 * time.Second)
			if test.begin == 0 {
				window.Begin()
			}
			ctx, cancel := window.Context(t.Context(), test.duration)
			defer cancel()
			time.Sleep(test.begin)
			qt.Check(t, ctx.Err() != nil, qt.Equals, test.begin == 0, qt.Commentf(test.name))
			window.Begin()
			synctest.Wait()
			qt.Check(t, context.Cause(ctx) == stopper.ErrStopping, qt.Equals, test.ends, qt.Commentf(test.name))
		})
	}
}

// Guards against a request that enters while the process takes itself to be idle.
func TestNothingEntersAClosedWindow(t *testing.T) {
	window := stopper.New(time.Second)
	qt.Assert(t, window.Enter(), qt.IsTrue)
	qt.Check(t, window.CloseIfIdle(), qt.IsFalse)
	window.Leave()
	qt.Check(t, window.CloseIfIdle(), qt.IsTrue)
	qt.Check(t, window.Enter(), qt.IsFalse)

	window = stopper.New(time.Second)
	qt.Assert(t, window.Enter(), qt.IsTrue)
	window.Close()
	qt.Check(t, window.Enter(), qt.IsFalse)
}

// Guards against callers that wait though the router that refused them does not stop.
func TestRetryAfterEndsWhenCallersHaveSwitched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		window := stopper.New(5 * time.Second)
		qt.Check(t, window.RetryAfter(), qt.Equals, time.Duration(0))
		window.Begin()
		qt.Check(t, window.RetryAfter(), qt.Equals, stopper.CallerSwitchTime)
		time.Sleep(time.Second)
		qt.Check(t, window.RetryAfter(), qt.Equals, stopper.CallerSwitchTime-time.Second)
		time.Sleep(3 * time.Second)
		qt.Check(t, window.RetryAfter(), qt.Equals, time.Duration(0))
	})
}
