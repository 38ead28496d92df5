package experiment

import "time"

// Times of the demand swing.
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

// runSwing runs a demand swing from 0.5 to 3 times the capacity and back.
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
			out := runOutcome{series: []series{c.demandCurve(swingRun), c.goodputCurve(swingRun)}}
			out.measures = append(out.measures, peakMeasures("short requests", c, true)...)
			out.measures = append(out.measures, peakMeasures("2% run 50 times longer", runSwing(p, seed, 0.02), false)...)
			return out
		},
	}
}

func peakMeasures(name string, c *cluster, goals bool) []measure {
	s := c.stats
	before := s.sum(time.Second, swingStart)
	top := s.sum(peakStart, peakEnd)
	whole := s.sum(swingStart, swingRun)
	normal := s.recoveryTime(swingEnd, 10*time.Second, 2*percentile(before.latencies, 0.99))
	capacity := float64(slotCount) * swingHold.Seconds()
	list := []measure{
		{name, "goodput at the peak (% of capacity)", 100 * top.work.Seconds() / capacity, &Goal{false, 95}},
		{name, "median latency of short requests at the peak (ms)", milliseconds(percentile(top.latencies, 0.5)), nil},
		{name, "p99 latency of short requests at the peak (ms)", milliseconds(percentile(top.latencies, 0.99)), nil},
		{name, "refusals with a time to come back (%)", 100 - percent(s.refusalsWithoutRetryAfter, s.refusals), &Goal{false, 100}},
		{name, "callers that return and are served (%)", percent(whole.retriesServed, whole.retries), nil},
		{name, "requests without an answer (%)", percent(s.failures, s.requests), nil},
		{name, "time to normal service (s)", normal.Seconds(), &Goal{true, 2}},
	}
	if s.longSent > 0 {
		list = append(list, measure{name, "long requests served (%)", percent(int(s.long.TotalCount()), s.longSent), nil})
	}
	if !goals {
		for i := range list {
			list[i].goal = nil
		}
	}
	return list
}

func retries() *Experiment {
	return &Experiment{
		Name: "retries", Title: "Retry amplification at the peak of the demand swing",
		plot: plotSpec{y: "transmissions per request", metric: "transmissions per request at the peak"},
		run: func(p policy, seed uint64) runOutcome {
			c := runSwing(p, seed, 0)
			s := c.stats
			top := s.sum(swingStart, swingEnd)
			later := s.sum(swingEnd, swingRun)
			return runOutcome{measures: []measure{
				{"", "transmissions per request at the peak", float64(top.transmissions) / float64(top.firstSent), &Goal{true, 1.1}},
				{"", "transmissions per request after it", float64(later.transmissions) / float64(later.firstSent), nil},
				{"", "requests sent to backend servers twice (%)", percent(s.redispatched, s.requests), &Goal{true, 10}},
			}}
		},
	}
}

// demandCurve returns the offered work of first attempts over the capacity.
func (c *cluster) demandCurve(end time.Duration) series {
	out := series{name: "demand", dashed: true}
	perRequest := meanShortRun.Seconds() / (slotCount * windowLength.Seconds())
	for t := time.Duration(0); t < end; t += 2 * windowLength {
		out.x = append(out.x, t.Seconds())
		out.y = append(out.y, float64(c.stats.sum(t, t+2*windowLength).firstSent)*perRequest/2)
	}
	return out
}

// goodputCurve returns the work of served requests over the capacity.
func (c *cluster) goodputCurve(end time.Duration) series {
	out := series{name: "goodput"}
	for t := time.Duration(0); t < end; t += 2 * windowLength {
		out.x = append(out.x, t.Seconds())
		out.y = append(out.y, c.stats.sum(t, t+2*windowLength).work.Seconds()/(slotCount*2*windowLength.Seconds()))
	}
	return out
}
