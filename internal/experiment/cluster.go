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
	dataCentre     = ids.DataCentre("dc1")
	serviceName    = ids.Service("counter")
	instanceCount  = 5
	targetCount    = 15
	slotsPerTarget = 2
	slotCount      = targetCount * slotsPerTarget
	callerCount    = 2000

	callerDelay  = 3 * time.Millisecond    // one way, caller to instance
	peerDelay    = 250 * time.Microsecond  // one way, instance to instance
	backendDelay = 250 * time.Microsecond  // one way, instance to backend server
	tickInterval = 10 * time.Millisecond   // of the instances
	fabricLag    = 500 * time.Millisecond  // until the fabric avoids a dead instance
	suspectLag   = 1000 * time.Millisecond // until peers have noticed a dead instance
	suspectSpan  = 200 * time.Millisecond  // spread of that time over the peers
	deadline     = 2 * time.Second         // of a request, from arrival
	longDeadline = 20 * time.Second        // of a service with long requests
)

// answer is what a caller receives.
type answer uint8

const (
	served  answer = iota
	refused        // 5.03 with a time to come back
	failed         // 5.04 or 5.00
)

// node is the policy of one instance.
type node interface {
	// arrive takes a request that came from its caller.
	arrive(r *request)
	// peer takes a message that another instance sent with cluster.send.
	peer(m any)
	// health takes the result of a health check.
	health(t *backend, healthy bool)
	// instances takes the list of serving instances as seen now.
	instances(now ids.Time, serving []ids.Instance)
	// profile takes a new profile into use.
	profile(r *config.Resolved)
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
	instances []*instance
	backends  []*backend
	sprayed   []*instance // instances that the fabric uses
	resolved  *config.Resolved
	stats     *stats
	maxTries  int // attempts of a caller, the first included

	// Used with the core only.
	platform  *platform
	cut       map[[2]*instance]bool // links that are down, by direction
	byToken   map[message.Token]*request
	byMessage map[uint16]*request
	serial    uint32
	messageID uint16
}

// maker builds the policy of an instance.
type maker func(c *cluster, self *instance) node

// newCluster returns a running cluster of the counter service.
func newCluster(seed uint64, r *config.Resolved, build maker) *cluster {
	return newClusterOf(seed, r, build, targetCount)
}

// newClusterOf returns a running cluster with a number of backend servers.
func newClusterOf(seed uint64, r *config.Resolved, build maker, targets int) *cluster {
	c := &cluster{sim: newSim(seed), resolved: r, maxTries: 4, cut: make(map[[2]*instance]bool),
		byToken: make(map[message.Token]*request), byMessage: make(map[uint16]*request)}
	c.platform = &platform{c: c}
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
	c.sprayed = append(c.sprayed, c.instances...)
	for _, in := range c.instances {
		in.node = build(c, in)
	}
	for _, in := range c.instances {
		in.node.profile(r)
		in.node.instances(c.now, c.serving(nil))
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
func (c *cluster) send(to *instance, m any) { c.sendCounted(to, m, true) }

// sendCounted delivers m; only data messages count as relayed traffic.
func (c *cluster) sendCounted(to *instance, m any, data bool) {
	if data {
		c.stats.relays++
	}
	c.after(peerDelay, func() {
		if !to.dead {
			to.node.peer(m)
		}
	})
}

// dispatch sends r to b. done is called when the outcome is back, or with
// Timeout once the deadline has passed. The result cancels the request.
func (c *cluster) dispatch(from *instance, b *backend, r *request, expires ids.Time, done func(spread.Outcome)) (cancel func()) {
	r.dispatched++
	ended := false
	end := func(o spread.Outcome) {
		if !ended && !from.dead {
			ended = true
			done(o)
		}
	}
	j := &job{run: r.run, expires: expires}
	j.done = func(o spread.Outcome) { c.after(backendDelay, func() { end(o) }) }
	c.after(backendDelay, func() { b.accept(j) })
	c.at(expires, func() {
		j.gone = true
		end(spread.Timeout)
	})
	return func() { ended, j.gone = true, true }
}

// check performs a health check for an instance.
func (c *cluster) check(from *instance, b *backend) {
	c.stats.checks++
	c.after(2*backendDelay, func() {
		if !from.dead {
			from.node.health(b, b.healthy())
		}
	})
}

// kill ends an instance. Datagrams of callers still reach its address until
// the fabric avoids it, and its peers learn of its end later still.
func (c *cluster) kill(in *instance) {
	in.dead = true
	c.after(fabricLag, func() {
		for i, s := range c.sprayed {
			if s == in {
				c.sprayed = append(c.sprayed[:i:i], c.sprayed[i+1:]...)
				return
			}
		}
	})
	for _, other := range c.instances {
		if other != in {
			c.after(suspectLag+c.between(0, suspectSpan), func() { other.node.instances(c.now, c.serving(nil)) })
		}
	}
}

// spray returns an instance at random, as the fabric does.
func (c *cluster) spray() *instance { return c.sprayed[c.rng.IntN(len(c.sprayed))] }

// backendOf returns the backend server with a target name.
func (c *cluster) backendOf(name ids.Target) *backend {
	for _, b := range c.backends {
		if b.target.Name == name {
			return b
		}
	}
	return nil
}
