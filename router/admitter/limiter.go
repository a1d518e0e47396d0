package admitter

import (
	"time"

	"marigoldhill/kernel/timer"
)

const (
	// shedCut and slowCut are what the limit is multiplied with when the server
	// sheds or fails, and when its latency grows.
	shedCut = 0.7
	slowCut = 0.9
	// cutInterval is the least time between two cuts, so that one burst of bad
	// answers counts once.
	cutInterval = 200 * time.Millisecond
	// slowRatio is the latency, as a multiple of the usual one, that counts as
	// slow.
	slowRatio = 2.0
	// slowFloor is the part of the slots that slowness alone leaves.
	slowFloor = 0.5
	// growth is how much the limit grows over the answers of one full round.
	growth = 0.5
	// warmTime is how long a cold server takes to get all its slots, coldPart
	// the part that it starts with.
	warmTime = 10 * time.Second
	coldPart = 0.25
	// recentWeight, fallWeight and riseWeight are the weights of a new sample
	// in the recent latency, and in the usual latency below and above it.
	recentWeight = 0.2
	fallWeight   = 0.1
	riseWeight   = 0.005
)

// Sample is what was observed of one request at the backend server.
type Sample struct {
	// Time is how long it took.
	Time time.Duration
	// Shed says that the server refused it for load; Failed that it got no
	// whole answer.
	Shed   bool
	Failed bool
}

// latency is what is known of the service time of one profile, in seconds.
type latency struct {
	recent float64
	usual  float64
}

func (l *latency) add(sample float64) {
	if l.usual == 0 {
		l.recent = sample
		l.usual = sample
		return
	}
	l.recent += recentWeight * (sample - l.recent)
	weight := riseWeight
	if sample < l.usual {
		weight = fallWeight
	}
	l.usual += weight * (sample - l.usual)
}

func (l *latency) isSlow() bool {
	return l.recent > slowRatio*l.usual
}

// mean is the expected service time.
func (l *latency) mean() time.Duration {
	return time.Duration(l.recent * float64(time.Second))
}

// limiter decides how many requests may run at once: at most the announced
// slots, cut back by what is observed and grown again step by step.
type limiter struct {
	slots   int
	limit   float64
	cold    bool
	since   timer.Instant
	cut     timer.Instant
	profile map[string]*latency
}

func newLimiter(now timer.Instant, slots int, cold bool) *limiter {
	l := &limiter{slots: slots, cold: cold, since: now, profile: make(map[string]*latency)}
	l.limit = l.top(now)
	return l
}

// top is the highest limit at now.
func (l *limiter) top(now timer.Instant) float64 {
	slots := float64(l.slots)
	warm := now.Since(l.since)
	if !l.cold || warm >= warmTime {
		return slots
	}
	part := coldPart + (1-coldPart)*float64(warm)/float64(warmTime)
	return max(1, slots*part)
}

// allowed is the number of requests that may run at now.
func (l *limiter) allowed(now timer.Instant) int {
	return max(1, int(min(l.limit, l.top(now))))
}

func (l *limiter) latency(profile string) *latency {
	known, ok := l.profile[profile]
	if !ok {
		known = &latency{}
		l.profile[profile] = known
	}
	return known
}

// observe takes a sample while running requests were at the server.
func (l *limiter) observe(now timer.Instant, profile string, running int, sample Sample) {
	if sample.Shed || sample.Failed {
		l.reduce(now, shedCut, 1)
		return
	}
	known := l.latency(profile)
	known.add(sample.Time.Seconds())
	if known.isSlow() {
		l.reduce(now, slowCut, slowFloor*float64(l.slots))
		return
	}
	// A limit that is not used says nothing, so it does not grow.
	if float64(running) >= l.limit-1 || l.cold {
		l.limit = min(l.top(now), l.limit+growth/l.limit)
	}
}

// reduce cuts the limit, not below floor.
func (l *limiter) reduce(now timer.Instant, factor, floor float64) {
	if !l.cut.IsZero() && now.Since(l.cut) < cutInterval {
		return
	}
	l.cut = now
	l.limit = max(1, min(l.limit, max(floor, l.limit*factor)))
}
