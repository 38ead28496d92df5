package capacity

import (
	"log/slog"
	"time"
)

// Measure is a quantity that is measured at several sizes.
type Measure struct {
	Name     string // identifies the measure in the tables
	Unit     string
	SizeName string // what the size counts, such as "open flows"
	// Sizes has at least four entries, so that a curve can be distinguished from
	// a line.
	Sizes []float64
	Run   func(size float64) float64
	// Note describes what the quantity includes.
	Note string
}

// Result holds the points and the fit of a measure. Measured is false if the
// time limit expired before four sizes were measured.
type Result struct {
	*Measure
	Fit
	Measured bool
	Elapsed  time.Duration
}

// RunAll runs the measures in order. After limit no further size is measured;
// the size in progress is completed.
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

// All returns the measures in order of importance, since those at the end are
// skipped when the time limit expires.
func All() []Measure {
	var all []Measure
	for _, group := range [][]Measure{memoryMeasures(), processorMeasures(), linkMeasures(), ownershipMeasures(), fleetMeasures()} {
		all = append(all, group...)
	}
	return all
}
