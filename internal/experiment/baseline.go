package experiment

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// backendPicker selects one of the candidates. These are the backend servers
// that are not marked down, or all if there is none.
type backendPicker func(n *baseline, candidates []*backend) *backend

// baseline is a policy in which every instance uses all backend servers and
// forwards each request immediately. Requests queue at the backend servers, which
// shed load when their queues are full.
type baseline struct {
	cluster         *cluster
	self            *instance
	pick            backendPicker
	nextBackend     int
	outstanding     []int  // requests at each backend server
	failedChecks    []int  // consecutive failed health checks, by backend server
	markedDown      []bool // by backend server
	ticksSinceCheck int    // ticks since the last round of health checks
}

const (
	// baselineRetryAfter is the retry-after time of every refusal.
	baselineRetryAfter = time.Second
	ticksPerCheck      = int(time.Second / tickInterval)
)

func newBaseline(pick backendPicker) nodeFactory {
	return func(c *cluster, self *instance) node {
		return &baseline{cluster: c, self: self, pick: pick, nextBackend: c.rng.IntN(len(c.backends)), ticksSinceCheck: c.rng.IntN(ticksPerCheck),
			outstanding: make([]int, len(c.backends)), failedChecks: make([]int, len(c.backends)), markedDown: make([]bool, len(c.backends))}
	}
}

func (n *baseline) handleRequest(r *request) { n.send(r, nil) }

// send sends r to a backend server other than exclude. A request that is shed is
// tried once at a second backend server, then refused.
func (n *baseline) send(r *request, exclude *backend) {
	var candidates []*backend
	for _, b := range n.cluster.backends {
		if !n.markedDown[b.index] && b != exclude {
			candidates = append(candidates, b)
		}
	}
	if len(candidates) == 0 {
		candidates = n.cluster.backends
	}
	b := n.pick(n, candidates)
	n.outstanding[b.index]++
	n.cluster.dispatch(n.self, b, r, n.cluster.expiry(r), func(o spread.Outcome) {
		n.outstanding[b.index]--
		switch {
		case o == spread.Success:
			n.cluster.deliverResponse(r, served, 0)
		case o == spread.Shed && exclude == nil:
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

func pickRandom(n *baseline, candidates []*backend) *backend {
	return candidates[n.cluster.rng.IntN(len(candidates))]
}

func pickRoundRobin(n *baseline, candidates []*backend) *backend {
	n.nextBackend++
	return candidates[n.nextBackend%len(candidates)]
}

// pickLeastOutstanding selects the backend server with the fewest outstanding
// requests of this instance. The search starts at a random candidate, so that ties
// are broken at random.
func pickLeastOutstanding(n *baseline, candidates []*backend) *backend {
	start := n.cluster.rng.IntN(len(candidates))
	best := candidates[start]
	for i := range candidates {
		if b := candidates[(start+i)%len(candidates)]; n.outstanding[b.index] < n.outstanding[best.index] {
			best = b
		}
	}
	return best
}

// loadReportAge is the age of the load reports that the power-of-two-choices
// policy compares.
const loadReportAge = 50 * time.Millisecond

// loadHistory holds the recent load of all backend servers, as instances would
// receive it in piggybacked reports.
type loadHistory struct {
	samples [][]int // load by backend server, oldest sample first
}

// pickTwoChoices returns a picker that selects the less loaded of two random
// backend servers. It compares the reported load plus the outstanding requests
// of the instance.
func pickTwoChoices(loads *loadHistory) backendPicker {
	return func(n *baseline, candidates []*backend) *backend {
		a, b := candidates[n.cluster.rng.IntN(len(candidates))], candidates[n.cluster.rng.IntN(len(candidates))]
		reported := loads.delayed(n.cluster)
		if reported[b.index]+n.outstanding[b.index] < reported[a.index]+n.outstanding[a.index] {
			return b
		}
		return a
	}
}

// delayed returns the oldest sample, which is loadReportAge old once the history
// is full. The first call starts the recording.
func (l *loadHistory) delayed(c *cluster) []int {
	if len(l.samples) == 0 {
		var record func()
		record = func() {
			sample := make([]int, len(c.backends))
			for i, b := range c.backends {
				sample[i] = b.running + len(b.queue)
			}
			l.samples = append(l.samples, sample)
			if len(l.samples) > int(loadReportAge/tickInterval)+1 {
				l.samples = l.samples[1:]
			}
			c.after(tickInterval, record)
		}
		record()
	}
	return l.samples[0]
}
