package throttler

import (
	"maps"
	"math"
	"slices"
	"time"
)

// rankState is what a Controller knows of the requests of one rank.
type rankState struct {
	arrived  int
	admitted int
	// fraction is what entry routers are asked to send, applied the estimate of what they
	// do send: they hear of a fraction with a delay.
	fraction float64
	applied  float64
}

// Controller computes the fractions of requests that entry routers should send to one
// backend server. It is not safe for concurrent use.
type Controller struct {
	started time.Duration
	ranks   map[int]*rankState
}

// NewController returns a Controller that asks for all requests.
func NewController() *Controller {
	return &Controller{ranks: make(map[int]*rankState)}
}

// Observe counts a request and whether it was admitted.
func (c *Controller) Observe(now time.Duration, rank int, admitted bool) {
	if now-c.started >= adjustInterval {
		c.adjust(now)
	}
	state := c.ranks[rank]
	if state == nil {
		state = &rankState{fraction: 1, applied: 1}
		c.ranks[rank] = state
	}
	state.arrived++
	if admitted {
		state.admitted++
	}
}

// Fraction returns the fraction of the requests of a rank that entry routers should send.
func (c *Controller) Fraction(rank int) float64 {
	if state := c.ranks[rank]; state != nil {
		return state.fraction
	}
	return 1
}

// adjust ends an interval: it sets the fractions anew if more arrived than the headroom
// allows, and raises them otherwise.
func (c *Controller) adjust(now time.Duration) {
	elapsed := now - c.started
	c.started = now
	if elapsed >= 2*decayTime {
		clear(c.ranks)
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/appliedTime.Seconds())
	arrived, admitted := 0, 0
	for _, state := range c.ranks {
		state.applied += weight * (state.fraction - state.applied)
		arrived += state.arrived
		admitted += state.admitted
	}
	allowed := headroom * float64(admitted)
	if arrived >= minArrivals && float64(arrived) > allowed {
		c.divide(allowed)
	} else {
		c.raise()
	}
	for _, state := range c.ranks {
		state.arrived, state.admitted = 0, 0
	}
}

// divide sets the fractions so that a number of requests arrives in an interval, the most
// urgent ones first.
func (c *Controller) divide(allowed float64) {
	for _, rank := range slices.Sorted(maps.Keys(c.ranks)) {
		state := c.ranks[rank]
		if state.arrived == 0 {
			continue
		}
		demand := float64(state.arrived) / state.applied
		fraction := min(max(allowed/demand, minFraction), 1)
		state.fraction += changeWeight * (fraction - state.fraction)
		allowed = max(allowed-demand, 0)
	}
}

// raise raises the fractions, the most urgent rank first: a less urgent one follows when
// all of the more urgent ones are sent.
func (c *Controller) raise() {
	for _, rank := range slices.Sorted(maps.Keys(c.ranks)) {
		if state := c.ranks[rank]; state.fraction < 1 {
			state.fraction = min(state.fraction*maxIncrease, 1)
			return
		}
	}
}
