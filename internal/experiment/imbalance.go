package experiment

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Times of the imbalance experiment.
const (
	imbalanceRun  = 25 * time.Second
	imbalanceFrom = 5 * time.Second
	coldRequests  = 20 // requests that run slowly on each backend server after a cold start
)

func imbalance() *Experiment {
	const metric = "peak over mean of slots in use"
	return &Experiment{
		Name: "imbalance", Title: "Even use of backend servers at 70% load",
		plot: plotSpec{y: metric, metric: metric},
		run: func(p policy, seed uint64) runOutcome {
			var result runOutcome
			for _, variant := range []struct {
				name     string
				from, to time.Duration
				prepare  func(c *cluster)
			}{
				{"steady", imbalanceFrom, imbalanceRun, func(*cluster) {}},
				{"lists disagree", imbalanceFrom, imbalanceRun, makeListsDisagree},
				{"cold start", 0, imbalanceRun - imbalanceFrom, coldStart},
			} {
				c := newCluster(seed, testConfig(), p.newFactory())
				variant.prepare(c)
				m := &trafficMix{meanShortRun: meanShortRun, nonIdempotentShare: 0.2}
				m.load, m.peakLoad = constantLoad(steadyLoad)
				m.generate(c.sim, slotCount, variant.to, func() { c.sendRequest(m) })
				c.run(variant.from)
				c.resetBusyTime()
				c.run(variant.to)
				result.measures = append(result.measures,
					measure{variant.name, metric, c.imbalance(), &Goal{true, 1.1}},
					measure{variant.name, "refused requests (%)", percent(c.stats.refusals, c.stats.requests), nil},
					measure{variant.name, "messages between instances per request", float64(c.stats.relays) / float64(c.stats.requests), nil})
			}
			return result
		},
	}
}

// makeListsDisagree gives each instance a list of instances that omits one other
// instance. The core builds its lists by gossip, so for coreNode the links
// between two pairs of instances are cut instead.
func makeListsDisagree(c *cluster) {
	for _, pair := range [][2]int{{0, 1}, {2, 3}} {
		a, b := c.instances[pair[0]], c.instances[pair[1]]
		c.cutLinks[[2]*instance{a, b}], c.cutLinks[[2]*instance{b, a}] = true, true
	}
	for i, inst := range c.instances {
		excluded := map[ids.Instance]bool{c.instances[(i+1)%instanceCount].id: true}
		inst.node.setInstances(c.now, c.serving(excluded))
	}
}

func coldStart(c *cluster) {
	for _, b := range c.backends {
		b.coldRequests = coldRequests
	}
}
