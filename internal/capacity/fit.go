// Package capacity measures how the memory, messages, CPU time and delays of an
// instance grow with the size of the deployment, fits a line to each
// measurement, and computes the figures at the target size. It drives the
// production packages with a virtual clock, and uses loopback sockets where the
// cost of the network path matters.
package capacity

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: the value Y at size X.
type Point struct{ X, Y float64 }

// Shape classifies how a measured value grows with the size.
type Shape uint8

// Shapes of a measurement.
const (
	Line     Shape = iota
	Constant       // the greatest value is at most maxConstantRatio times the least
	Curve          // neither of the two; extrapolated by a power of the size
)

const (
	maxConstantRatio = 1.25 // greatest over least value
	minLineR2        = 0.98 // coefficient of determination
)

// Fit is a least-squares line through the points of a measurement.
type Fit struct {
	Points           []Point
	Intercept, Slope float64
	StdErr           float64 // standard error of Slope
	R2               float64 // coefficient of determination of the line
	Exponent         float64 // slope of log Y over log X; NaN when fewer than three points are positive
	Shape            Shape
}

// NewFit fits a line to points, which must cover at least three sizes.
func NewFit(points []Point) Fit {
	f := Fit{Points: points, Exponent: math.NaN()}
	var x, y, logX, logY []float64
	for _, p := range points {
		x, y = append(x, p.X), append(y, p.Y)
		if p.X > 0 && p.Y > 0 {
			logX, logY = append(logX, math.Log(p.X)), append(logY, math.Log(p.Y))
		}
	}
	f.Intercept, f.Slope = stat.LinearRegression(x, y, nil, false)
	f.R2 = stat.RSquared(x, y, nil, f.Intercept, f.Slope)
	var squaredResiduals float64
	for i := range x {
		residual := y[i] - f.Intercept - f.Slope*x[i]
		squaredResiduals += residual * residual
	}
	n := float64(len(x))
	f.StdErr = math.Sqrt(squaredResiduals/(n-2)) / math.Sqrt((n-1)*stat.Variance(x, nil))
	if len(logX) > 2 {
		_, f.Exponent = stat.LinearRegression(logX, logY, nil, false)
	}
	switch minY, maxY := slices.Min(y), slices.Max(y); {
	case maxY == minY || minY > 0 && maxY <= maxConstantRatio*minY:
		f.Shape = Constant
	case f.R2 >= minLineR2:
		f.Shape = Line
	default:
		f.Shape = Curve
	}
	return f
}

// Last returns the measurement at the greatest size, which is the last point.
func (f *Fit) Last() Point { return f.Points[len(f.Points)-1] }

// At returns the value at size x. For a Line it is the value on the line, and for
// a Constant the greatest measured value. For a Curve it is the value measured at
// x, or if there is none, the last measured value scaled by the fitted power of
// the size.
func (f *Fit) At(x float64) float64 {
	switch f.Shape {
	case Constant:
		largest := f.Points[0].Y
		for _, p := range f.Points {
			largest = max(largest, p.Y)
		}
		return largest
	case Line:
		return f.Intercept + f.Slope*x
	}
	for _, p := range f.Points {
		if p.X == x {
			return p.Y
		}
	}
	last := f.Last()
	if math.IsNaN(f.Exponent) || x <= 0 {
		return max(last.Y, f.Intercept+f.Slope*x)
	}
	return last.Y * math.Pow(x/last.X, f.Exponent)
}
