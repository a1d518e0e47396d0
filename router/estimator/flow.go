package estimator

import (
	"math"
	"time"
)

// flowTime is the time constant of the decay of a flow. It spans some tens of answers on
// a link that is full.
const flowTime = time.Second

// flow is the exponentially decayed rate of bytes, and of the items that they belong to.
type flow struct {
	bytes   float64
	items   float64
	updated time.Duration
}

func (f *flow) add(now time.Duration, size float64) {
	remaining := f.remaining(now)
	f.bytes = f.bytes*remaining + size/flowTime.Seconds()
	f.items = f.items*remaining + 1/flowTime.Seconds()
	f.updated = now
}

// rate returns the bytes per second.
func (f *flow) rate(now time.Duration) float64 {
	return f.bytes * f.remaining(now)
}

// mean returns the mean size of an item, or 0 without items.
func (f *flow) mean() float64 {
	if f.items == 0 {
		return 0
	}
	return f.bytes / f.items
}

// remaining returns the share that has not decayed since the last item.
func (f *flow) remaining(now time.Duration) float64 {
	return math.Exp(-(now - f.updated).Seconds() / flowTime.Seconds())
}
