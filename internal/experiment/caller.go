package experiment

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Times of a caller, RFC 7252 section 4.8.
const (
	ackTimeout      = 2 * time.Second
	ackRandomFactor = 1.5
	maxRetransmit   = 4
	ackDelay        = 1500 * time.Millisecond // an instance acknowledges a request that takes longer
	callerTimeout   = 4 * time.Second         // wait for the response after the acknowledgement, beyond the deadline
)

// issue starts a new request of m.
func (c *cluster) sendRequest(m *trafficMix) {
	r := m.newRequest(c.sim, callerCount)
	r.firstSent = c.now
	c.stats.recordFirst(r)
	c.startAttempt(r)
}

// attempt transmits r for the first time or after a refusal.
func (c *cluster) startAttempt(r *request) {
	r.attempts++
	r.retransmissions = 0
	r.acked, r.retryPending = false, false
	r.echo = nil
	r.attemptStart = c.now
	c.stats.recordTransmission(r)
	c.transmit(r, r.attempts, c.between(ackTimeout, time.Duration(float64(ackTimeout)*ackRandomFactor)))
}

// transmit sends r to a random instance and repeats it with doubled time-out
// until it is acknowledged.
func (c *cluster) transmit(r *request, try int, timeout time.Duration) {
	in := c.randomInstance()
	c.after(callerDelay, func() {
		if in.dead {
			return
		}
		r.receiver = in
		in.node.handleRequest(r)
		if _, ok := in.node.(*coreNode); ok {
			return // it sends the acknowledgement itself
		}
		c.after(ackDelay, func() {
			if !r.receiver.dead && !r.settled && r.attempts == try {
				c.after(callerDelay, func() { r.acked = true })
			}
		})
	})
	c.after(timeout, func() {
		if r.settled || r.retryPending || r.attempts != try {
			return
		}
		if r.acked || r.retransmissions >= maxRetransmit {
			// The response is separate; it is lost if the instance has died.
			c.after(c.expiry(r).Sub(r.attemptStart)+callerTimeout-timeout, func() {
				if !r.settled && !r.retryPending && r.attempts == try {
					c.settle(r, failed)
				}
			})
			return
		}
		r.retransmissions++
		c.stats.recordTransmission(r)
		c.transmit(r, try, 2*timeout)
	})
}

// challenge delivers an admission token, with which the caller repeats r.
func (c *cluster) deliverChallenge(r *request, echo []byte) {
	try := r.attempts
	c.after(callerDelay, func() {
		if r.settled || r.retryPending || r.attempts != try {
			return
		}
		r.echo = echo
		r.retransmissions = 0
		c.transmit(r, try, c.between(ackTimeout, time.Duration(float64(ackTimeout)*ackRandomFactor)))
	})
}

// respond delivers an answer to the caller of r. retryAfter is the time to
// come back of a refusal.
func (c *cluster) deliverResponse(r *request, a callerResult, retryAfter time.Duration) {
	try := r.attempts
	c.after(callerDelay, func() {
		if r.settled || r.retryPending || r.attempts != try {
			c.stats.duplicates++
			return
		}
		if a != refused {
			c.settle(r, a)
			return
		}
		c.stats.recordRefusal(r, retryAfter)
		if r.attempts >= c.maxAttempts {
			c.settle(r, refused)
			return
		}
		r.retryPending = true
		c.after(retryAfter, func() { c.startAttempt(r) })
	})
}

func (c *cluster) settle(r *request, a callerResult) {
	r.settled = true
	if r.messageID != 0 {
		c.after(longDeadline, func() { delete(c.byToken, r.coapToken()) })
	}
	c.stats.recordSettled(r, a)
}

// expiry returns the time at which an instance gives up on the current attempt.
func (c *cluster) expiry(r *request) ids.Time {
	return r.attemptStart.Add(callerDelay + c.resolved.Profile.Protect.Deadline)
}
