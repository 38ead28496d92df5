package proof

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// kill ends the process of n at once.
func (w *world) kill(n *node) {
	if !n.alive {
		return
	}
	w.note("kill %s", n.id)
	w.excuse(n)
	n.alive = false
	if n.leaving == 0 {
		n.leaving = w.now
	}
	w.loosen()
}

// join starts a new process of n.
func (w *world) join(n *node) {
	if n.alive {
		return
	}
	w.note("join %s", n.id)
	w.start(n)
}

// stop begins the planned stop of n.
func (w *world) stop(n *node) {
	if !n.alive || n.stopped {
		return
	}
	w.note("stop %s", n.id)
	n.stopped = true
	if n.leaving == 0 {
		n.leaving = w.now
	}
	w.call(n, func(c *core.Core, out *core.Effects) { c.Stop(n.now(), out) })
}

// pause stops the process of n and wakes it after d.
func (w *world) pause(n *node, d time.Duration) {
	if !n.alive || n.paused {
		return
	}
	w.note("pause %s for %v", n.id, d)
	w.excuse(n)
	n.paused = true
	w.loosen()
	run := n.run
	w.after(d, func() {
		if n.run != run || !n.alive {
			return
		}
		w.excuse(n)
		w.loosen()
		n.paused = false
		n.revisions = nil
		inbox := n.inbox
		n.inbox = nil
		for _, f := range inbox {
			f()
		}
	})
}

// cutLink cuts the link from a to b, and back unless oneWay.
func (w *world) cutLink(a, b string, oneWay bool) {
	w.note("cut %s %s, one way %v", a, b, oneWay)
	w.cut[[2]string{a, b}] = true
	if !oneWay {
		w.cut[[2]string{b, a}] = true
	}
	if a == platformID || b == platformID {
		w.platformFault = w.now
	} else {
		w.linkFault = w.now
	}
	w.loosen()
}

// cutCentre cuts a data centre off from the others and from the platform.
func (w *world) cutCentre(dc ids.DataCentre) {
	for _, n := range w.nodes {
		if n.dc != dc {
			continue
		}
		w.cutLink(string(n.id), platformID, false)
		for _, o := range w.nodes {
			if o.dc != dc {
				w.cutLink(string(n.id), string(o.id), false)
			}
		}
	}
}

// heal ends all faults of links, the platform and datagrams.
func (w *world) heal() {
	if len(w.cut) > 0 || w.platform.down || w.platform.staleAt != 0 {
		w.linkFault, w.platformFault = w.now, w.now
	}
	clear(w.cut)
	w.platform.down, w.platform.staleAt, w.listMode = false, 0, listCurrent
	w.loss, w.double, w.late = 0, 0, 0
	w.note("heal")
}

// recover restores the backend servers.
func (w *world) recover() {
	for _, v := range w.servers {
		v.alive, v.silent, v.shedding, v.crossed, v.failing, v.health = true, false, false, false, false, honest
		v.runTime = 20 * time.Millisecond
		v.drain(false)
	}
}

// drainDocument publishes the service of v with v draining or not.
func (w *world) drainDocument(v *server, on bool) {
	v.drainDocument = on
	v.drain(on)
	w.platform.publish("service/"+string(v.service), w.serviceText(v.service), true)
}

// repeat delivers a request of a caller again, to another instance.
func (w *world) repeat(x *exchange, n *node) {
	if x.feed != nil {
		return
	}
	x.repeated = true
	x.deliverTo(n, x.datagram())
}
