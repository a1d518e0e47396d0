package chooser

import (
	"math/rand/v2"
	"time"
)

// coldShare is the share of one router in the rate of a cold server: one request per
// interval, in which all routers together reach the rate. The phase is random, so that the
// routers do not send at the same time. Requests beyond the share push the next one back.
type coldShare struct {
	// interval is 0 while the server is warm.
	interval time.Duration
	// next is when the router may send the next request.
	next time.Duration
	// seen is when the server was last a candidate.
	seen time.Duration
}

// shareMemory is how long the phase of a share is kept while its server is no candidate. A
// server that crashed or was evacuated again is away for longer.
const shareMemory = time.Second

// wait returns the time until the share of the router allows one more request to a
// candidate, 0 if the candidate is warm.
func (s *coldShare) wait(now time.Duration, candidate Candidate, routers int) time.Duration {
	if candidate.ColdRate <= 0 {
		s.interval = 0
		return 0
	}
	interval := time.Duration(float64(max(routers, 1)) / candidate.ColdRate * float64(time.Second))
	if s.interval == 0 || now-s.seen > shareMemory {
		s.next = now + time.Duration(rand.Float64()*float64(interval))
	}
	s.interval, s.seen = interval, now
	return max(s.next-now, 0)
}

// take uses up one request of the share.
func (s *coldShare) take(now time.Duration) {
	s.next = max(s.next, now) + s.interval
}
