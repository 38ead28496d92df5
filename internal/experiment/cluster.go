package experiment

import (
	"fmt"
	"time"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// Sizes and delays of the model: one data centre of the Board's counter
// service, design page section 1.4.
const (
	dataCentre      = ids.DataCentre("dc1")
	serviceName     = ids.Service("counter")
	instanceCount   = 5
	backendCount    = 15
	slotsPerBackend = 2
	slotCount       = backendCount * slotsPerBackend
	callerCount     = 2000

	callerDelay   = 3 * time.Millisecond    // one way, caller to instance
	peerDelay     = 250 * time.Microsecond  // one way, instance to instance
	backendDelay  = 250 * time.Microsecond  // one way, instance to backend server
	tickInterval  = 10 * time.Millisecond   // of the instances
	fabricDelay   = 500 * time.Millisecond  // until the fabric avoids a dead instance
	suspectDelay  = 1000 * time.Millisecond // until peers have noticed a dead instance
	suspectJitter = 200 * time.Millisecond  // spread of that time over the peers
	deadline      = 2 * time.Second         // of a request, from arrival
	longDeadline  = 20 * time.Second        // of a service with long requests
)

// answer is what a caller receives.
type callerResult uint8

const (
	served  callerResult = iota
	refused              // 5.03 with a time to come back
	failed               // 5.04 or 5.00
)

// node is the policy of one instance.
type node interface {
	// arrive takes a request that came from its caller.
	handleRequest(r *request)
	// peer takes a message that another instance sent with cluster.send.
	handlePeer(m any)
	// health takes the result of a health check.
	handleHealth(t *backend, healthy bool)
	// instances takes the list of serving instances as seen now.
	setInstances(now ids.Time, serving []ids.Instance)
	// profile takes a new profile into use.
	setProfile(r *config.Resolved)
	tick()
}

// instance is an entry instance of the model.
type instance struct {
	index int
	id    ids.Instance
	dead  bool
	node  node
}

// cluster is one run of the model.
type cluster struct {
	*sim
	instances   []*instance
	backends    []*backend
	routable    []*instance // instances that the fabric uses
	resolved    *config.Resolved
	stats       *stats
	maxAttempts int // attempts of a caller, the first included

	// Used with the core only.
	platform      *platform
	cutLinks      map[[2]*instance]bool // links that are down, by direction
	byToken       map[message.Token]*request
	byMessage     map[uint16]*request
	lastSerial    uint32
	lastMessageID uint16
}

// maker builds the policy of an instance.
type nodeFactory func(c *cluster, self *instance) node

// newCluster returns a running cluster of the counter service.
func newCluster(seed uint64, r *config.Resolved, build nodeFactory) *cluster {
	return newClusterWithBackends(seed, r, build, backendCount)
}

// newClusterOf returns a running cluster with a number of backend servers.
func newClusterWithBackends(seed uint64, r *config.Resolved, build nodeFactory, targets int) *cluster {
	c := &cluster{sim: newSim(seed), resolved: r, maxAttempts: 4, cutLinks: make(map[[2]*instance]bool),
		byToken: make(map[message.Token]*request), byMessage: make(map[uint16]*request)}
	c.platform = &platform{cluster: c}
	c.stats = newStats(c)
	for i := range targets {
		// The names differ from seed to seed, and with them the ownership.
		b := newBackend(c.sim, seed, i)
		c.backends = append(c.backends, b)
		r.Service.Targets = append(r.Service.Targets, b.target)
	}
	for i := range instanceCount {
		c.instances = append(c.instances, &instance{index: i, id: ids.Instance(fmt.Sprintf("instance-%d-%d", seed, i))})
	}
	c.routable = append(c.routable, c.instances...)
	for _, in := range c.instances {
		in.node = build(c, in)
	}
	for _, in := range c.instances {
		in.node.setProfile(r)
		in.node.setInstances(c.now, c.serving(nil))
	}
	for i, in := range c.instances {
		// Instances tick out of step with each other.
		c.after(time.Duration(i)*tickInterval/instanceCount, func() {
			c.every(tickInterval, func() {
				if !in.dead {
					in.node.tick()
				}
			})
		})
	}
	c.run(0)
	c.stats.relays = 0
	return c
}

// serving returns the ids of the live instances without those in without.
func (c *cluster) serving(without map[ids.Instance]bool) []ids.Instance {
	var list []ids.Instance
	for _, in := range c.instances {
		if !in.dead && !without[in.id] {
			list = append(list, in.id)
		}
	}
	return list
}

// send delivers m to another instance after the relay delay.
func (c *cluster) sendData(to *instance, m any) { c.sendPeer(to, m, true) }

// sendCounted delivers m; only data messages count as relayed traffic.
func (c *cluster) sendPeer(to *instance, m any, data bool) {
	if data {
		c.stats.relays++
	}
	c.after(peerDelay, func() {
		if !to.dead {
			to.node.handlePeer(m)
		}
	})
}

// dispatch sends r to b. done is called when the outcome is back, or with
// Timeout once the deadline has passed. The result cancels the request.
func (c *cluster) dispatch(from *instance, b *backend, r *request, expires ids.Time, done func(spread.Outcome)) (cancel func()) {
	r.dispatches++
	ended := false
	end := func(o spread.Outcome) {
		if !ended && !from.dead {
			ended = true
			done(o)
		}
	}
	j := &job{runTime: r.runTime, expires: expires}
	j.onOutcome = func(o spread.Outcome) { c.after(backendDelay, func() { end(o) }) }
	c.after(backendDelay, func() { b.accept(j) })
	c.at(expires, func() {
		j.ended = true
		end(spread.Timeout)
	})
	return func() { ended, j.ended = true, true }
}

// check performs a health check for an instance.
func (c *cluster) checkHealth(from *instance, b *backend) {
	c.stats.checks++
	c.after(2*backendDelay, func() {
		if !from.dead {
			from.node.handleHealth(b, b.reportedHealth())
		}
	})
}

// kill ends an instance. Datagrams of callers still reach its address until
// the fabric avoids it, and its peers learn of its end later still.
func (c *cluster) kill(in *instance) {
	in.dead = true
	c.after(fabricDelay, func() {
		for i, s := range c.routable {
			if s == in {
				c.routable = append(c.routable[:i:i], c.routable[i+1:]...)
				return
			}
		}
	})
	for _, other := range c.instances {
		if other != in {
			c.after(suspectDelay+c.between(0, suspectJitter), func() { other.node.setInstances(c.now, c.serving(nil)) })
		}
	}
}

// spray returns an instance at random, as the fabric does.
func (c *cluster) randomInstance() *instance { return c.routable[c.rng.IntN(len(c.routable))] }

// backendOf returns the backend server with a target name.
func (c *cluster) backendByTarget(name ids.Target) *backend {
	for _, b := range c.backends {
		if b.target.Name == name {
			return b
		}
	}
	return nil
}
