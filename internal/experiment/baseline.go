package experiment

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// pick chooses one of the backend servers that a baseline believes healthy.
type pick func(n *baseline, usable []*backend) *backend

// baseline is an instance that sends each request at once to a backend server
// that any instance may use. It queues nothing: the backend servers do, and
// shed load when their queues are full.
type baseline struct {
	c           *cluster
	self        *instance
	pick        pick
	next        int
	outstanding []int
	failedCheck []int // consecutive failed checks
	down        []bool
	checked     int // ticks since the last health check
}

const (
	// baselineRetryAfter is the fixed time to come back of a refusal.
	baselineRetryAfter = time.Second
	checkTicks         = int(time.Second / tickInterval)
)

func newBaseline(p pick) maker {
	return func(c *cluster, self *instance) node {
		return &baseline{c: c, self: self, pick: p, next: c.rng.IntN(len(c.backends)), checked: c.rng.IntN(checkTicks),
			outstanding: make([]int, len(c.backends)), failedCheck: make([]int, len(c.backends)), down: make([]bool, len(c.backends))}
	}
}

func (n *baseline) arrive(r *request) { n.try(r, nil) }

// try sends r to a backend server other than avoid.
func (n *baseline) try(r *request, avoid *backend) {
	var usable []*backend
	for _, b := range n.c.backends {
		if !n.down[b.index] && b != avoid {
			usable = append(usable, b)
		}
	}
	if len(usable) == 0 {
		usable = n.c.backends
	}
	b := n.pick(n, usable)
	n.outstanding[b.index]++
	n.c.dispatch(n.self, b, r, n.c.expiry(r), func(o spread.Outcome) {
		n.outstanding[b.index]--
		switch {
		case o == spread.Success:
			n.c.respond(r, served, 0)
		case o == spread.Shed && avoid == nil:
			n.try(r, b)
		case o == spread.Shed:
			n.c.respond(r, refused, baselineRetryAfter)
		default:
			n.c.respond(r, failed, 0)
		}
	})
}

func (n *baseline) peer(any) {}

func (n *baseline) health(b *backend, healthy bool) {
	if healthy {
		n.failedCheck[b.index] = 0
		n.down[b.index] = false
	} else if n.failedCheck[b.index]++; n.failedCheck[b.index] >= 2 {
		n.down[b.index] = true
	}
}

func (n *baseline) instances(ids.Time, []ids.Instance) {}
func (n *baseline) profile(*config.Resolved)           {}

func (n *baseline) tick() {
	if n.checked++; n.checked < checkTicks {
		return
	}
	n.checked = 0
	for _, b := range n.c.backends {
		n.c.check(n.self, b)
	}
}

func pickRandom(n *baseline, usable []*backend) *backend {
	return usable[n.c.rng.IntN(len(usable))]
}

func pickRoundRobin(n *baseline, usable []*backend) *backend {
	n.next++
	return usable[n.next%len(usable)]
}

// pickLeastOutstanding chooses the backend server with the fewest requests of
// this instance, starting at a random one.
func pickLeastOutstanding(n *baseline, usable []*backend) *backend {
	start := n.c.rng.IntN(len(usable))
	best := usable[start]
	for i := range usable {
		if b := usable[(start+i)%len(usable)]; n.outstanding[b.index] < n.outstanding[best.index] {
			best = b
		}
	}
	return best
}

// loadAge is the age of the load that the power of two choices compares.
const loadAge = 50 * time.Millisecond

// loads keeps the recent load of all backend servers, as it would be known
// from piggybacked reports.
type loads struct {
	history [][]int // oldest first
}

// pickTwoChoices compares the reported load of two random backend servers.
func pickTwoChoices(l *loads) pick {
	return func(n *baseline, usable []*backend) *backend {
		a, b := usable[n.c.rng.IntN(len(usable))], usable[n.c.rng.IntN(len(usable))]
		old := l.at(n.c)
		if old[b.index]+n.outstanding[b.index] < old[a.index]+n.outstanding[a.index] {
			return b
		}
		return a
	}
}

func (l *loads) at(c *cluster) []int {
	if len(l.history) == 0 {
		var record func()
		record = func() {
			now := make([]int, len(c.backends))
			for i, b := range c.backends {
				now[i] = b.running + len(b.queue)
			}
			l.history = append(l.history, now)
			if len(l.history) > int(loadAge/tickInterval)+1 {
				l.history = l.history[1:]
			}
			c.after(tickInterval, record)
		}
		record()
	}
	return l.history[0]
}
