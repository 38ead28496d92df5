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
	// emptyAckDelay is the time after which a request without a response gets
	// an empty ACK. It is below ACK_TIMEOUT (2 s), so that the caller does not
	// retransmit, and close to it, because a request that was acknowledged by
	// an instance that then fails is not retransmitted to another one.
	emptyAckDelay = 1500 * time.Millisecond

	// Retransmission of confirmable messages to callers. The first timeout is
	// half of the default ACK_TIMEOUT, as the round-trip time to callers is a
	// few milliseconds.
	initialAckTimeout = time.Second
	maxRetransmit     = 4 // RFC 7252 section 4.8

	// maxUnacked is the maximum number of messages that await an ACK. Above it,
	// responses are sent non-confirmable.
	maxUnacked = 1 << 15
)

// unackedMessage is a confirmable message to a caller that awaits its ACK.
type unackedMessage struct {
	key           flow.AckKey
	datagram      message.Outgoing // its slices refer to the buffers below
	template      []byte
	echo          []byte
	payload       []byte
	feed          flow.Key // the feed, when the message is a notification
	isFeed        bool
	retransmitAt  ids.Time
	timeout       time.Duration
	transmissions int
	listIndex     int // index in Core.unackedList
}

// respond sends a final response: piggybacked on the ACK, or separately if an
// empty ACK was already sent, or non-confirmable if the request was.
func (c *Core) respond(x *callerExchange, o *message.Outgoing) {
	if x.superseded {
		return
	}
	o.Token = x.token
	switch {
	case x.messageType != message.Confirmable:
		o.Type, o.ID = message.NonConfirmable, flow.ResponseID(c.now)
	case !x.acked:
		o.Type, o.ID = message.Acknowledgement, x.messageID
	default:
		o.Type, o.ID = message.Confirmable, flow.ResponseID(c.now)
		if q := c.awaitAck(x.svc, x.caller, o); q == nil {
			o.Type = message.NonConfirmable
		} else {
			c.unackedByToken[q.requestKey()] = q
		}
	}
	e := c.emit(ToCaller)
	e.Service, e.Endpoint, e.Datagram = x.svc.name, x.caller, *o
}

// sendEmptyAck sends the empty ACK after which the response follows separately.
func (c *Core) sendEmptyAck(x *callerExchange) {
	if x.superseded {
		return
	}
	x.acked = true
	e := c.emit(ToCaller)
	e.Service, e.Endpoint = x.svc.name, x.caller
	e.Datagram = message.Outgoing{Type: message.Acknowledgement, ID: x.messageID}
}

// awaitAck keeps a copy of a confirmable message until it is acknowledged. It
// returns nil if maxUnacked messages are waiting already. It sets o.ID to the
// next free message ID. The caller of awaitAck sends the first transmission.
// The ACK may arrive at any instance, which relays it to the home instance of
// the caller; sendAckRoute tells the home instance to relay it to this one.
func (c *Core) awaitAck(s *service, caller ids.Endpoint, o *message.Outgoing) *unackedMessage {
	if len(c.unackedList) >= maxUnacked {
		return nil
	}
	k := flow.AckKey{FlowKey: ids.FlowKey{Caller: caller, Service: s.name}, ID: o.ID}
	for c.unacked[k] != nil {
		k.ID = k.ID&(1<<15) | (k.ID+1)&(1<<15-1)
	}
	o.ID = k.ID
	var q *unackedMessage
	if n := len(c.freeUnacked); n > 0 {
		q, c.freeUnacked = c.freeUnacked[n-1], c.freeUnacked[:n-1]
	} else {
		q = new(unackedMessage)
	}
	*q = unackedMessage{
		key: k, datagram: *o, listIndex: len(c.unackedList), transmissions: 1,
		template: append(q.template[:0], o.Template...),
		echo:     append(q.echo[:0], o.Echo...),
		payload:  append(q.payload[:0], o.Payload...),
		timeout:  initialAckTimeout + time.Duration(c.rng.Int64N(int64(initialAckTimeout)/2)),
	}
	q.datagram.Template, q.datagram.Echo, q.datagram.Payload = nilIfEmpty(q.template), nilIfEmpty(q.echo), nilIfEmpty(q.payload)
	q.retransmitAt = c.now.Add(q.timeout)
	c.unacked[k] = q
	c.unackedList = append(c.unackedList, q)
	if home, ok := c.homeInstance(s, ids.HashEndpoint(caller)); ok && home != c.self.ID {
		c.sendAckRoute(s, caller, k.ID, 0, home)
	}
	return q
}

func (q *unackedMessage) requestKey() requestKey {
	return requestKey{q.key.FlowKey, q.datagram.Token}
}

func nilIfEmpty(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	return b
}

// sendAckRoute instructs the home instance of a caller to relay an ACK, or the
// follow-up blocks of path, to this instance.
func (c *Core) sendAckRoute(s *service, caller ids.Endpoint, id uint16, path uint64, home ids.Instance) {
	b := c.newPeerMessage(s)
	b.ackRoute = peerwire.AckRoute{Service: s.name, Caller: b.formatEndpoint(caller), ID: id, PathHash: path}
	b.message.AckRoute = &b.ackRoute
	c.sendPeerMessage(home, b)
}

// stopAwaitingAck removes q from the messages that await an ACK.
func (c *Core) stopAwaitingAck(q *unackedMessage) {
	delete(c.unacked, q.key)
	if k := q.requestKey(); c.unackedByToken[k] == q {
		delete(c.unackedByToken, k)
	}
	last := len(c.unackedList) - 1
	c.unackedList[q.listIndex] = c.unackedList[last]
	c.unackedList[q.listIndex].listIndex = q.listIndex
	c.unackedList[last] = nil
	c.unackedList = c.unackedList[:last]
	c.releasedUnacked = append(c.releasedUnacked, q)
}

// handleAck handles an ACK or RST for q.
func (c *Core) handleAck(q *unackedMessage, reset bool) {
	c.stopAwaitingAck(q)
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

// retransmit retransmits the confirmable messages whose ACK is overdue, each at
// most maxRetransmit times.
func (c *Core) retransmit() {
	// In reverse order, as stopAwaitingAck moves the last element into the
	// freed index.
	for _, q := range slices.Backward(c.unackedList) {
		if c.now < q.retransmitAt {
			continue
		}
		if q.isFeed && c.feeds.Get(q.feed) == nil {
			c.stopAwaitingAck(q)
			continue
		}
		if q.transmissions > maxRetransmit {
			c.stopAwaitingAck(q)
			c.handleAckTimeout(q)
			continue
		}
		q.transmissions++
		q.timeout *= 2
		q.retransmitAt = c.now.Add(q.timeout)
		c.counters.Retransmits++
		e := c.emit(ToCaller)
		e.Service, e.Endpoint, e.Datagram = q.key.Service, q.key.Caller, q.datagram
	}
}

// handleAckTimeout handles a message that was never acknowledged. One lost
// notification does not end a feed: the caller may be unreachable for a while.
func (c *Core) handleAckTimeout(q *unackedMessage) {
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
