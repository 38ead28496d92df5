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
// service, section 1.4 of the design page.
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
	tickInterval  = 10 * time.Millisecond   // between the ticks of an instance
	fabricDelay   = 500 * time.Millisecond  // until the network fabric stops routing to a dead instance
	suspectDelay  = 1000 * time.Millisecond // until the first peer removes a dead instance from its list
	suspectJitter = 200 * time.Millisecond  // variation of that time between the peers
	deadline      = 2 * time.Second         // of a request, from its arrival at an instance
	longDeadline  = 20 * time.Second        // of a service with long requests
)

// callerResult is the result of an attempt for the caller.
type callerResult uint8

const (
	served  callerResult = iota
	refused              // response 5.03 with a retry-after time
	failed               // response 5.04 or 5.00, or none
)

// node is the scheduling policy of one instance.
type node interface {
	// handleRequest handles a request that arrives from its caller.
	handleRequest(r *request)
	// handlePeer handles a message that another instance sent with
	// cluster.sendData or cluster.sendPeer.
	handlePeer(m any)
	// handleHealth handles the result of a health check.
	handleHealth(t *backend, healthy bool)
	// setInstances replaces the list of serving instances.
	setInstances(now ids.Time, serving []ids.Instance)
	// setProfile applies a new configuration.
	setProfile(r *config.Resolved)
	tick()
}

// instance is a load balancer instance of the model.
type instance struct {
	index int
	id    ids.Instance
	dead  bool
	node  node
}

// cluster holds the state of one run of the model.
type cluster struct {
	*sim
	instances   []*instance
	backends    []*backend
	routable    []*instance // instances that the network fabric routes to
	config      *config.Resolved
	stats       *stats
	maxAttempts int // attempts of a caller, including the first

	// The fields below are used by coreNode only.
	platform      *platform
	cutLinks      map[[2]*instance]bool // links that are down; the key is sender and receiver
	byToken       map[message.Token]*request
	byMessage     map[uint16]*request
	lastSerial    uint32
	lastMessageID uint16
}

// nodeFactory creates the policy of an instance.
type nodeFactory func(c *cluster, self *instance) node

// newCluster returns a running cluster of the counter service with backendCount
// backend servers.
func newCluster(seed uint64, r *config.Resolved, newNode nodeFactory) *cluster {
	return newClusterWithBackends(seed, r, newNode, backendCount)
}

// newClusterWithBackends returns a running cluster with the given number of
// backend servers.
func newClusterWithBackends(seed uint64, r *config.Resolved, newNode nodeFactory, backends int) *cluster {
	c := &cluster{sim: newSim(seed), config: r, maxAttempts: 4, cutLinks: make(map[[2]*instance]bool),
		byToken: make(map[message.Token]*request), byMessage: make(map[uint16]*request)}
	c.platform = &platform{cluster: c}
	c.stats = newStats(c)
	for i := range backends {
		// The names contain the seed, so that slot ownership differs between seeds.
		b := newBackend(c.sim, seed, i)
		c.backends = append(c.backends, b)
		r.Service.Targets = append(r.Service.Targets, b.target)
	}
	for i := range instanceCount {
		c.instances = append(c.instances, &instance{index: i, id: ids.Instance(fmt.Sprintf("instance-%d-%d", seed, i))})
	}
	c.routable = append(c.routable, c.instances...)
	for _, inst := range c.instances {
		inst.node = newNode(c, inst)
	}
	for _, inst := range c.instances {
		inst.node.setProfile(r)
		inst.node.setInstances(c.now, c.serving(nil))
	}
	for i, inst := range c.instances {
		// The ticks of the instances are spread over the interval.
		c.after(time.Duration(i)*tickInterval/instanceCount, func() {
			c.every(tickInterval, func() {
				if !inst.dead {
					inst.node.tick()
				}
			})
		})
	}
	c.run(0)
	c.stats.relays = 0
	return c
}

// serving returns the ids of the live instances except those in excluded.
func (c *cluster) serving(excluded map[ids.Instance]bool) []ids.Instance {
	var list []ids.Instance
	for _, inst := range c.instances {
		if !inst.dead && !excluded[inst.id] {
			list = append(list, inst.id)
		}
	}
	return list
}

// sendData delivers data message m to another instance after the peer delay.
func (c *cluster) sendData(to *instance, m any) { c.sendPeer(to, m, true) }

// sendPeer delivers m to another instance after the peer delay. Only data
// messages are counted as relays.
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

// dispatch sends r to b. done is called with the outcome when it arrives, or with
// Timeout at expires. The returned function cancels the request.
func (c *cluster) dispatch(from *instance, b *backend, r *request, expires ids.Time, done func(spread.Outcome)) (cancel func()) {
	r.dispatches++
	finished := false
	finish := func(o spread.Outcome) {
		if !finished && !from.dead {
			finished = true
			done(o)
		}
	}
	j := &job{runTime: r.runTime, expires: expires}
	j.onOutcome = func(o spread.Outcome) { c.after(backendDelay, func() { finish(o) }) }
	c.after(backendDelay, func() { b.accept(j) })
	c.at(expires, func() {
		j.ended = true
		finish(spread.Timeout)
	})
	return func() { finished, j.ended = true, true }
}

// checkHealth performs a health check of b for an instance.
func (c *cluster) checkHealth(from *instance, b *backend) {
	c.stats.checks++
	c.after(2*backendDelay, func() {
		if !from.dead {
			from.node.handleHealth(b, b.reportedHealth())
		}
	})
}

// kill stops an instance. The network fabric routes datagrams of callers to it
// for another fabricDelay, and its peers remove it from their lists even later.
func (c *cluster) kill(inst *instance) {
	inst.dead = true
	c.after(fabricDelay, func() {
		for i, candidate := range c.routable {
			if candidate == inst {
				c.routable = append(c.routable[:i:i], c.routable[i+1:]...)
				return
			}
		}
	})
	for _, other := range c.instances {
		if other != inst {
			c.after(suspectDelay+c.between(0, suspectJitter), func() { other.node.setInstances(c.now, c.serving(nil)) })
		}
	}
}

// randomInstance returns the instance to which the network fabric routes the next
// datagram, selected at random.
func (c *cluster) randomInstance() *instance { return c.routable[c.rng.IntN(len(c.routable))] }

// backendByTarget returns the backend server with a target name.
func (c *cluster) backendByTarget(name ids.Target) *backend {
	for _, b := range c.backends {
		if b.target.Name == name {
			return b
		}
	}
	return nil
}
