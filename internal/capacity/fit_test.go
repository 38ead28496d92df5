package capacity

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func fitFunction(f func(x float64) float64) Fit {
	var points []Point
	for _, x := range []float64{10, 20, 50, 100} {
		points = append(points, Point{x, f(x)})
	}
	return NewFit(points)
}

// Guards against a curve that is classified and extrapolated as a line.
func TestShapes(t *testing.T) {
	line := fitFunction(func(x float64) float64 { return 3 + 2*x })
	assert.Equal(t, line.Shape, Line)
	assert.Assert(t, math.Abs(line.Slope-2) < 1e-9 && line.StdErr < 1e-6 && math.Abs(line.At(1000)-2003) < 1e-6)
	square := fitFunction(func(x float64) float64 { return x * x })
	assert.Equal(t, square.Shape, Curve)
	assert.Assert(t, math.Abs(square.At(200)-40_000) < 1 && square.At(50) == 2500)
	flat := fitFunction(func(x float64) float64 { return 7 })
	assert.Equal(t, flat.Shape, Constant)
	assert.Equal(t, flat.At(1e6), 7.0)
}

// Guards against a figure over its budget that is not marked as such, and
// against a figure that uses 0 for a measurement that was not run.
func TestTargetMarksExcessAndMissingResults(t *testing.T) {
	figure := Figure{Budget: 5, Value: 6}
	assert.Assert(t, strings.Contains(figure.Ratio(), "OVER"))
	var b strings.Builder
	assert.NilError(t, WriteTarget(&b, nil))
	assert.Assert(t, !strings.Contains(b.String(), "OVER"))
	assert.Equal(t, strings.Count(b.String(), "not measured"), strings.Count(b.String(), "\n| ")-3-constantOnlyFigures)
}

// constantOnlyFigures is the number of figures that are computed from constants
// and need no measurement.
const constantOnlyFigures = 3

// Guards against a CSV file of slopes from which the table of figures at the
// target size cannot be computed again.
func TestCSVRoundTrip(t *testing.T) {
	m := &Measure{Name: "memory-flow", Unit: "B", SizeName: "open flows"}
	written := []Result{{Measure: m, Fit: fitFunction(func(x float64) float64 { return 10 * x }), Measured: true}}
	var b strings.Builder
	assert.NilError(t, WriteCSV(&b, written))
	read, err := ReadCSV(strings.NewReader(b.String()))
	assert.NilError(t, err)
	assert.Equal(t, len(read), 1)
	assert.DeepEqual(t, read[0].Points, written[0].Points)
	assert.Assert(t, read[0].Measured && math.Abs(read[0].Slope-10) < 1e-9)
}

// Guards against UpdatePage changing the text outside the generated table.
func TestUpdatePageKeepsText(t *testing.T) {
	page, err := UpdatePage([]byte("before\n"+beginMarker+"old\n"+endMarker+"after\n"), nil)
	assert.NilError(t, err)
	s := string(page)
	assert.Assert(t, strings.HasPrefix(s, "before\n") && strings.HasSuffix(s, endMarker+"after\n") && !strings.Contains(s, "old\n"))
	_, err = UpdatePage([]byte("no marks"), nil)
	assert.ErrorContains(t, err, "marks")
}
