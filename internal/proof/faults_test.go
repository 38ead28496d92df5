package proof

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// kill terminates the process of n without notice.
func (sim *simulation) kill(n *node) {
	if !n.alive {
		return
	}
	sim.recordEvent("kill %s", n.id)
	sim.markInterrupted(n)
	n.alive = false
	if n.leftAt == 0 {
		n.leftAt = sim.now
	}
	sim.relaxFeedChecks()
}

// join starts a new process of n.
func (sim *simulation) join(n *node) {
	if n.alive {
		return
	}
	sim.recordEvent("join %s", n.id)
	sim.startProcess(n)
}

// stop begins the planned stop of n.
func (sim *simulation) stop(n *node) {
	if !n.alive || n.stopping {
		return
	}
	sim.recordEvent("stop %s", n.id)
	n.stopping = true
	if n.leftAt == 0 {
		n.leftAt = sim.now
	}
	sim.callCore(n, func(c *core.Core, out *core.Effects) { c.Stop(n.now(), out) })
}

// pause suspends the process of n and resumes it after d.
func (sim *simulation) pause(n *node, d time.Duration) {
	if !n.alive || n.paused {
		return
	}
	sim.recordEvent("pause %s for %v", n.id, d)
	sim.markInterrupted(n)
	n.paused = true
	sim.relaxFeedChecks()
	incarnation := n.incarnation
	sim.after(d, func() {
		if n.incarnation != incarnation || !n.alive {
			return
		}
		sim.markInterrupted(n)
		sim.relaxFeedChecks()
		n.paused = false
		n.revisions = nil
		inbox := n.inbox
		n.inbox = nil
		for _, f := range inbox {
			f()
		}
	})
}

// cutLink cuts the link from a to b and, unless oneWay is set, that from b to a.
func (sim *simulation) cutLink(a, b string, oneWay bool) {
	sim.recordEvent("cut %s %s, one way %v", a, b, oneWay)
	sim.cutLinks[[2]string{a, b}] = true
	if !oneWay {
		sim.cutLinks[[2]string{b, a}] = true
	}
	if a == platformID || b == platformID {
		sim.lastPlatformFault = sim.now
	} else {
		sim.lastLinkFault = sim.now
	}
	sim.relaxFeedChecks()
}

// cutOffDataCentre cuts all links of a data centre to the others and to the
// platform.
func (sim *simulation) cutOffDataCentre(dc ids.DataCentre) {
	for _, n := range sim.nodes {
		if n.dc != dc {
			continue
		}
		sim.cutLink(string(n.id), platformID, false)
		for _, o := range sim.nodes {
			if o.dc != dc {
				sim.cutLink(string(n.id), string(o.id), false)
			}
		}
	}
}

// heal ends all faults of links, the platform and datagrams.
func (sim *simulation) heal() {
	if len(sim.cutLinks) > 0 || sim.platform.down || sim.platform.staleAt != 0 {
		sim.lastLinkFault, sim.lastPlatformFault = sim.now, sim.now
	}
	clear(sim.cutLinks)
	sim.platform.down, sim.platform.staleAt, sim.listMode = false, 0, listCurrent
	sim.lossPercent, sim.duplicatePercent, sim.delayPercent = 0, 0, 0
	sim.recordEvent("heal")
}

// restoreServers ends all faults and drains of backend servers.
func (sim *simulation) restoreServers() {
	for _, v := range sim.servers {
		v.alive, v.silent, v.shedding, v.swapsMessageIDs, v.resetting, v.health = true, false, false, false, false, accurateHealth
		v.processingTime = 20 * time.Millisecond
		v.drain(false)
	}
}

// publishDrain publishes the service of v with v draining or not.
func (sim *simulation) publishDrain(v *server, on bool) {
	v.drainPublished = on
	v.drain(on)
	sim.platform.publish("service/"+string(v.service), sim.serviceText(v.service), true)
}

// redeliver delivers a request of a caller once more, to instance n.
func (sim *simulation) redeliver(x *exchange, n *node) {
	if x.feed != nil {
		return
	}
	x.repeated = true
	x.deliverTo(n, x.encodeRequest())
}
