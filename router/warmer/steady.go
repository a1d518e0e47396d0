package warmer

import "time"

// minSpan is the least time between two changes of a Steady. Each change is a command in
// the log of the control group, and an update for all routers.
const minSpan = 500 * time.Millisecond

// Steady delays changes of a state that is passed on to others, so that there are at most
// two of them per second. The zero value is a state that is false.
type Steady struct {
	value   bool
	ever    bool
	changed time.Duration
}

// Update returns the state to pass on.
func (s *Steady) Update(now time.Duration, value bool) bool {
	if value != s.value && (!s.ever || now-s.changed >= minSpan) {
		s.value, s.ever, s.changed = value, true, now
	}
	return s.value
}
