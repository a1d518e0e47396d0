// Package weigher shares requests out among parts by weight.
//
// The shares hold over short runs as well: each request goes to the part that
// has got least of what it is due (smooth weighted round robin).
//
// # Usage
//
//	wheel := weigher.New([]float64{90, 10})
//	part := wheel.Next()
package weigher

import (
	"math/rand/v2"
	"sync"
)

// Wheel is safe for concurrent use.
type Wheel struct {
	weights []float64
	total   float64

	mu  sync.Mutex
	due []float64
}

// New returns a Wheel over parts with weights that are not negative. When all are
// 0, the first part gets everything. It starts at a random place, so that many
// routers do not begin with the same part.
func New(weights []float64) *Wheel {
	w := &Wheel{weights: weights, due: make([]float64, len(weights))}
	for _, weight := range weights {
		w.total += weight
	}
	for n := range w.due {
		w.due[n] = weights[n] * rand.Float64()
	}
	return w
}

// Next returns the index of the part for the next request.
func (w *Wheel) Next() int {
	if len(w.weights) == 1 || w.total == 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	best := -1
	for n, weight := range w.weights {
		if weight == 0 {
			continue
		}
		w.due[n] += weight
		if best < 0 || w.due[n] > w.due[best] {
			best = n
		}
	}
	w.due[best] -= w.total
	return best
}
