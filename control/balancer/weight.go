package balancer

import "math"

const (
	// baseThreshold is the imbalance up to which no move is worth its cost.
	baseThreshold = 0.1
	// costFactor converts the weights of churn and unavailable time, relative to
	// the weight of imbalance, into imbalance.
	costFactor = 0.2
	// unavailableFactor is the cost of the pause in a planned move, relative to
	// the cost of the change of owner as churn.
	unavailableFactor = 0.25
	// maxDeficit is the deficit that a server without any load exceeds, so that a
	// new server is filled whatever the weights are.
	maxDeficit = 0.9
	// noiseFactor is the number of standard errors of the measured load that an
	// imbalance must exceed in addition.
	noiseFactor = 3.0
)

// Weights weigh the three measures of a service against each other.
type Weights struct {
	Unavailable int
	Imbalance   int
	Churn       int
}

// Threshold is the imbalance above which moves gain more than they cost. It is
// infinite when imbalance has no weight.
func (w Weights) Threshold() float64 {
	if w.Imbalance <= 0 {
		return math.Inf(1)
	}
	cost := float64(w.Churn) + unavailableFactor*float64(w.Unavailable)
	return baseThreshold + costFactor*cost/float64(w.Imbalance)
}

// Skew is how unevenly load is distributed over servers.
type Skew struct {
	// Mean is the mean utilization.
	Mean float64
	// Excess is the ratio of the largest to the mean utilization, minus 1.
	Excess float64
	// Deficit is 1 minus the ratio of the smallest to the mean utilization.
	Deficit float64
	// Idle reports that there is almost no load, so that servers differ only by
	// their number of shards.
	Idle bool
	// Noise is the part of Excess and Deficit that may be due to chance.
	Noise float64
}

// ShouldMove decides with hysteresis whether to move shards: moves start above the
// threshold and continue until half of it is reached. In an idle service, only
// servers with hardly any shards are filled, since shards that are even by load are
// seldom even by number.
func (w Weights) ShouldMove(skew Skew, active bool) bool {
	if skew.Idle {
		return skew.Deficit > deficitLimit(active)
	}
	threshold := w.Threshold()
	if active {
		threshold /= 2
	}
	return skew.Excess > threshold+skew.Noise || skew.Deficit > min(threshold, deficitLimit(active))+skew.Noise
}

// deficitLimit is the deficit above which a server is filled whatever the weights
// are.
func deficitLimit(active bool) float64 {
	if active {
		return maxDeficit / 2
	}
	return maxDeficit
}
