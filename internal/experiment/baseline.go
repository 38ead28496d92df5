package experiment

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// pick chooses one of the backend servers that a baseline believes healthy.
type backendPicker func(n *baseline, usable []*backend) *backend

// baseline is an instance that sends each request at once to a backend server
// that any instance may use. It queues nothing: the backend servers do, and
// shed load when their queues are full.
type baseline struct {
	cluster         *cluster
	self            *instance
	pick            backendPicker
	nextBackend     int
	outstanding     []int
	failedChecks    []int // consecutive failed checks
	markedDown      []bool
	ticksSinceCheck int // ticks since the last health check
}

const (
	// baselineRetryAfter is the fixed time to come back of a refusal.
	baselineRetryAfter = time.Second
	ticksPerCheck      = int(time.Second / tickInterval)
)

func newBaseline(p backendPicker) nodeFactory {
	return func(c *cluster, self *instance) node {
		return &baseline{cluster: c, self: self, pick: p, nextBackend: c.rng.IntN(len(c.backends)), ticksSinceCheck: c.rng.IntN(ticksPerCheck),
			outstanding: make([]int, len(c.backends)), failedChecks: make([]int, len(c.backends)), markedDown: make([]bool, len(c.backends))}
	}
}

func (n *baseline) handleRequest(r *request) { n.send(r, nil) }

// try sends r to a backend server other than avoid.
func (n *baseline) send(r *request, avoid *backend) {
	var usable []*backend
	for _, b := range n.cluster.backends {
		if !n.markedDown[b.index] && b != avoid {
			usable = append(usable, b)
		}
	}
	if len(usable) == 0 {
		usable = n.cluster.backends
	}
	b := n.pick(n, usable)
	n.outstanding[b.index]++
	n.cluster.dispatch(n.self, b, r, n.cluster.expiry(r), func(o spread.Outcome) {
		n.outstanding[b.index]--
		switch {
		case o == spread.Success:
			n.cluster.deliverResponse(r, served, 0)
		case o == spread.Shed && avoid == nil:
			n.send(r, b)
		case o == spread.Shed:
			n.cluster.deliverResponse(r, refused, baselineRetryAfter)
		default:
			n.cluster.deliverResponse(r, failed, 0)
		}
	})
}

func (n *baseline) handlePeer(any) {}

func (n *baseline) handleHealth(b *backend, healthy bool) {
	if healthy {
		n.failedChecks[b.index] = 0
		n.markedDown[b.index] = false
	} else if n.failedChecks[b.index]++; n.failedChecks[b.index] >= 2 {
		n.markedDown[b.index] = true
	}
}

func (n *baseline) setInstances(ids.Time, []ids.Instance) {}
func (n *baseline) setProfile(*config.Resolved)           {}

func (n *baseline) tick() {
	if n.ticksSinceCheck++; n.ticksSinceCheck < ticksPerCheck {
		return
	}
	n.ticksSinceCheck = 0
	for _, b := range n.cluster.backends {
		n.cluster.checkHealth(n.self, b)
	}
}

func pickRandom(n *baseline, usable []*backend) *backend {
	return usable[n.cluster.rng.IntN(len(usable))]
}

func pickRoundRobin(n *baseline, usable []*backend) *backend {
	n.nextBackend++
	return usable[n.nextBackend%len(usable)]
}

// pickLeastOutstanding chooses the backend server with the fewest requests of
// this instance, starting at a random one.
func pickLeastOutstanding(n *baseline, usable []*backend) *backend {
	start := n.cluster.rng.IntN(len(usable))
	best := usable[start]
	for i := range usable {
		if b := usable[(start+i)%len(usable)]; n.outstanding[b.index] < n.outstanding[best.index] {
			best = b
		}
	}
	return best
}

// loadAge is the age of the load that the power of two choices compares.
const loadReportAge = 50 * time.Millisecond

// loads keeps the recent load of all backend servers, as it would be known
// from piggybacked reports.
type loadHistory struct {
	samples [][]int // oldest first
}

// pickTwoChoices compares the reported load of two random backend servers.
func pickTwoChoices(l *loadHistory) backendPicker {
	return func(n *baseline, usable []*backend) *backend {
		a, b := usable[n.cluster.rng.IntN(len(usable))], usable[n.cluster.rng.IntN(len(usable))]
		old := l.delayed(n.cluster)
		if old[b.index]+n.outstanding[b.index] < old[a.index]+n.outstanding[a.index] {
			return b
		}
		return a
	}
}

func (l *loadHistory) delayed(c *cluster) []int {
	if len(l.samples) == 0 {
		var record func()
		record = func() {
			now := make([]int, len(c.backends))
			for i, b := range c.backends {
				now[i] = b.running + len(b.queue)
			}
			l.samples = append(l.samples, now)
			if len(l.samples) > int(loadReportAge/tickInterval)+1 {
				l.samples = l.samples[1:]
			}
			c.after(tickInterval, record)
		}
		record()
	}
	return l.samples[0]
}
