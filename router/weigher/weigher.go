// Package weigher distributes requests among parts by weight.
//
// It uses smooth weighted round robin: each request goes to the part with the highest
// credit, so that the shares hold over short sequences of requests as well.
//
// # Usage
//
//	roundRobin := weigher.New([]float64{90, 10})
//	part := roundRobin.Next()
package weigher

import (
	"math/rand/v2"
	"sync"
)

// RoundRobin is a smooth weighted round robin schedule. It is safe for concurrent use.
type RoundRobin struct {
	weights []float64
	total   float64

	mu     sync.Mutex
	credit []float64
}

// New returns a RoundRobin for parts with the given weights, which must not be
// negative. If all are 0, the first part receives all requests. The initial credits are
// random, so that many routers do not start with the same part.
func New(weights []float64) *RoundRobin {
	r := &RoundRobin{weights: make([]float64, len(weights)), credit: make([]float64, len(weights))}
	largest := 0.0
	for _, weight := range weights {
		largest = max(largest, weight)
	}
	for i, weight := range weights {
		if largest > 0 {
			// The sum of large weights could be infinite.
			r.weights[i] = weight / largest
		}
		r.total += r.weights[i]
		r.credit[i] = r.weights[i] * rand.Float64()
	}
	return r
}

// Next returns the index of the part for the next request.
func (r *RoundRobin) Next() int {
	if len(r.weights) == 1 || r.total == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	best := -1
	for i, weight := range r.weights {
		if weight == 0 {
			continue
		}
		r.credit[i] += weight
		if best < 0 || r.credit[i] > r.credit[best] {
			best = i
		}
	}
	r.credit[best] -= r.total
	return best
}
