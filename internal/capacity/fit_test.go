package capacity

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func curve(y func(x float64) float64) Fit {
	var points []Point
	for _, x := range []float64{10, 20, 50, 100} {
		points = append(points, Point{x, y(x)})
	}
	return NewFit(points)
}

// Guards against a curve that is reported and extrapolated as a line.
func TestShapes(t *testing.T) {
	line := curve(func(x float64) float64 { return 3 + 2*x })
	assert.Equal(t, line.Shape, Line)
	assert.Assert(t, math.Abs(line.Slope-2) < 1e-9 && line.StdErr < 1e-6 && math.Abs(line.At(1000)-2003) < 1e-6)
	square := curve(func(x float64) float64 { return x * x })
	assert.Equal(t, square.Shape, Curve)
	assert.Assert(t, math.Abs(square.At(200)-40_000) < 1 && square.At(50) == 2500)
	flat := curve(func(x float64) float64 { return 7 })
	assert.Equal(t, flat.Shape, Constant)
	assert.Equal(t, flat.At(1e6), 7.0)
}

// Guards against an excess that is not printed as such, and against a figure
// that counts a measure which was not made as 0.
func TestTargetNamesExcessAndGaps(t *testing.T) {
	over := Figure{Budget: 5, Value: 6}
	assert.Assert(t, strings.Contains(over.Ratio(), "OVER"))
	var b strings.Builder
	assert.NilError(t, WriteTarget(&b, nil))
	assert.Assert(t, !strings.Contains(b.String(), "OVER"))
	assert.Equal(t, strings.Count(b.String(), "not measured"), strings.Count(b.String(), "\n| ")-3-noMeasure)
}

// noMeasure is the number of figures that are computed from constants only.
const noMeasure = 3
