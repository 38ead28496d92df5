package experiment

import "time"

// Times of the demand swing, which ramps up to a peak and back.
const (
	swingStart   = 5 * time.Second
	swingRamp    = 2 * time.Second
	swingHold    = 6 * time.Second
	peakStart    = swingStart + swingRamp
	peakEnd      = peakStart + swingHold
	swingEnd     = peakEnd + swingRamp
	swingRun     = 40 * time.Second
	meanShortRun = 10 * time.Millisecond // mean run time of short requests
)

// runSwing runs a demand swing from 0.5 to 3 times the capacity and back, in
// which longShare of the requests are long.
func runSwing(p policy, seed uint64, longShare float64) *cluster {
	r := testConfig()
	if longShare > 0 {
		r.Profile.Protect.Deadline = longDeadline
	}
	c := newCluster(seed, r, p.newFactory())
	m := &trafficMix{meanShortRun: meanShortRun, longShare: longShare, nonIdempotentShare: 0.2, peakLoad: 3, load: loadSwing(0.5, 3, swingStart, swingRamp, swingHold)}
	m.generate(c.sim, slotCount, swingRun, func() { c.sendRequest(m) })
	c.run(swingRun)
	return c
}

func crest() *Experiment {
	return &Experiment{
		Name: "crest", Title: "Demand swing from 0.5 to 3 times capacity",
		plot: plotSpec{x: "time (s)", y: "work per capacity", lines: true, policies: []string{"least outstanding", "two choices", designName, coreName}},
		run: func(p policy, seed uint64) runOutcome {
			c := runSwing(p, seed, 0)
			result := runOutcome{series: []series{c.demandCurve(swingRun), c.goodputCurve(swingRun)}}
			result.measures = append(result.measures, peakMeasures("short requests", c, true)...)
			result.measures = append(result.measures, peakMeasures("2% run 50 times longer", runSwing(p, seed, 0.02), false)...)
			return result
		},
	}
}

func peakMeasures(name string, c *cluster, withGoals bool) []measure {
	s := c.stats
	baseline := s.sum(time.Second, swingStart)
	peak := s.sum(peakStart, peakEnd)
	swing := s.sum(swingStart, swingRun)
	recovery := s.recoveryTime(swingEnd, 10*time.Second, 2*percentile(baseline.latencies, 0.99))
	capacity := float64(slotCount) * swingHold.Seconds()
	measures := []measure{
		{name, "goodput at the peak (% of capacity)", 100 * peak.work.Seconds() / capacity, &Goal{false, 95}},
		{name, "median latency of short requests at the peak (ms)", milliseconds(percentile(peak.latencies, 0.5)), nil},
		{name, "p99 latency of short requests at the peak (ms)", milliseconds(percentile(peak.latencies, 0.99)), nil},
		{name, "refusals with a time to come back (%)", 100 - percent(s.refusalsWithoutRetryAfter, s.refusals), &Goal{false, 100}},
		{name, "callers that return and are served (%)", percent(swing.retriesServed, swing.retries), nil},
		{name, "requests without an answer (%)", percent(s.failures, s.requests), nil},
		{name, "time to normal service (s)", recovery.Seconds(), &Goal{true, 2}},
	}
	if s.longSent > 0 {
		measures = append(measures, measure{name, "long requests served (%)", percent(int(s.long.TotalCount()), s.longSent), nil})
	}
	if !withGoals {
		for i := range measures {
			measures[i].goal = nil
		}
	}
	return measures
}

func retries() *Experiment {
	return &Experiment{
		Name: "retries", Title: "Retry amplification at the peak of the demand swing",
		plot: plotSpec{y: "transmissions per request", metric: "transmissions per request at the peak"},
		run: func(p policy, seed uint64) runOutcome {
			c := runSwing(p, seed, 0)
			s := c.stats
			peak := s.sum(swingStart, swingEnd)
			afterSwing := s.sum(swingEnd, swingRun)
			return runOutcome{measures: []measure{
				{"", "transmissions per request at the peak", float64(peak.transmissions) / float64(peak.firstSent), &Goal{true, 1.1}},
				{"", "transmissions per request after it", float64(afterSwing.transmissions) / float64(afterSwing.firstSent), nil},
				{"", "requests sent to backend servers twice (%)", percent(s.redispatched, s.requests), &Goal{true, 10}},
			}}
		},
	}
}

// demandCurve returns the offered work of first transmissions, divided by the
// capacity, over time.
func (c *cluster) demandCurve(end time.Duration) series {
	curve := series{name: "demand", dashed: true}
	perRequest := meanShortRun.Seconds() / (slotCount * windowLength.Seconds())
	for t := time.Duration(0); t < end; t += 2 * windowLength {
		curve.x = append(curve.x, t.Seconds())
		curve.y = append(curve.y, float64(c.stats.sum(t, t+2*windowLength).firstSent)*perRequest/2)
	}
	return curve
}

// goodputCurve returns the work of served requests, divided by the capacity,
// over time.
func (c *cluster) goodputCurve(end time.Duration) series {
	curve := series{name: "goodput"}
	for t := time.Duration(0); t < end; t += 2 * windowLength {
		curve.x = append(curve.x, t.Seconds())
		curve.y = append(curve.y, c.stats.sum(t, t+2*windowLength).work.Seconds()/(slotCount*2*windowLength.Seconds()))
	}
	return curve
}
