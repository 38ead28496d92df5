package experiment

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Transmission parameters of a caller, RFC 7252 section 4.8.
const (
	ackTimeout      = 2 * time.Second
	ackRandomFactor = 1.5
	maxRetransmit   = 4
	ackDelay        = 1500 * time.Millisecond // a request that takes longer is acknowledged separately
	callerTimeout   = 4 * time.Second         // how long a caller waits for a separate response after the deadline
)

// sendRequest creates a request of m and sends it for the first time.
func (c *cluster) sendRequest(m *trafficMix) {
	r := m.newRequest(c.sim, callerCount)
	r.firstSent = c.now
	c.stats.recordFirst(r)
	c.startAttempt(r)
}

// startAttempt begins an attempt: the first transmission of r, or the one after
// a refusal.
func (c *cluster) startAttempt(r *request) {
	r.attempts++
	r.retransmissions = 0
	r.acked, r.retryPending = false, false
	r.echo = nil
	r.attemptStart = c.now
	c.stats.recordTransmission(r)
	c.transmit(r, r.attempts, c.between(ackTimeout, time.Duration(float64(ackTimeout)*ackRandomFactor)))
}

// transmit sends r to a random instance and retransmits it with doubled timeout
// until it is acknowledged. It does nothing more once a later attempt has started.
func (c *cluster) transmit(r *request, attempt int, timeout time.Duration) {
	receiver := c.randomInstance()
	c.after(callerDelay, func() {
		if receiver.dead {
			return
		}
		r.currentInstance = receiver
		receiver.node.handleRequest(r)
		if _, ok := receiver.node.(*coreNode); ok {
			return // a coreNode sends the acknowledgement itself
		}
		c.after(ackDelay, func() {
			if !r.currentInstance.dead && !r.settled && r.attempts == attempt {
				c.after(callerDelay, func() { r.acked = true })
			}
		})
	})
	c.after(timeout, func() {
		if r.settled || r.retryPending || r.attempts != attempt {
			return
		}
		if r.acked || r.retransmissions >= maxRetransmit {
			// Waits for a separate response, which is lost if the instance has died.
			c.after(c.expiry(r).Sub(r.attemptStart)+callerTimeout-timeout, func() {
				if !r.settled && !r.retryPending && r.attempts == attempt {
					c.settle(r, failed)
				}
			})
			return
		}
		r.retransmissions++
		c.stats.recordTransmission(r)
		c.transmit(r, attempt, 2*timeout)
	})
}

// deliverChallenge delivers an admission token (Echo option) to the caller of r,
// who sends r again with it.
func (c *cluster) deliverChallenge(r *request, echo []byte) {
	attempt := r.attempts
	c.after(callerDelay, func() {
		if r.settled || r.retryPending || r.attempts != attempt {
			return
		}
		r.echo = echo
		r.retransmissions = 0
		c.transmit(r, attempt, c.between(ackTimeout, time.Duration(float64(ackTimeout)*ackRandomFactor)))
	})
}

// deliverResponse delivers a response to the caller of r. retryAfter is the time
// after which the caller of a refused request tries again.
func (c *cluster) deliverResponse(r *request, result callerResult, retryAfter time.Duration) {
	attempt := r.attempts
	c.after(callerDelay, func() {
		if r.settled || r.retryPending || r.attempts != attempt {
			c.stats.duplicates++
			return
		}
		if result != refused {
			c.settle(r, result)
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

// settle ends r with its final result.
func (c *cluster) settle(r *request, result callerResult) {
	r.settled = true
	if r.messageID != 0 {
		c.after(longDeadline, func() { delete(c.byToken, r.coapToken()) })
	}
	c.stats.recordSettled(r, result)
}

// expiry returns the time until which an instance may respond to the current
// attempt of r.
func (c *cluster) expiry(r *request) ids.Time {
	return r.attemptStart.Add(callerDelay + c.config.Profile.Protect.Deadline)
}
