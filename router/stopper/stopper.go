// Package stopper measures the time that a stopping process has left.
//
// # Usage
//
//	window := new(stopper.Window)
//	window.Begin()
//	elapsed, stopping := window.Elapsed()
package stopper

import (
	"sync/atomic"
	"time"

	"marigoldhill/kernel/timer"
)

// Window is the time from the beginning of a stop to the end of the process. The zero
// value has not begun, and nil never begins. Its methods are safe for concurrent use.
type Window struct {
	began atomic.Pointer[timer.Instant]
}

// Begin begins the stop.
func (w *Window) Begin() {
	now := timer.Now()
	w.began.CompareAndSwap(nil, &now)
}

// Elapsed returns how long ago the stop began, and false if it has not.
func (w *Window) Elapsed() (elapsed time.Duration, stopping bool) {
	if w == nil {
		return 0, false
	}
	began := w.began.Load()
	if began == nil {
		return 0, false
	}
	return timer.Now().SinceMonotonic(*began), true
}
