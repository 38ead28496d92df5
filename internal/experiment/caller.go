package experiment

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Times of a caller, RFC 7252 section 4.8.
const (
	ackTimeout    = 2 * time.Second
	ackRandom     = 1.5
	maxRetransmit = 4
	ackAfter      = 1500 * time.Millisecond // an instance acknowledges a request that takes longer
	callerTimeout = 4 * time.Second         // wait for the response after the acknowledgement, beyond the deadline
)

// issue starts a new request of m.
func (c *cluster) issue(m *mix) {
	r := m.draw(c.sim, callerCount)
	r.sent = c.now
	c.stats.first(r)
	c.attempt(r)
}

// attempt transmits r for the first time or after a refusal.
func (c *cluster) attempt(r *request) {
	r.tries++
	r.repeats = 0
	r.acked, r.waiting = false, false
	r.echo = nil
	r.attempt = c.now
	c.stats.transmitted(r)
	c.transmit(r, r.tries, c.between(ackTimeout, time.Duration(float64(ackTimeout)*ackRandom)))
}

// transmit sends r to a random instance and repeats it with doubled time-out
// until it is acknowledged.
func (c *cluster) transmit(r *request, try int, timeout time.Duration) {
	in := c.spray()
	c.after(callerDelay, func() {
		if in.dead {
			return
		}
		r.holder = in
		in.node.arrive(r)
		if _, ok := in.node.(*coreNode); ok {
			return // it sends the acknowledgement itself
		}
		c.after(ackAfter, func() {
			if !r.holder.dead && !r.settled && r.tries == try {
				c.after(callerDelay, func() { r.acked = true })
			}
		})
	})
	c.after(timeout, func() {
		if r.settled || r.waiting || r.tries != try {
			return
		}
		if r.acked || r.repeats >= maxRetransmit {
			// The response is separate; it is lost if the instance has died.
			c.after(c.expiry(r).Sub(r.attempt)+callerTimeout-timeout, func() {
				if !r.settled && !r.waiting && r.tries == try {
					c.settle(r, failed)
				}
			})
			return
		}
		r.repeats++
		c.stats.transmitted(r)
		c.transmit(r, try, 2*timeout)
	})
}

// challenge delivers an admission token, with which the caller repeats r.
func (c *cluster) challenge(r *request, echo []byte) {
	try := r.tries
	c.after(callerDelay, func() {
		if r.settled || r.waiting || r.tries != try {
			return
		}
		r.echo = echo
		r.repeats = 0
		c.transmit(r, try, c.between(ackTimeout, time.Duration(float64(ackTimeout)*ackRandom)))
	})
}

// respond delivers an answer to the caller of r. retryAfter is the time to
// come back of a refusal.
func (c *cluster) respond(r *request, a answer, retryAfter time.Duration) {
	try := r.tries
	c.after(callerDelay, func() {
		if r.settled || r.waiting || r.tries != try {
			c.stats.duplicates++
			return
		}
		if a != refused {
			c.settle(r, a)
			return
		}
		c.stats.refusal(r, retryAfter)
		if r.tries >= c.maxTries {
			c.settle(r, refused)
			return
		}
		r.waiting = true
		c.after(retryAfter, func() { c.attempt(r) })
	})
}

func (c *cluster) settle(r *request, a answer) {
	r.settled = true
	if r.id != 0 {
		c.after(longDeadline, func() { delete(c.byToken, r.coapToken()) })
	}
	c.stats.settled(r, a)
}

// expiry returns the time at which an instance gives up on the current attempt.
func (c *cluster) expiry(r *request) ids.Time {
	return r.attempt.Add(callerDelay + c.resolved.Profile.Protect.Deadline)
}
