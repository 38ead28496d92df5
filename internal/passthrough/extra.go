package passthrough

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/hedge"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// MaxOpeningBytes is the maximum size of an opening packet that can be sent to a second
// target.
const MaxOpeningBytes = 32

// maxExtraLoad is the number of active requests per slot from which no opening is sent to a
// second target.
const maxExtraLoad = 1

// ExtraOpening is an opening packet to send to a second target, since the first one has not
// answered for longer than nearly all others take. The flow opens at the target whose answer
// the caller acknowledges first; the other one never gets a request.
type ExtraOpening struct {
	Flow     FlowKey
	Packet   []byte // as received; valid during the call
	Decision Decision
}

// sendExtraOpenings queues the openings that are due to be sent to a second target.
func (c *Core) sendExtraOpenings(now ids.Time) {
	if c.settings.ExtraOpenings <= 0 {
		return
	}
	q := &c.openings
	for q.examined < q.count {
		o := q.at(q.examined)
		f := c.flows.get(o.flow)
		waiting := f != nil && f.state == flowOpening && f.forwardedAt == o.sentAt
		if waiting {
			delay, known := c.handshakes.Delay()
			if !known || now.Sub(o.sentAt) < delay {
				return // those behind it were sent later
			}
			c.sendExtraOpening(now, o, f)
		}
		q.examined++
	}
}

// sendExtraOpening queues one opening for a second target, if its requests may be repeated,
// there is room, and the budget allows it.
func (c *Core) sendExtraOpening(now ids.Time, o *pendingOpening, f *flow) {
	route, first := c.routes.routes[o.flow.Service], c.target(f)
	if route == nil || !route.Idempotent || o.size == 0 || first == nil {
		return
	}
	wanted := placement{route, first.Service, first, c.hasLongFlows(o.flow.Service)}
	p := c.targets.pools[first.Service]
	if p == nil || p.slots == 0 || p.updatePressure(now, c.instanceCount) >= maxExtraLoad {
		return
	}
	second := c.choose(now, &wanted)
	if second == nil || second == first || second.excluded(now) || !c.budget.Spend() {
		return
	}
	c.countColdRequests(now, second, route)
	c.extraOpenings = append(c.extraOpenings, extraOpening{o.flow, o.raw, o.size, c.forwardTo(second, Extra)})
}

// extraOpening is a queued ExtraOpening.
type extraOpening struct {
	flow     FlowKey
	raw      [MaxOpeningBytes]byte
	size     uint8
	decision Decision
}

// TakeExtraOpenings calls f with each opening to send to a second target, and removes them.
func (c *Core) TakeExtraOpenings(f func(*ExtraOpening)) {
	for i := range c.extraOpenings {
		o := &c.extraOpenings[i]
		f(&ExtraOpening{Flow: o.flow, Packet: o.raw[:o.size], Decision: o.decision})
	}
	c.extraOpenings = c.extraOpenings[:0]
}

// recordHandshake records that t has answered the opening of f. If another target was asked
// first, that one is suspected: it did not answer in the time that nearly all others need.
func (c *Core) recordHandshake(now ids.Time, f *flow, t *target, d *Decision) {
	c.recordOpened(now)
	d.HandshakeTime = now.Sub(f.forwardedAt)
	first := c.target(f)
	if first == t {
		c.handshakes.Observe(d.HandshakeTime)
		return
	}
	d.OpenedElsewhere = true
	if first != nil && c.settings.ExtraOpenings > 0 {
		c.recordFailure(now, first, f.forwardedAt, "slower than a second target")
	}
}

// extraDelay returns the time after which an opening is sent to a second target, or 0 while
// that is not known.
func (c *Core) extraDelay() time.Duration {
	delay, known := c.handshakes.Delay()
	if !known || c.settings.ExtraOpenings <= 0 {
		return 0
	}
	return delay
}

// newBudget returns the budget of extra openings.
func newBudget(s *Settings) hedge.Budget { return hedge.Budget{Share: s.ExtraOpenings} }
