package queuer

import "time"

const (
	// minLimit is the lowest rate at which requests are started, in requests a second. A
	// server whose limit is lower would otherwise never get the request whose response
	// shows that it takes more.
	minLimit = 0.5
	// limitBurst is how much of the limit may be saved up for a burst.
	limitBurst = 500 * time.Millisecond
)

// limiter is a token bucket: it spreads the starts of jobs evenly, as a backend server with
// a limit requires. The zero value has no limit.
type limiter struct {
	// rate is in jobs per second; 0 without a limit.
	rate    float64
	tokens  float64
	updated time.Duration
}

// set changes the rate, or removes the limit if the rate is 0.
func (l *limiter) set(now time.Duration, rate float64) {
	if rate > 0 {
		rate = max(rate, minLimit)
	}
	l.refill(now)
	if l.rate == 0 {
		l.tokens = 1
	}
	l.rate = rate
	l.tokens = min(l.tokens, l.burst())
}

func (l *limiter) burst() float64 {
	return max(l.rate*limitBurst.Seconds(), 1)
}

func (l *limiter) refill(now time.Duration) {
	if l.rate > 0 {
		l.tokens = min(l.tokens+l.rate*(now-l.updated).Seconds(), l.burst())
	}
	l.updated = now
}

// take counts the start of a job.
func (l *limiter) take(now time.Duration) {
	l.refill(now)
	l.tokens--
}

// wait returns the time until a job can start that has others ahead of it. ahead need not
// be a whole number.
func (l *limiter) wait(now time.Duration, ahead float64) time.Duration {
	if l.rate == 0 {
		return 0
	}
	l.refill(now)
	missing := 1 + ahead - l.tokens
	if missing <= tokenTolerance {
		return 0
	}
	return time.Duration(missing / l.rate * float64(time.Second))
}

// tokenTolerance covers rounding: a timer set for the time of a token must find it there.
const tokenTolerance = 1e-6
