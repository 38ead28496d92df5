package core

import (
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/flow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

const (
	// ackAfter is the time after which a request without a response gets an
	// empty ACK. It is below ACK_TIMEOUT (2 s), so that the caller does not
	// retransmit, and close to it: a request that was acknowledged by an
	// instance that then dies is not retransmitted to another one.
	ackAfter = 1500 * time.Millisecond

	// Retransmission of confirmable messages to callers. The first timeout is
	// half of the default ACK_TIMEOUT, as callers are milliseconds away.
	confirmTimeout = time.Second
	maxRetransmit  = 4 // RFC 7252 section 4.8

	// maxConfirms bounds the messages that await an ACK. Beyond it responses
	// are sent non-confirmable.
	maxConfirms = 1 << 15
)

// confirm is a confirmable message to a caller that awaits its ACK.
type confirm struct {
	key      flow.AckKey
	out      message.Outgoing // its slices refer to the buffers below
	template []byte
	echo     []byte
	payload  []byte
	feed     flow.Key // the feed of a notification
	isFeed   bool
	next     ids.Time
	timeout  time.Duration
	sent     int
	index    int // in Core.confirmList
}

// respond sends a final response: with the ACK, or separately once an empty
// ACK was sent, or non-confirmable like the request.
func (c *Core) respond(x *exchange, o *message.Outgoing) {
	o.Token = x.token
	switch {
	case x.kind != message.Confirmable:
		o.Type, o.ID = message.NonConfirmable, flow.ResponseID(c.now)
	case !x.acked:
		o.Type, o.ID = message.Acknowledgement, x.id
	default:
		o.Type, o.ID = message.Confirmable, flow.ResponseID(c.now)
		if q := c.confirm(x.svc, x.caller, o); q == nil {
			o.Type = message.NonConfirmable
		}
	}
	e := c.emit(ToCaller)
	e.Service, e.Endpoint, e.Datagram = x.svc.name, x.caller, *o
}

// ack sends the empty ACK after which the response follows separately.
func (c *Core) ack(x *exchange) {
	x.acked = true
	e := c.emit(ToCaller)
	e.Service, e.Endpoint = x.svc.name, x.caller
	e.Datagram = message.Outgoing{Type: message.Acknowledgement, ID: x.id}
}

// confirm keeps a copy of a confirmable message until it is acknowledged. It
// chooses the next free message id from o.ID on. The caller of confirm sends
// the message the first time. The ACK may arrive at any instance, which relays
// it to the home of the caller; that one learns here where to relay it.
func (c *Core) confirm(s *service, caller ids.Endpoint, o *message.Outgoing) *confirm {
	if len(c.confirmList) >= maxConfirms {
		return nil
	}
	k := flow.AckKey{FlowKey: ids.FlowKey{Caller: caller, Service: s.name}, ID: o.ID}
	for c.confirms[k] != nil {
		k.ID = k.ID&(1<<15) | (k.ID+1)&(1<<15-1)
	}
	o.ID = k.ID
	var q *confirm
	if n := len(c.confirmFree); n > 0 {
		q, c.confirmFree = c.confirmFree[n-1], c.confirmFree[:n-1]
	} else {
		q = new(confirm)
	}
	*q = confirm{
		key: k, out: *o, index: len(c.confirmList), sent: 1,
		template: append(q.template[:0], o.Template...),
		echo:     append(q.echo[:0], o.Echo...),
		payload:  append(q.payload[:0], o.Payload...),
		timeout:  confirmTimeout + time.Duration(c.rng.Int64N(int64(confirmTimeout)/2)),
	}
	q.out.Template, q.out.Echo, q.out.Payload = orNil(q.template), orNil(q.echo), orNil(q.payload)
	q.next = c.now.Add(q.timeout)
	c.confirms[k] = q
	c.confirmList = append(c.confirmList, q)
	if home, ok := c.home(s, ids.HashEndpoint(caller)); ok && home != c.self.ID {
		c.ackRoute(s, caller, k.ID, 0, home)
	}
	return q
}

func orNil(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	return b
}

// ackRoute asks the home of a caller to relay an ACK, or the follow-up blocks
// of path, to this instance.
func (c *Core) ackRoute(s *service, caller ids.Endpoint, id uint16, path uint64, home ids.Instance) {
	b := c.peer(s)
	b.ackRoute = peerwire.AckRoute{Service: s.name, Caller: b.address(caller), ID: id, Path: path}
	b.message.AckRoute = &b.ackRoute
	c.send(home, b)
}

// forget ends the wait for an ACK.
func (c *Core) forget(q *confirm) {
	delete(c.confirms, q.key)
	last := len(c.confirmList) - 1
	c.confirmList[q.index] = c.confirmList[last]
	c.confirmList[q.index].index = q.index
	c.confirmList[last] = nil
	c.confirmList = c.confirmList[:last]
	c.confirmFreed = append(c.confirmFreed, q)
}

// confirmed handles an ACK or RST for q.
func (c *Core) confirmed(q *confirm, reset bool) {
	c.forget(q)
	if !q.isFeed {
		return
	}
	if f := c.feeds.Get(q.feed); f != nil {
		f.UnackedNotifications = 0
		if reset {
			c.endFeed(f)
		}
	}
}

// retransmit sends the confirmable messages again whose ACK is overdue.
func (c *Core) retransmit() {
	// In reverse, as forget moves the last element to the removed place.
	for _, q := range slices.Backward(c.confirmList) {
		if c.now < q.next {
			continue
		}
		if q.isFeed && c.feeds.Get(q.feed) == nil {
			c.forget(q)
			continue
		}
		if q.sent > maxRetransmit {
			c.forget(q)
			c.unconfirmed(q)
			continue
		}
		q.sent++
		q.timeout *= 2
		q.next = c.now.Add(q.timeout)
		c.counts.Retransmits++
		e := c.emit(ToCaller)
		e.Service, e.Endpoint, e.Datagram = q.key.Service, q.key.Caller, q.out
	}
}

// unconfirmed handles a message that was never acknowledged. One lost
// notification does not end a feed: the caller may be unreachable for a while.
func (c *Core) unconfirmed(q *confirm) {
	if !q.isFeed {
		return
	}
	f := c.feeds.Get(q.feed)
	if f == nil {
		return
	}
	if f.UnackedNotifications++; f.UnackedNotifications >= flow.MaxUnacked {
		c.endFeed(f)
	}
}
