package capacity

import (
	"log/slog"
	"time"
)

// Measure is a quantity over the size that it depends on.
type Measure struct {
	Name     string // identifies it in the tables
	Unit     string
	SizeName string // what the sizes count
	// Sizes are four or more, so that a curve can be told from a line.
	Sizes []float64
	Run   func(size float64) float64
	// Note tells what the quantity includes.
	Note string
}

// Result is the outcome of a measure. Measured is false when the time limit
// left no time for it.
type Result struct {
	*Measure
	Fit
	Measured bool
	Elapsed  time.Duration
}

// RunAll runs the measures until the limit. A measure that has begun is
// completed up to the size that it has reached.
func RunAll(measures []Measure, limit time.Duration) []Result {
	end := time.Now().Add(limit)
	results := make([]Result, len(measures))
	for i := range measures {
		m := &measures[i]
		r := &results[i]
		r.Measure = m
		begin := time.Now()
		var points []Point
		for _, size := range m.Sizes {
			if time.Now().After(end) {
				break
			}
			points = append(points, Point{size, m.Run(size)})
		}
		r.Elapsed = time.Since(begin)
		if r.Measured = len(points) >= 4; r.Measured {
			r.Fit = NewFit(points)
		}
		slog.Info("measured", "name", m.Name, "complete", r.Measured, "slope", r.Slope, "r2", r.R2, "seconds", r.Elapsed.Seconds())
	}
	return results
}

// All returns the measures, the most important first.
func All() []Measure {
	var all []Measure
	for _, group := range [][]Measure{memoryMeasures(), processorMeasures(), linkMeasures(), ownershipMeasures(), fleetMeasures()} {
		all = append(all, group...)
	}
	return all
}
