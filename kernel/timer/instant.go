// Package timer measures elapsed time in a way that stays safe when a VM was
// suspended.
//
// The monotonic clock of some platforms stops while a VM is suspended, and the
// wall clock may be set back. An [Instant] holds a reading of both, and
// [Instant.Since] answers with the larger of the two differences, so that a
// lease that lapsed during a suspension is never trusted.
//
// # Usage
//
//	sent := timer.Now()
//	...
//	if timer.Now().Since(sent) >= lease {
//		// the lease lapsed
//	}
//
// Decision logic takes an Instant as an argument and never reads a clock
// itself, so tests drive it with plain values.
package timer

import (
	"sync/atomic"
	"time"
)

// Instant is one reading of both clocks. The zero value is the start of both.
type Instant struct {
	// Mono is the monotonic clock, counted from the start of the process.
	Mono time.Duration
	// Wall is the wall clock, counted from the Unix epoch.
	Wall time.Duration
}

var processStart = time.Now()

// step is by how much Step moved the wall clock.
var step atomic.Int64

// Step moves the wall clock that Now reads, as an operator or a time service may.
// Only fault tests call it.
func Step(by time.Duration) {
	step.Add(int64(by))
}

// Now reads both clocks.
func Now() Instant {
	now := time.Now()
	return Instant{
		Mono: now.Sub(processStart),
		Wall: time.Duration(now.UnixNano() + step.Load()),
	}
}

// Since returns the time that passed between earlier and i: the larger of what
// the monotonic and the wall clock say.
func (i Instant) Since(earlier Instant) time.Duration {
	return max(i.Mono-earlier.Mono, i.Wall-earlier.Wall)
}

// Add returns the instant d later on both clocks.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Mono: i.Mono + d, Wall: i.Wall + d}
}

// IsZero reports whether i is the zero Instant, used for "never".
func (i Instant) IsZero() bool {
	return i == Instant{}
}

// Steady returns the time that passed between earlier and i by the monotonic clock
// alone. It is never more than really passed, whatever the wall clock was set to,
// so it tells when what others hold is over for certain.
func (i Instant) Steady(earlier Instant) time.Duration {
	return i.Mono - earlier.Mono
}
