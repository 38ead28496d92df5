package experiment

import "time"

const (
	steadyLoad = 0.7
	warmUp     = 5 * time.Second
	steadyRun  = 30 * time.Second
)

// runSteady runs a constant load and measures latencies after the warm-up.
func runSteady(p policy, seed uint64, m *mix) *cluster {
	r := resolved()
	r.Profile.Protect.Deadline = longDeadline
	r.Profile.Protect.QueueTime = longDeadline / 2
	c := newCluster(seed, r, p.make())
	c.stats.from, c.stats.to = warmUp, steadyRun
	m.load, m.peak = constant(steadyLoad)
	m.generate(c.sim, slotCount, steadyRun, func() { c.issue(m) })
	c.run(steadyRun + longDeadline)
	return c
}

func headOfLine() *Experiment {
	return &Experiment{
		Name: "head-of-line", Title: "Short requests among 2% that run 50 times longer, 70% load",
		plot: plotSpec{y: "p99 with over p99 without long requests", metric: "p99 of short requests, ratio"},
		run: func(p policy, seed uint64) outcome {
			var out outcome
			without := runSteady(p, seed, &mix{shortMean: shortRun}).stats
			base := without.short.ValueAtQuantile(99)
			out.measures = append(out.measures, measure{"no long requests", "p99 of short requests (ms)", float64(base) / 1000, nil})
			for _, hidden := range []bool{false, true} {
				name, goal := "2% long", &Goal{true, 1.5}
				if hidden {
					name, goal = "2% long, not predictable", nil
				}
				s := runSteady(p, seed, &mix{shortMean: shortRun, longShare: 0.02, hidden: hidden}).stats
				out.measures = append(out.measures,
					measure{name, "p99 of short requests (ms)", float64(s.short.ValueAtQuantile(99)) / 1000, nil},
					measure{name, "p99 of short requests, ratio", float64(s.short.ValueAtQuantile(99)) / float64(base), goal},
					measure{name, "p99 of long requests (ms)", float64(s.long.ValueAtQuantile(99)) / 1000, nil},
					measure{name, "longest wait of long requests (ms)", milliseconds(s.longestWait), nil},
					measure{name, "long requests completed (%)", percent(int(s.long.TotalCount()), s.longSent), &Goal{false, 100}},
				)
			}
			return out
		},
	}
}
