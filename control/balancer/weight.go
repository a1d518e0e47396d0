package balancer

import "math"

const (
	// baseThreshold is the imbalance that is never worth a move.
	baseThreshold = 0.1
	// costFactor turns weights of churn and unavailable time, in proportion to
	// that of imbalance, into imbalance.
	costFactor = 0.2
	// unavailablePart is the part of an owner change's cost that the pause of a
	// planned move makes, against its churn.
	unavailablePart = 0.25
	// maxDeficit is the deficit that a server without any work exceeds, so that
	// a new server is filled whatever the weights are.
	maxDeficit = 0.9
	// noiseFactor is how many standard errors of the measured load an imbalance
	// must exceed besides.
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
	cost := float64(w.Churn) + unavailablePart*float64(w.Unavailable)
	return baseThreshold + costFactor*cost/float64(w.Imbalance)
}

// Skew is how unevenly work lands on servers.
type Skew struct {
	// Mean is the mean utilization.
	Mean float64
	// Excess is the largest utilization to the mean, less 1.
	Excess float64
	// Deficit is 1 less the smallest utilization to the mean.
	Deficit float64
	// Idle says that there is next to no work, so that only the number of shards
	// tells servers apart.
	Idle bool
	// Noise is the part of Excess and Deficit that may be chance.
	Noise float64
}

// IsActive decides with hysteresis whether to move shards: moves start above
// the threshold and go on until half of it is reached. Without work only servers
// with hardly any shards are filled, since shards that are even by their work are
// seldom even by their number.
func (w Weights) IsActive(skew Skew, active bool) bool {
	if skew.Idle {
		return skew.Deficit > limitOf(active)
	}
	threshold := w.Threshold()
	if active {
		threshold /= 2
	}
	return skew.Excess > threshold+skew.Noise || skew.Deficit > min(threshold, limitOf(active))+skew.Noise
}

// limitOf is the deficit above which a server is filled whatever the weights.
func limitOf(active bool) float64 {
	if active {
		return maxDeficit / 2
	}
	return maxDeficit
}
