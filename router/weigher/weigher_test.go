package weigher_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/router/weigher"
)

func TestSharesFollowWeights(t *testing.T) {
	tests := []struct {
		name    string
		weights []float64
		want    []float64
	}{
		{name: "one", weights: []float64{5}, want: []float64{1}},
		{name: "nine to one", weights: []float64{90, 10}, want: []float64{0.9, 0.1}},
		{name: "zero weight", weights: []float64{1, 0, 1}, want: []float64{0.5, 0, 0.5}},
		{name: "all weights zero", weights: []float64{0, 0}, want: []float64{1, 0}},
		{name: "sum that is infinite", weights: []float64{1e308, 1e308, 1e307}, want: []float64{10.0 / 21, 10.0 / 21, 1.0 / 21}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			roundRobin := weigher.New(test.weights)
			counts := make([]float64, len(test.weights))
			for request := range 400 {
				counts[roundRobin.Next()]++
				for part, want := range test.want {
					// No part deviates by more than two requests at any time.
					deviation := math.Abs(counts[part] - want*float64(request+1))
					qt.Assert(t, deviation <= 2, qt.IsTrue, qt.Commentf("part %d deviates by %f after %d requests", part, deviation, request+1))
				}
			}
		})
	}
}
