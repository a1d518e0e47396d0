package admitter

import (
	"time"

	"marigoldhill/kernel/timer"
)

const (
	// shedFactor and slowFactor multiply the limit when the server sheds load or
	// fails, and when it is slow.
	shedFactor = 0.7
	slowFactor = 0.9
	// reduceInterval is the minimum time between two reductions, so that a burst of
	// failures reduces the limit once.
	reduceInterval = 200 * time.Millisecond
	// slowRatio is the ratio of recent to baseline latency above which the server
	// counts as slow.
	slowRatio = 2.0
	// slowFloor is the share of the slots below which slowness alone does not reduce
	// the limit.
	slowFloor = 0.5
	// growthPerRound is the increase of the limit over as many responses as the limit.
	growthPerRound = 0.5
	// warmUpTime is the time until a cold server may use all its slots, coldShare
	// the share of them that it starts with.
	warmUpTime = 10 * time.Second
	coldShare  = 0.25
	// recentWeight is the weight of a new sample in the recent latency.
	// decreaseWeight and increaseWeight are its weights in the baseline latency if
	// it is below or above the baseline.
	recentWeight   = 0.2
	decreaseWeight = 0.1
	increaseWeight = 0.005
	// trialInterval is the age from which the latency of a profile is measured anew by a
	// request that would be refused for it; trialWeight is the weight of that one.
	trialInterval = time.Second
	trialWeight   = 0.5
)

// Sample holds the measurements of one request at the backend server.
type Sample struct {
	// Latency is the service time.
	Latency time.Duration
	// Shed means that the server refused the request because of load, Failed that
	// no complete response was received.
	Shed   bool
	Failed bool
	// trial is set if the request was admitted to measure the latency of its profile.
	trial bool
}

// latency holds moving averages of the service time of one profile, in seconds.
type latency struct {
	recent   float64
	baseline float64
	// updated is when a sample was last added or a trial began.
	updated timer.Instant
}

// takeTrial reports whether a request is to measure the latency anew. The load pattern is a
// server that was slow and is full of requests of other profiles: each request of this one would
// have to wait, and be refused as too slow, so that none shows that it is fast again.
func (l *latency) takeTrial(now timer.Instant) bool {
	if !l.updated.IsZero() && now.SinceMonotonic(l.updated) < trialInterval {
		return false
	}
	l.updated = now
	return true
}

func (l *latency) add(now timer.Instant, sample float64, trial bool) {
	l.updated = now
	if l.baseline == 0 {
		l.recent = sample
		l.baseline = sample
		return
	}
	weight := recentWeight
	if trial {
		weight = trialWeight
	}
	l.recent += weight * (sample - l.recent)
	weight = increaseWeight
	if sample < l.baseline {
		weight = decreaseWeight
	}
	l.baseline += weight * (sample - l.baseline)
}

func (l *latency) isSlow() bool {
	return l.recent > slowRatio*l.baseline
}

// mean returns the expected service time.
func (l *latency) mean() time.Duration {
	return time.Duration(l.recent * float64(time.Second))
}

// limiter adapts the concurrency limit: at most the announced slots, decreased
// multiplicatively on shed load, failures and slowness, and increased additively.
type limiter struct {
	slots   int
	limit   float64
	cold    bool
	started timer.Instant
	reduced timer.Instant
	profile map[string]*latency
}

func newLimiter(now timer.Instant, slots int, cold bool) *limiter {
	l := &limiter{slots: slots, cold: cold, started: now, profile: make(map[string]*latency)}
	l.limit = l.maxLimit(now)
	return l
}

// maxLimit returns the upper bound of the limit at now. It rises linearly while a cold
// server warms up.
func (l *limiter) maxLimit(now timer.Instant) float64 {
	slots := float64(l.slots)
	elapsed := now.Since(l.started)
	if !l.cold || elapsed >= warmUpTime {
		return slots
	}
	share := coldShare + (1-coldShare)*float64(elapsed)/float64(warmUpTime)
	return max(1, slots*share)
}

// allowed returns the number of requests that may run at now.
func (l *limiter) allowed(now timer.Instant) int {
	return max(1, int(min(l.limit, l.maxLimit(now))))
}

func (l *limiter) latency(profile string) *latency {
	known, ok := l.profile[profile]
	if !ok {
		known = &latency{}
		l.profile[profile] = known
	}
	return known
}

// observe updates the limit with a sample; running is the number of requests at the
// server when it ended.
func (l *limiter) observe(now timer.Instant, profile string, running int, sample Sample) {
	if sample.Shed || sample.Failed {
		l.reduce(now, shedFactor, 1)
		return
	}
	known := l.latency(profile)
	known.add(now, sample.Latency.Seconds(), sample.trial)
	if known.isSlow() {
		l.reduce(now, slowFactor, slowFloor*float64(l.slots))
		return
	}
	// A response at low concurrency is no evidence that the server can take more.
	if float64(running) >= l.limit-1 || l.cold {
		l.limit = min(l.maxLimit(now), l.limit+growthPerRound/l.limit)
	}
}

// reduce multiplies the limit by factor, but not below floor.
func (l *limiter) reduce(now timer.Instant, factor, floor float64) {
	if !l.reduced.IsZero() && now.Since(l.reduced) < reduceInterval {
		return
	}
	l.reduced = now
	l.limit = max(1, min(l.limit, max(floor, l.limit*factor)))
}
