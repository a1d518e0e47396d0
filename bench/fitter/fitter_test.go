package fitter_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/bench/fitter"
)

func TestFit(t *testing.T) {
	tests := []struct {
		name   string
		points []fitter.Point
		base   float64
		slope  float64
		err    string
	}{
		{name: "exact", points: []fitter.Point{{1, 5}, {2, 7}, {3, 9}}, base: 3, slope: 2},
		{name: "scattered", points: []fitter.Point{{0, 1}, {1, 0}, {2, 3}, {3, 2}}, base: 0.6, slope: 0.6},
		{name: "too few", points: []fitter.Point{{1, 5}, {2, 7}}, err: ".*2 points, need 3"},
		{name: "one size", points: []fitter.Point{{1, 5}, {1, 7}, {1, 9}}, err: ".*all points have the size 1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			line, err := fitter.Fit(test.points)
			if test.err != "" {
				qt.Assert(t, err, qt.ErrorMatches, test.err)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, math.Abs(line.Intercept-test.base) < 1e-9, qt.IsTrue, qt.Commentf("base %g", line.Intercept))
			qt.Check(t, math.Abs(line.Slope-test.slope) < 1e-9, qt.IsTrue, qt.Commentf("slope %g", line.Slope))
		})
	}
}

func TestMarginGrowsWithDistance(t *testing.T) {
	line, err := fitter.Fit([]fitter.Point{{0, 1}, {1, 0}, {2, 3}, {3, 2}})
	qt.Assert(t, err, qt.IsNil)
	_, near := line.At(2)
	_, far := line.At(100)
	qt.Assert(t, near > 0 && far > 10*near, qt.IsTrue, qt.Commentf("near %g, far %g", near, far))
}
