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
	idleStart      = 14 * time.Second // partner a stops asking
	idleEnd        = 20 * time.Second
	sharesRun      = 25 * time.Second
	splitWindow    = 5 * windowLength // over which a split is measured
	settleTime     = 2 * time.Second
	splitTolerance = 0.05
)

func partners(a, b uint32) []config.Partner {
	return []config.Partner{{Name: "a", Weight: a, Hosts: []string{"a"}}, {Name: "b", Weight: b, Hosts: []string{"b"}}}
}

// splitError returns the greatest relative error of a partner's work in the
// window against the weighted max-min split of all work done. demand is in
// seconds of work per second.
func splitError(w window, span time.Duration, demand map[ids.Partner]float64, weights map[ids.Partner]uint32) float64 {
	worst := 0.0
	for p, want := range share.MaxMin(w.work.Seconds()/span.Seconds(), demand, weights) {
		if want > 0 {
			worst = max(worst, math.Abs(w.partnerWork[p].Seconds()/span.Seconds()/want-1))
		}
	}
	return worst
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
				next := *c.resolved
				next.Profile.Partners = partners(1, 1)
				next.Revision++
				c.resolved = &next
				for _, in := range c.instances {
					in.node.setProfile(&next)
				}
			})
			c.run(sharesRun)
			return sharesOutcome(c)
		},
	}
}

func sharesOutcome(c *cluster) runOutcome {
	s := c.stats
	both := map[ids.Partner]float64{"a": 0.9 * slotCount, "b": 2.5 * slotCount}
	first, second := map[ids.Partner]uint32{"a": 3, "b": 1}, map[ids.Partner]uint32{"a": 1, "b": 1}
	worst := func(from, to time.Duration, demand map[ids.Partner]float64, w map[ids.Partner]uint32) float64 {
		e := 0.0
		for t := from; t+splitWindow <= to; t += windowLength {
			e = max(e, splitError(s.sum(t, t+splitWindow), splitWindow, demand, w))
		}
		return e
	}
	reach := func(from, to time.Duration, demand map[ids.Partner]float64, w map[ids.Partner]uint32) float64 {
		end := from
		for t := from; t+splitWindow <= to; t += windowLength {
			if splitError(s.sum(t, t+splitWindow), splitWindow, demand, w) > splitTolerance {
				end = t + splitWindow
			}
		}
		return (end - from).Seconds()
	}
	mean := func(from, to time.Duration, demand map[ids.Partner]float64, w map[ids.Partner]uint32) float64 {
		return 100 * splitError(s.sum(from, to), to-from, demand, w)
	}
	// Refused callers of a still return while it is quiet, so the work of b alone
	// says nothing about share that is lent.
	least := math.Inf(1)
	for t := idleStart; t+splitWindow <= idleEnd; t += windowLength {
		least = min(least, s.sum(t, t+splitWindow).work.Seconds()/(slotCount*splitWindow.Seconds()))
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
		{"", "error of the split 3:1 (%)", mean(settleTime, weightChange, both, first), &Goal{true, 5}},
		{"", "error of the split 1:1 from 2 s after the change (%)", mean(weightChange+settleTime, idleStart, both, second), &Goal{true, 5}},
		{"", "worst error in any 0.5 s from 2 s after the change (%)", 100 * worst(weightChange+settleTime, idleStart, both, second), nil},
		{"", "time to reach the split 1:1 within 5% (s)", reach(weightChange, idleStart, both, second), &Goal{true, 2}},
		{"", "work while a is quiet (% of capacity)", 100 * s.sum(idleStart, idleEnd).work.Seconds() / (slotCount * (idleEnd - idleStart).Seconds()), &Goal{false, 95}},
		{"", "least work in any 0.5 s while a is quiet (% of capacity)", 100 * least, nil},
		{"", "time until a has its share again (s)", reach(idleEnd, sharesRun, both, second), &Goal{true, 1}},
	}}
}
