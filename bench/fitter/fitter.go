// Package fitter fits a straight line to points by least squares and extrapolates
// it.
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

// MinPoints is the minimum number of points for a fit.
const MinPoints = 3

// Point is a value Y measured at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is a least-squares line, Y = Intercept + Slope*X.
type Line struct {
	Intercept float64 `json:"base"`
	Slope     float64 `json:"slope"`
	// SlopeError is the standard error of Slope.
	SlopeError float64 `json:"slope_error"`
	// Residual is the standard deviation of the points around the line.
	Residual float64 `json:"residual"`
	// RSquared is the coefficient of determination, 1 for a perfect line.
	RSquared float64 `json:"fit"`

	count float64
	mean  float64
	// sumSquares is the sum of the squared deviations of X from its mean.
	sumSquares float64
}

// Fit fits a line to points. It returns an error if there are fewer than
// MinPoints points or if all have the same X.
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
	var sumSquaresX, sumSquaresY, sumProducts float64
	for _, p := range points {
		sumSquaresX += (p.X - meanX) * (p.X - meanX)
		sumSquaresY += (p.Y - meanY) * (p.Y - meanY)
		sumProducts += (p.X - meanX) * (p.Y - meanY)
	}
	if sumSquaresX == 0 {
		return Line{}, Error.New("all points have the size %g", meanX)
	}
	line := Line{Slope: sumProducts / sumSquaresX, count: count, mean: meanX, sumSquares: sumSquaresX}
	line.Intercept = meanY - line.Slope*meanX
	line.computeErrors(points, sumSquaresY)
	return line, nil
}

// computeErrors sets SlopeError, Residual and RSquared.
func (l *Line) computeErrors(points []Point, sumSquaresY float64) {
	var squaredResiduals float64
	for _, p := range points {
		residual := p.Y - (l.Intercept + l.Slope*p.X)
		squaredResiduals += residual * residual
	}
	l.Residual = math.Sqrt(squaredResiduals / (l.count - 2))
	l.SlopeError = l.Residual / math.Sqrt(l.sumSquares)
	l.RSquared = 1
	if sumSquaresY > 0 {
		l.RSquared = 1 - squaredResiduals/sumSquaresY
	}
}

// At extrapolates to size x. The margin is twice the standard error of the
// prediction.
func (l Line) At(x float64) (value, margin float64) {
	value = l.Intercept + l.Slope*x
	deviation := x - l.mean
	margin = 2 * l.Residual * math.Sqrt(1+1/l.count+deviation*deviation/l.sumSquares)
	return value, margin
}
