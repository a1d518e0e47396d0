package queuer

import (
	"math"
	"time"
)

// offeredLoad is the exponentially decayed load that jobs of one rank have offered.
type offeredLoad struct {
	// slots is the load at updated, in slots, and jobs the number of jobs.
	slots   float64
	jobs    float64
	updated time.Duration
}

// offeredLoadTime is the time constant of the decay. It spans several requests per
// slot.
const offeredLoadTime = time.Second

// maxUrgentShare bounds the share of the slots that lower ranks are expected to
// take.
const maxUrgentShare = 0.8

func (l *offeredLoad) add(now, cost time.Duration) {
	l.jobs = l.rate(now) + 1/offeredLoadTime.Seconds()
	l.slots = l.mean(now) + cost.Seconds()/offeredLoadTime.Seconds()
	l.updated = now
}

func (l *offeredLoad) mean(now time.Duration) float64 {
	return l.slots * l.remaining(now)
}

// rate returns the jobs per second.
func (l *offeredLoad) rate(now time.Duration) float64 {
	return l.jobs * l.remaining(now)
}

// remaining returns the share of the load that has not decayed since the last job.
func (l *offeredLoad) remaining(now time.Duration) float64 {
	return math.Exp(-(now - l.updated).Seconds() / offeredLoadTime.Seconds())
}

// urgentShare returns the share of the slots that jobs of lower ranks are expected to
// take.
func (q *Queue) urgentShare(now time.Duration, rank int) float64 {
	busy := 0.0
	for other, load := range q.offered {
		if other < rank {
			busy += load.mean(now)
		}
	}
	return min(busy/float64(max(q.slots, 1)), maxUrgentShare)
}

// urgentRateShare returns the share of the limit that jobs of lower ranks are expected to
// take.
func (q *Queue) urgentRateShare(now time.Duration, rank int) float64 {
	rate := 0.0
	for other, load := range q.offered {
		if other < rank {
			rate += load.rate(now)
		}
	}
	return min(rate/q.Limit(), maxUrgentShare)
}
