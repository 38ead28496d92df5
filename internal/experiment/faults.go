package experiment

import "time"

// Times of the faults experiment.
const (
	faultAt   = 10 * time.Second
	faultsRun = 35 * time.Second
)

func faults() *Experiment {
	return &Experiment{
		Name: "faults", Title: "Loss of an instance, and health endpoints that lie",
		plot: plotSpec{x: "time (s)", y: "served at once (%)", lines: true, policies: []string{"least outstanding", "two choices", designName, coreName}},
		run: func(p policy, seed uint64) runOutcome {
			instanceLost := runFault(p, seed, 0.8, func(c *cluster) { c.kill(c.instances[instanceCount-1]) })
			falseHealth := runFault(p, seed, 0.6, killWithFalseHealth)
			result := runOutcome{series: []series{instanceLost.servedCurve("instance lost"), falseHealth.servedCurve("endpoints lie")}}
			result.measures = append(result.measures, faultMeasures("instance lost at 80% load", instanceLost)...)
			result.measures = append(result.measures, faultMeasures("half of the endpoints lie, 60% load", falseHealth)...)
			return result
		},
	}
}

// runFault runs a constant load and applies fault at faultAt.
func runFault(p policy, seed uint64, load float64, fault func(c *cluster)) *cluster {
	c := newCluster(seed, testConfig(), p.newFactory())
	m := &trafficMix{meanShortRun: meanShortRun, nonIdempotentShare: 0.2}
	m.load, m.peakLoad = constantLoad(load)
	m.generate(c.sim, slotCount, faultsRun, func() { c.sendRequest(m) })
	c.at(epoch.Add(faultAt), func() { fault(c) })
	c.run(faultsRun)
	return c
}

// killWithFalseHealth makes the health endpoints of seven of the 15 backend
// servers report a false state: four that work report a failure, and three that
// die report that they are healthy.
func killWithFalseHealth(c *cluster) {
	for i, b := range c.backends[:7] {
		b.falseHealth = true
		b.dead = i >= 4
	}
}

func faultMeasures(name string, c *cluster) []measure {
	s := c.stats
	before := s.sum(time.Second, faultAt)
	after := s.sum(faultAt, faultsRun-deadline)
	limit := 2 * percentile(before.latencies, 0.99)
	return []measure{
		{name, "requests without a response", float64(s.failures), nil},
		{name, "of the requests after the fault (%)", percent(s.failures, after.firstSent), nil},
		{name, "refused requests (%)", percent(s.refusals, s.requests), nil},
		{name, "p99 latency after the fault (ms)", milliseconds(percentile(after.latencies, 0.99)), nil},
		{name, "time to normal service (s)", s.recoveryTime(faultAt, 20*time.Second, limit).Seconds(), nil},
	}
}

// servedCurve returns the percentage of requests served on the first attempt,
// over time.
func (c *cluster) servedCurve(name string) series {
	curve := series{name: name}
	for t := time.Duration(0); t < faultsRun-deadline; t += 2 * windowLength {
		w := c.stats.sum(t, t+2*windowLength)
		curve.x = append(curve.x, t.Seconds())
		curve.y = append(curve.y, percent(len(w.latencies), len(w.latencies)+w.firstAttemptUnserved))
	}
	return curve
}
