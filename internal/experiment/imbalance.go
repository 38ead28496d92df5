package experiment

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Times of the imbalance experiment.
const (
	imbalanceRun  = 25 * time.Second
	imbalanceFrom = 5 * time.Second
	coldRequests  = 20 // slow requests of each backend server after a cold start
)

func imbalance() *Experiment {
	const metric = "peak over mean of slots in use"
	return &Experiment{
		Name: "imbalance", Title: "Even use of backend servers at 70% load",
		plot: plotSpec{y: metric, metric: metric},
		run: func(p policy, seed uint64) runOutcome {
			var out runOutcome
			for _, v := range []struct {
				name     string
				from, to time.Duration
				prepare  func(c *cluster)
			}{
				{"steady", imbalanceFrom, imbalanceRun, func(*cluster) {}},
				{"lists disagree", imbalanceFrom, imbalanceRun, makeListsDisagree},
				{"cold start", 0, imbalanceRun - imbalanceFrom, coldStart},
			} {
				c := newCluster(seed, testConfig(), p.newFactory())
				v.prepare(c)
				m := &trafficMix{meanShortRun: meanShortRun, nonIdempotentShare: 0.2}
				m.load, m.peakLoad = constantLoad(steadyLoad)
				m.generate(c.sim, slotCount, v.to, func() { c.sendRequest(m) })
				c.run(v.from)
				c.resetBusyTime()
				c.run(v.to)
				out.measures = append(out.measures,
					measure{v.name, metric, c.imbalance(), &Goal{true, 1.1}},
					measure{v.name, "refused requests (%)", percent(c.stats.refusals, c.stats.requests), nil},
					measure{v.name, "messages between instances per request", float64(c.stats.relays) / float64(c.stats.requests), nil})
			}
			return out
		},
	}
}

// disagree gives each instance a list that lacks another one. The lists of the
// core are gossiped, so for it the links between two pairs of instances go
// down instead.
func makeListsDisagree(c *cluster) {
	for _, pair := range [][2]int{{0, 1}, {2, 3}} {
		a, b := c.instances[pair[0]], c.instances[pair[1]]
		c.cutLinks[[2]*instance{a, b}], c.cutLinks[[2]*instance{b, a}] = true, true
	}
	for i, in := range c.instances {
		without := map[ids.Instance]bool{c.instances[(i+1)%instanceCount].id: true}
		in.node.setInstances(c.now, c.serving(without))
	}
}

func coldStart(c *cluster) {
	for _, b := range c.backends {
		b.coldRequests = coldRequests
	}
}
