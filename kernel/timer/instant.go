// Package timer measures elapsed time correctly across the suspension of a VM.
//
// The monotonic clock of the Go runtime stops while a VM is suspended, and the wall clock
// may be set back. An [Instant] holds a reading of both, the time in suspension is added
// to the first where the system tells it, and [Instant.Since] returns the larger of the
// two differences, so that a lease that expired during a suspension is never treated as
// valid.
//
// # Usage
//
//	sent := timer.Now()
//	...
//	if timer.Now().Since(sent) >= lease {
//		// the lease has expired
//	}
//
// Decision logic takes an Instant as an argument and never reads a clock itself,
// so that tests can pass fixed values.
package timer

import (
	"sync/atomic"
	"time"
)

// Instant is one reading of both clocks. The zero value is the origin of both.
type Instant struct {
	// Mono is the monotonic time since the start of the process, with the time in which
	// the VM was suspended.
	Mono time.Duration
	// Wall is the wall-clock time since the Unix epoch.
	Wall time.Duration
}

var processStart = time.Now()

// wallClockOffset is the sum of all changes made with StepWallClock, in nanoseconds.
var wallClockOffset atomic.Int64

// StepWallClock shifts the wall clock that Now returns, to simulate a clock step by an
// operator or a time service. Only fault-injection tests call it.
func StepWallClock(offset time.Duration) {
	wallClockOffset.Add(int64(offset))
}

// Now returns the current reading of both clocks.
func Now() Instant {
	now := time.Now()
	monotonic := now.Sub(processStart)
	return Instant{
		Mono: monotonic + suspendedTime(monotonic),
		Wall: time.Duration(now.UnixNano() + wallClockOffset.Load()),
	}
}

// Since returns the time elapsed between earlier and i: the larger of the
// monotonic and the wall-clock difference.
func (i Instant) Since(earlier Instant) time.Duration {
	return max(i.Mono-earlier.Mono, i.Wall-earlier.Wall)
}

// Add returns the instant d later on both clocks.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Mono: i.Mono + d, Wall: i.Wall + d}
}

// IsZero reports whether i is the zero Instant, which means "never".
func (i Instant) IsZero() bool {
	return i == Instant{}
}

// SinceMonotonic returns the time elapsed between earlier and i on the monotonic clock
// alone. It never exceeds the real elapsed time, even if the wall clock was
// changed, so it is the safe measure of whether a lease held by another process has
// expired.
func (i Instant) SinceMonotonic(earlier Instant) time.Duration {
	return i.Mono - earlier.Mono
}
