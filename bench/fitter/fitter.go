// Package fitter fits a straight line to measured points and extrapolates it.
//
// # Usage
//
//	line, err := fitter.Fit([]fitter.Point{{X: 100, Y: 3.1}, {X: 200, Y: 6.0}, {X: 400, Y: 12.2}})
//	value, margin := line.At(1000)
package fitter

import (
	"math"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("fitter")

// MinPoints is the fewest points that a line is fitted to.
const MinPoints = 3

// Point is one measurement: Y at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is a least-squares line, Y = Base + Slope*X.
type Line struct {
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// SlopeError is the standard error of Slope.
	SlopeError float64 `json:"slope_error"`
	// Residual is the standard deviation of the points around the line.
	Residual float64 `json:"residual"`
	// Fit is the coefficient of determination, 1 for a perfect line.
	Fit float64 `json:"fit"`

	count  float64
	mean   float64
	spread float64
}

// Fit fits a line to points. It fails with fewer than MinPoints points or when
// all have the same X.
func Fit(points []Point) (Line, error) {
	if len(points) < MinPoints {
		return Line{}, Error.New("%d points, need %d", len(points), MinPoints)
	}
	count := float64(len(points))
	var sumX, sumY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
	}
	meanX, meanY := sumX/count, sumY/count
	var spreadX, spreadY, joint float64
	for _, p := range points {
		spreadX += (p.X - meanX) * (p.X - meanX)
		spreadY += (p.Y - meanY) * (p.Y - meanY)
		joint += (p.X - meanX) * (p.Y - meanY)
	}
	if spreadX == 0 {
		return Line{}, Error.New("all points have the size %g", meanX)
	}
	line := Line{Slope: joint / spreadX, count: count, mean: meanX, spread: spreadX}
	line.Base = meanY - line.Slope*meanX
	line.judge(points, spreadY)
	return line, nil
}

// judge fills in how well the line fits.
func (l *Line) judge(points []Point, spreadY float64) {
	var squares float64
	for _, p := range points {
		miss := p.Y - (l.Base + l.Slope*p.X)
		squares += miss * miss
	}
	l.Residual = math.Sqrt(squares / (l.count - 2))
	l.SlopeError = l.Residual / math.Sqrt(l.spread)
	l.Fit = 1
	if spreadY > 0 {
		l.Fit = 1 - squares/spreadY
	}
}

// At extrapolates to size x. The margin is twice the standard error of the
// prediction.
func (l Line) At(x float64) (value, margin float64) {
	value = l.Base + l.Slope*x
	distance := x - l.mean
	margin = 2 * l.Residual * math.Sqrt(1+1/l.count+distance*distance/l.spread)
	return value, margin
}
