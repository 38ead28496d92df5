package proof

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// listMode selects what the platform's list of instances shows.
type listMode uint8

const (
	listCurrent  listMode = iota
	listUnpruned          // dead instances are never removed
	listWrong             // live instances are leaving or missing, dead ones are not leaving
)

const (
	readDelay = 3 * time.Millisecond
	watchWait = 30 * time.Second
)

// platform is the fake configuration service. Its revision counts publications
// over all documents.
type platform struct {
	sim       *simulation
	documents []core.Publication // all publications, in order of revision
	down      bool
	staleAt   ids.Revision // serves the state of this revision; 0: current
	published []publication
	waiting   []*read
}

// publication is an accepted document and when it was published.
type publication struct {
	revision    ids.Revision
	publishedAt ids.Time
	checked     bool
}

// read is a pending read or watch of an instance.
type read struct {
	node        *node
	incarnation ids.Incarnation
	after       ids.Revision // only documents with a greater revision are returned
	done        bool
}

func (p *platform) revision() ids.Revision {
	if p.staleAt != 0 {
		return p.staleAt
	}
	return ids.Revision(len(p.documents))
}

// publish adds a document; valid tells whether instances should accept it.
func (p *platform) publish(key, value string, valid bool) ids.Revision {
	r := ids.Revision(len(p.documents) + 1)
	p.documents = append(p.documents, core.Publication{Key: key, Revision: r, Value: []byte(value)})
	if valid {
		p.published = append(p.published, publication{revision: r, publishedAt: p.sim.now})
	}
	p.sim.stepReached("published", nil, nil)
	waiting := p.waiting
	p.waiting = nil
	for _, r := range waiting {
		p.sim.after(time.Millisecond, func() { p.completeRead(r) })
	}
	return r
}

func (p *platform) disconnected(n *node) bool {
	return p.sim.cutLinks[[2]string{string(n.id), platformID}] || p.sim.cutLinks[[2]string{platformID, string(n.id)}]
}

func (p *platform) read(n *node, after ids.Revision, watch bool) {
	r := &read{node: n, incarnation: n.incarnation, after: after}
	if n.lifecycle() == "joining" {
		p.sim.stepReached("join reads platform", n, nil)
	}
	if p.down || p.disconnected(n) {
		p.sim.after(500*time.Millisecond, func() { p.failRead(r) })
		return
	}
	if watch && p.revision() <= after {
		p.waiting = append(p.waiting, r)
		p.sim.after(watchWait, func() { p.completeRead(r) })
		return
	}
	p.sim.after(readDelay, func() { p.completeRead(r) })
}

func (p *platform) failRead(r *read) {
	if !r.done && r.node.incarnation == r.incarnation {
		r.done = true
		p.sim.callCore(r.node, func(c *core.Core, out *core.Effects) {
			c.HandleConfig(r.node.now(), &core.ConfigEvent{Err: errors.New("platform unreachable")}, out)
		})
	}
}

func (p *platform) completeRead(r *read) {
	if r.done || r.node.incarnation != r.incarnation {
		return
	}
	if p.down || p.disconnected(r.node) {
		p.sim.after(500*time.Millisecond, func() { p.failRead(r) })
		return
	}
	r.done = true
	e := &core.ConfigEvent{Revision: p.revision()}
	latest := map[string]int{}
	for _, d := range p.documents[:e.Revision] {
		if d.Revision <= r.after {
			continue
		}
		if i, ok := latest[d.Key]; ok { // only the latest value of a key
			e.Documents = append(e.Documents[:i], e.Documents[i+1:]...)
			for k, j := range latest {
				if j > i {
					latest[k] = j - 1
				}
			}
		}
		latest[d.Key] = len(e.Documents)
		e.Documents = append(e.Documents, d)
	}
	p.sim.callCore(r.node, func(c *core.Core, out *core.Effects) { c.HandleConfig(r.node.now(), e, out) })
}

// services lists the services of the simulation.
var services = []ids.Service{"counter", "alarm"}

func profileText(weight, deadline int) string {
	return fmt.Sprintf("[spread]\nslow_start_ms = 200\n[protect]\ndeadline_ms = %d\nqueue_time_ms = 1000\nretry_ratio = 1.0\n"+
		"idempotent = [\"GET\"]\n[[partner]]\nname = \"p0\"\nweight = %d\nhosts = [\"p0\"]\n[[partner]]\nname = \"p1\"\nweight = 1\nhosts = [\"p1\"]\n",
		deadline, weight)
}

// serviceText returns the document of a service with the published drains.
func (sim *simulation) serviceText(s ids.Service) string {
	var b strings.Builder
	fmt.Fprintf(&b, "port = 5683\nprofile = \"p-%s\"\n", s)
	for _, v := range sim.servers {
		if v.service == s {
			fmt.Fprintf(&b, "[[target]]\nname = %q\ndata_centre = %q\naddress = %q\nslots = 2\nhealth = \"http://%s/health\"\ndraining = %v\n",
				v.target, v.dc, v.addr, v.addr, v.drainPublished)
		}
	}
	return b.String()
}

func (sim *simulation) publishDocuments() {
	for _, s := range services {
		sim.platform.publish("profile/p-"+string(s), profileText(1, 4000), true)
		sim.platform.publish("service/"+string(s), sim.serviceText(s), true)
	}
}

// sendLists sends each instance the platform's list of instances.
func (sim *simulation) sendLists() {
	if sim.platform.down {
		return
	}
	for i, n := range sim.nodes {
		e := &core.InstancesEvent{}
		for k, o := range sim.nodes {
			entry := core.ListedInstance{ID: o.id, DataCentre: o.dc, PeerAddr: o.addr(), Leaving: o.stopping}
			if sim.listMode == listWrong {
				if (i+k)%3 == 0 {
					continue
				}
				entry.Leaving = o.alive
			} else if sim.listMode == listCurrent && !o.alive && sim.now.Sub(o.leftAt) > 10*time.Second {
				continue
			}
			e.Instances = append(e.Instances, entry)
		}
		if !sim.platform.disconnected(n) {
			sim.callCore(n, func(c *core.Core, out *core.Effects) { c.HandleInstances(n.now(), e, out) })
		}
	}
}
