package experiment

import "time"

const (
	steadyLoad = 0.7
	warmUp     = 5 * time.Second
	steadyRun  = 30 * time.Second
	// fewBackends is the number of backend servers of the slip and certificate
	// services.
	fewBackends = 4

	ratioMetric = "p99 of short requests, with over without"
)

// runSteady runs a constant load and records latencies after the warm-up.
func runSteady(p policy, seed uint64, targets int, m *trafficMix) *cluster {
	r := testConfig()
	r.Profile.Protect.Deadline = longDeadline
	r.Profile.Protect.QueueTime = longDeadline / 2
	c := newClusterWithBackends(seed, r, p.newFactory(), targets)
	c.stats.measureFrom, c.stats.measureTo = warmUp, steadyRun
	m.load, m.peakLoad = constantLoad(steadyLoad)
	m.generate(c.sim, targets*slotsPerBackend, steadyRun, func() { c.sendRequest(m) })
	c.run(steadyRun + longDeadline)
	return c
}

func headOfLine() *Experiment {
	return &Experiment{
		Name: "head-of-line", Title: "Short requests among 2% that run 50 times longer, 70% load",
		plot: plotSpec{y: "p99 with over p99 without long requests", metric: ratioMetric},
		run: func(p policy, seed uint64) runOutcome {
			var result runOutcome
			for _, variant := range []struct {
				name    string
				targets int
				hidden  bool
				goal    *Goal
			}{
				{"15 targets", backendCount, false, &Goal{true, 1.5}},
				{"15 targets, not predictable", backendCount, true, nil},
				{"4 targets", fewBackends, false, &Goal{true, 1.5}},
			} {
				without := runSteady(p, seed, variant.targets, &trafficMix{meanShortRun: meanShortRun}).stats
				p99Without := without.short.ValueAtQuantile(99)
				with := runSteady(p, seed, variant.targets, &trafficMix{meanShortRun: meanShortRun, longShare: 0.02, unpredictable: variant.hidden}).stats
				p99With := with.short.ValueAtQuantile(99)
				result.measures = append(result.measures,
					measure{variant.name, "p99 of short requests without long ones (ms)", float64(p99Without) / 1000, nil},
					measure{variant.name, "p99 of short requests with long ones (ms)", float64(p99With) / 1000, nil},
					measure{variant.name, ratioMetric, float64(p99With) / float64(p99Without), variant.goal},
					measure{variant.name, "p99 of long requests (ms)", float64(with.long.ValueAtQuantile(99)) / 1000, nil},
					measure{variant.name, "longest wait of long requests (ms)", milliseconds(with.longestWait), nil},
					measure{variant.name, "long requests completed (%)", percent(int(with.long.TotalCount()), with.longSent), &Goal{false, 100}},
				)
			}
			return result
		},
	}
}
