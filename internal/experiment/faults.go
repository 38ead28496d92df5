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
			lost := runFault(p, seed, 0.8, func(c *cluster) { c.kill(c.instances[instanceCount-1]) })
			liars := runFault(p, seed, 0.6, killWithFalseHealth)
			out := runOutcome{series: []series{lost.servedCurve("instance lost"), liars.servedCurve("endpoints lie")}}
			out.measures = append(out.measures, faultMeasures("instance lost at 80% load", lost)...)
			out.measures = append(out.measures, faultMeasures("half of the endpoints lie, 60% load", liars)...)
			return out
		},
	}
}

// runFault runs a constant load with a fault at faultAt. In the first four
// backend servers the health endpoint reports a failure from the start if the
// fault is one of lies.
func runFault(p policy, seed uint64, load float64, fault func(c *cluster)) *cluster {
	c := newCluster(seed, testConfig(), p.newFactory())
	m := &trafficMix{meanShortRun: meanShortRun, nonIdempotentShare: 0.2}
	m.load, m.peakLoad = constantLoad(load)
	m.generate(c.sim, slotCount, faultsRun, func() { c.sendRequest(m) })
	c.at(epoch.Add(faultAt), func() { fault(c) })
	c.run(faultsRun)
	return c
}

// killWithFalseHealth makes the endpoints of seven of the 15 backend servers lie:
// four that work report a failure, three that die report that all is well.
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

// servedCurve returns the share of requests that were served at once.
func (c *cluster) servedCurve(name string) series {
	out := series{name: name}
	for t := time.Duration(0); t < faultsRun-deadline; t += 2 * windowLength {
		w := c.stats.sum(t, t+2*windowLength)
		out.x = append(out.x, t.Seconds())
		out.y = append(out.y, percent(len(w.latencies), len(w.latencies)+w.notServedAtOnce))
	}
	return out
}
