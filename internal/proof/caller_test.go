package proof

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
)

// kind is the type of an operation of a caller.
type kind uint8

const (
	get      kind = iota // idempotent
	post                 // non-idempotent; a claim in the messages of violations
	longGet              // idempotent, takes 20 times as long as the others
	download             // idempotent, three blocks
	observe              // opens a feed: an observation as in RFC 7641
)

const (
	lastBlockNumber = 2
	ackTimeout      = 2 * time.Second // RFC 7252 section 4.8
	maxRetries      = 4
	maxTokens       = 4 // Echo tokens that a caller uses for one non-idempotent operation
	payloadSize     = 12
)

// operation is what a caller wants done. It takes one or more exchanges.
type operation struct {
	sim        *simulation
	index      int
	kind       kind
	service    ids.Service
	dataCentre ids.DataCentre
	caller     ids.Endpoint
	host       string // Uri-Host, which selects the partner
	executions int
	tokenCount int
	retries    int          // after a 5.03 response
	finalCode  message.Code // of the last final response
}

// exchange is one request of an operation with all its retransmissions.
type exchange struct {
	sim                 *simulation
	operation           *operation
	index               int
	messageID           uint16
	echo                []byte
	block               int
	sentAt              ids.Time
	transmissions       int
	acknowledged        bool
	lost                bool // one of its datagrams was lost
	repeated            bool // one was duplicated or delayed, so that the request may be handled twice
	handledBy           map[*node]ids.Incarnation
	interrupted         bool // an instance that handled it was killed or paused
	executions          int
	reportedNotExecuted bool
	response            *message.Message
	responseAt          ids.Time
	dispatchedTo        *server
	events              []string
	feed                *feed
}

func (x *exchange) recordHandler(n *node) {
	if x.response == nil || x.feed != nil {
		x.handledBy[n] = n.incarnation
	}
}

func (x *exchange) payload() []byte {
	return fmt.Appendf(nil, "#%05d#%05d", x.operation.index, x.index)
}

// expectedBody returns the only correct response payload for x.
func (x *exchange) expectedBody() []byte {
	return fmt.Appendf(nil, "R%s#%d", x.payload(), x.block)
}

// exchangeOf finds the exchange of a request by its payload.
func (sim *simulation) exchangeOf(m *message.Message) *exchange {
	if !m.Code.IsRequest() || len(m.Raw) < payloadSize {
		return nil
	}
	i, err := strconv.Atoi(string(m.Raw[len(m.Raw)-5:]))
	if err != nil || i >= len(sim.exchanges) {
		return nil
	}
	return sim.exchanges[i]
}

func (sim *simulation) newOperation(k kind, service ids.Service, dc ids.DataCentre) *operation {
	i := len(sim.operations)
	op := &operation{sim: sim, index: i, kind: k, service: service, dataCentre: dc, host: fmt.Sprintf("p%d", i%2),
		caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(2 + i>>8), byte(i)}), uint16(4000+i))}
	if sim.nextHost != "" {
		op.host = sim.nextHost
	}
	sim.operations = append(sim.operations, op)
	x := op.newExchange()
	if k == observe {
		x.feed = &feed{exchange: x}
		sim.feeds = append(sim.feeds, x.feed)
	}
	x.transmit()
	return op
}

func (op *operation) newExchange() *exchange {
	x := &exchange{sim: op.sim, operation: op, index: len(op.sim.exchanges), handledBy: map[*node]ids.Incarnation{}}
	x.messageID = uint16(x.index)
	op.sim.exchanges = append(op.sim.exchanges, x)
	return x
}

// encodeRequest encodes the request with the options Uri-Host, Observe,
// Uri-Path, Block2 and Echo, and decodes it.
func (x *exchange) encodeRequest() *message.Message {
	code := message.GET
	if x.operation.kind == post {
		code = message.POST
	}
	raw := []byte{0x44, byte(code), byte(x.messageID >> 8), byte(x.messageID)}
	raw = binary.BigEndian.AppendUint32(raw, uint32(x.index))
	raw = append(append(raw, 0x32), x.operation.host...)
	delta := byte(8)
	if x.operation.kind == observe {
		raw, delta = append(raw, 0x30), 5
	}
	raw = append(raw, delta<<4|1, '0'+byte(x.operation.kind))
	if x.block > 0 {
		raw = append(raw, 0xc1, byte(x.block)<<4|2)
	}
	raw = append(append(raw, 0xff), x.payload()...)
	m := decodeBytes(raw)
	return encodeAndDecode(&message.Outgoing{Template: raw, Type: message.Confirmable, ID: x.messageID, Token: m.Token, Echo: x.echo})
}

