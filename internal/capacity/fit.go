// Package capacity measures how state, messages, processor time and delays of
// an instance grow, fits a line to each, and computes the figures at the target
// size. It drives the real packages over a virtual clock, and loopback sockets
// where the cost of the network path counts.
package capacity

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: Y at size X.
type Point struct{ X, Y float64 }

// Shape tells how a curve grows.
type Shape uint8

// Shapes of a curve.
const (
	Line     Shape = iota
	Constant       // the greatest value is within constantRange of the least
	Curve          // neither; extrapolated by a power of the size
)

const (
	maxConstantRatio = 1.25
	minLineR2        = 0.98
)

// Fit is a least-squares line through the points of a measurement.
type Fit struct {
	Points           []Point
	Intercept, Slope float64
	StdErr           float64 // standard error of Slope
	R2               float64
	Exponent         float64 // slope of log Y over log X; NaN when Y is not positive
	Shape            Shape
}

// NewFit fits a line. It needs at least three sizes.
func NewFit(points []Point) Fit {
	f := Fit{Points: points, Exponent: math.NaN()}
	var x, y, lx, ly []float64
	for _, p := range points {
		x, y = append(x, p.X), append(y, p.Y)
		if p.X > 0 && p.Y > 0 {
			lx, ly = append(lx, math.Log(p.X)), append(ly, math.Log(p.Y))
		}
	}
	f.Intercept, f.Slope = stat.LinearRegression(x, y, nil, false)
	f.R2 = stat.RSquared(x, y, nil, f.Intercept, f.Slope)
	var rest float64
	for i := range x {
		r := y[i] - f.Intercept - f.Slope*x[i]
		rest += r * r
	}
	n := float64(len(x))
	f.StdErr = math.Sqrt(rest/(n-2)) / math.Sqrt((n-1)*stat.Variance(x, nil))
	if len(lx) > 2 {
		_, f.Exponent = stat.LinearRegression(lx, ly, nil, false)
	}
	switch least, most := slices.Min(y), slices.Max(y); {
	case most == least || least > 0 && most <= maxConstantRatio*least:
		f.Shape = Constant
	case f.R2 >= minLineR2:
		f.Shape = Line
	default:
		f.Shape = Curve
	}
	return f
}

// Last returns the measurement at the greatest size.
func (f *Fit) Last() Point { return f.Points[len(f.Points)-1] }

// At returns the value at size x: on the line, the greatest measured value of
// a constant, or the last value scaled by the fitted power of the size.
func (f *Fit) At(x float64) float64 {
	switch f.Shape {
	case Constant:
		most := f.Points[0].Y
		for _, p := range f.Points {
			most = max(most, p.Y)
		}
		return most
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
