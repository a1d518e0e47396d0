package weigher_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/router/weigher"
)

func TestShares(t *testing.T) {
	tests := []struct {
		name    string
		weights []float64
		want    []float64
	}{
		{name: "one", weights: []float64{5}, want: []float64{1}},
		{name: "nine to one", weights: []float64{90, 10}, want: []float64{0.9, 0.1}},
		{name: "none for the second", weights: []float64{1, 0, 1}, want: []float64{0.5, 0, 0.5}},
		{name: "no weight at all", weights: []float64{0, 0}, want: []float64{1, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			wheel := weigher.New(test.weights)
			counts := make([]float64, len(test.weights))
			for turn := range 400 {
				counts[wheel.Next()]++
				for n, want := range test.want {
					// Each part is never more than two requests off.
					off := math.Abs(counts[n] - want*float64(turn+1))
					qt.Assert(t, off <= 2, qt.IsTrue, qt.Commentf("part %d is %f off after %d", n, off, turn+1))
				}
			}
		})
	}
}