// transmit sends the request and retransmits it until it is acknowledged.
func (x *exchange) transmit() {
	if x.transmissions == 0 {
		x.sentAt = x.sim.now
	}
	x.transmissions++
	x.deliver(x.encodeRequest())
	id := x.messageID
	if x.transmissions <= maxRetries {
		x.sim.after(ackTimeout<<(x.transmissions-1), func() {
			if x.response == nil && !x.acknowledged && x.messageID == id {
				x.transmit()
			}
		})
	}
}

// deliver sends a datagram of the caller to a random instance of its data
// centre.
func (x *exchange) deliver(m *message.Message) {
	n := x.sim.pickInstance(x.operation.dataCentre)
	if n == nil {
		x.lost = true
		return
	}
	x.deliverTo(n, m)
}

func (x *exchange) deliverTo(n *node, m *message.Message) {
	sim := x.sim
	sim.deliverDatagram(x, func() {
		if !n.alive {
			x.lost = true
			return
		}
		x.recordHandler(n)
		if m.Code.IsRequest() {
			x.logEvent("received by %s", n.id)
			sim.stepReached("received", n, x)
		}
		sim.callCore(n, func(c *core.Core, out *core.Effects) {
			before := c.Counts().UnknownService
			c.HandleCaller(n.now(), &core.CallerEvent{Service: x.operation.service, Caller: x.operation.caller, Message: m}, out)
			if c.Counts().UnknownService > before {
				x.lost = true // without configuration the instance has no socket for the service
			}
		})
	})
}

// pickInstance returns a random instance of a data centre, as the network fabric
// does. The fabric still selects an instance for fabricLag after its kill or
// planned stop.
func (sim *simulation) pickInstance(dc ids.DataCentre) *node {
	var list []*node
	for _, n := range sim.nodes {
		if n.dc == dc && (n.leftAt == 0 || sim.now.Sub(n.leftAt) < fabricLag) {
			list = append(list, n)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[sim.rng.IntN(len(list))]
}

func (sim *simulation) sendToCaller(n *node, s ids.Service, to ids.Endpoint, m *message.Message) {
	var x *exchange
	if m.Token.Len == 4 {
		if i := int(binary.BigEndian.Uint32(m.Token.Bytes[:4])); i < len(sim.exchanges) {
			x = sim.exchanges[i]
		}
	} else if m.Code == message.Empty {
		for _, o := range sim.exchanges {
			if o.operation.caller == to && o.messageID == m.ID {
				x = o
			}
		}
	}
	if x == nil {
		if m.Code != message.Empty {
			sim.recordViolation("a response with a token that no caller used")
		}
		return
	}
	if x.operation.caller != to || x.operation.service != s {
		sim.recordViolation("a response to exchange %d went to caller %v of service %s", x.index, to, s)
	}
	switch {
	case m.Code == message.Unauthorized:
		sim.stepReached("token minted", n, x)
	case m.Code == message.Empty:
		sim.stepReached("acknowledged", n, x)
	default:
		sim.stepReached("answered", n, x)
	}
	sim.deliverDatagram(x, func() { x.receive(n, m) })
}

// receive handles a datagram at the caller.
func (x *exchange) receive(n *node, m *message.Message) {
	if m.Code == message.Empty {
		x.logEvent("acknowledged")
		x.acknowledged = x.acknowledged || m.Type == message.Acknowledgement && m.ID == x.messageID
		return
	}
	if m.Type == message.Confirmable {
		x.deliver(encodeAndDecode(&message.Outgoing{Type: message.Acknowledgement, ID: m.ID}))
	}
	x.checkResponse(m)
	if x.feed != nil {
		x.feed.receive(m)
		return
	}
	if x.response != nil {
		return
	}
	x.response, x.responseAt = m, x.sim.now
	x.operation.handleResponse(x, m)
}

// handleResponse does what a caller does after the final response to an
// exchange: it repeats the request with the Echo token, retries it after a 5.03
// or requests the next block.
func (op *operation) handleResponse(x *exchange, m *message.Message) {
	op.finalCode = m.Code
	switch {
	case m.Code == message.Unauthorized && op.tokenCount < maxTokens:
		op.tokenCount++
		next := op.newExchange()
		next.echo = append([]byte(nil), m.Echo...)
		next.transmit()
	case m.Code == message.ServiceUnavailable && op.retries == 0 && op.index%2 == 0:
		op.retries++
		op.sim.after(time.Duration(m.MaxAge)*time.Second, func() {
			next := op.newExchange()
			next.block = x.block
			next.transmit()
		})
	case m.Code == message.Content && op.kind == download && x.block < lastBlockNumber:
		next := op.newExchange()
		next.block = x.block + 1
		next.transmit()
	}
}
