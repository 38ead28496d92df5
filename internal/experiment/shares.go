package experiment

import (
	"math"
	"time"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/share"
)

// Times of the shares experiment.
const (
	weightChange   = 7 * time.Second  // the profile changes from 3:1 to 1:1
	idleStart      = 14 * time.Second // partner a stops sending requests
	idleEnd        = 20 * time.Second
	sharesRun      = 25 * time.Second
	splitWindow    = 5 * windowLength // time span over which a split is measured
	settleTime     = 2 * time.Second  // time after the start or a weight change that is not measured
	splitTolerance = 0.05             // relative error up to which a split counts as reached
)

func partners(a, b uint32) []config.Partner {
	return []config.Partner{{Name: "a", Weight: a, Hosts: []string{"a"}}, {Name: "b", Weight: b, Hosts: []string{"b"}}}
}

// splitError compares the work of the partners in window w with the weighted
// max-min split of all work done in it, and returns the greatest relative error
// of a partner. demand is in seconds of work per second.
func splitError(w window, span time.Duration, demand map[ids.Partner]float64, weights map[ids.Partner]uint32) float64 {
	greatest := 0.0
	for p, expected := range share.MaxMin(w.work.Seconds()/span.Seconds(), demand, weights) {
		if expected > 0 {
			greatest = max(greatest, math.Abs(w.partnerWork[p].Seconds()/span.Seconds()/expected-1))
		}
	}
	return greatest
}

func shares() *Experiment {
	return &Experiment{
		Name: "shares", Title: "Two partners 3:1, then 1:1; partner b asks for ten times its first share",
		plot: plotSpec{x: "time (s)", y: "partner a, share of the work", lines: true, policies: []string{"least outstanding", "two choices", designName, coreName}},
		run: func(p policy, seed uint64) runOutcome {
			c := newCluster(seed, testConfig(partners(3, 1)...), p.newFactory())
			a := &trafficMix{partner: "a", meanShortRun: meanShortRun, peakLoad: 0.9, load: func(t time.Duration) float64 {
				if t >= idleStart && t < idleEnd {
					return 0
				}
				return 0.9
			}}
			b := &trafficMix{partner: "b", meanShortRun: meanShortRun}
			b.load, b.peakLoad = constantLoad(2.5)
			for _, m := range []*trafficMix{a, b} {
				m.generate(c.sim, slotCount, sharesRun, func() { c.sendRequest(m) })
			}
			c.at(epoch.Add(weightChange), func() {
				next := *c.config
				next.Profile.Partners = partners(1, 1)
				next.Revision++
				c.config = &next
				for _, inst := range c.instances {
					inst.node.setProfile(&next)
				}
			})
			c.run(sharesRun)
			return sharesOutcome(c)
		},
	}
}

func sharesOutcome(c *cluster) runOutcome {
	s := c.stats
	demand := map[ids.Partner]float64{"a": 0.9 * slotCount, "b": 2.5 * slotCount}
	weightsBefore, weightsAfter := map[ids.Partner]uint32{"a": 3, "b": 1}, map[ids.Partner]uint32{"a": 1, "b": 1}
	worstError := func(from, to time.Duration, demand map[ids.Partner]float64, w map[ids.Partner]uint32) float64 {
		greatest := 0.0
		for t := from; t+splitWindow <= to; t += windowLength {
			greatest = max(greatest, splitError(s.sum(t, t+splitWindow), splitWindow, demand, w))
		}
		return greatest
	}
	timeToSplit := func(from, to time.Duration, demand map[ids.Partner]float64, w map[ids.Partner]uint32) float64 {
		end := from
		for t := from; t+splitWindow <= to; t += windowLength {
			if splitError(s.sum(t, t+splitWindow), splitWindow, demand, w) > splitTolerance {
				end = t + splitWindow
			}
		}
		return (end - from).Seconds()
	}
	meanError := func(from, to time.Duration, demand map[ids.Partner]float64, w map[ids.Partner]uint32) float64 {
		return 100 * splitError(s.sum(from, to), to-from, demand, w)
	}
	// Refused callers of partner a still retry while it sends no new requests, so
	// the total work is measured: the work of partner b alone would not show
	// whether b uses all of the idle share.
	leastWork := math.Inf(1)
	for t := idleStart; t+splitWindow <= idleEnd; t += windowLength {
		leastWork = min(leastWork, s.sum(t, t+splitWindow).work.Seconds()/(slotCount*splitWindow.Seconds()))
	}
	curve := series{name: "share of a"}
	for t := time.Duration(0); t < sharesRun; t += 2 * windowLength {
		w := s.sum(t, t+2*windowLength)
		if w.work > 0 {
			curve.x = append(curve.x, t.Seconds())
			curve.y = append(curve.y, w.partnerWork["a"].Seconds()/w.work.Seconds())
		}
	}
	return runOutcome{series: []series{curve}, measures: []measure{
		{"", "error of the split 3:1 (%)", meanError(settleTime, weightChange, demand, weightsBefore), &Goal{true, 5}},
		{"", "error of the split 1:1 from 2 s after the change (%)", meanError(weightChange+settleTime, idleStart, demand, weightsAfter), &Goal{true, 5}},
		{"", "worst error in any 0.5 s from 2 s after the change (%)", 100 * worstError(weightChange+settleTime, idleStart, demand, weightsAfter), nil},
		{"", "time to reach the split 1:1 within 5% (s)", timeToSplit(weightChange, idleStart, demand, weightsAfter), &Goal{true, 2}},
		{"", "work while a is quiet (% of capacity)", 100 * s.sum(idleStart, idleEnd).work.Seconds() / (slotCount * (idleEnd - idleStart).Seconds()), &Goal{false, 95}},
		{"", "least work in any 0.5 s while a is quiet (% of capacity)", 100 * leastWork, nil},
		{"", "time until a has its share again (s)", timeToSplit(idleEnd, sharesRun, demand, weightsAfter), &Goal{true, 1}},
	}}
}
