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

// kind is the kind of an operation of a caller.
type kind uint8

const (
	get      kind = iota // idempotent
	claim                // non-idempotent
	long                 // idempotent, runs 20 times longer
	download             // idempotent, three blocks
	observe              // a feed
)

const (
	lastBlock   = 2
	ackTimeout  = 2 * time.Second // RFC 7252 section 4.8
	maxRetries  = 4
	maxTokens   = 4 // tokens that a caller uses for one claim
	payloadSize = 12
)

// operation is what a caller wants done, over one or more exchanges.
type operation struct {
	w       *world
	index   int
	kind    kind
	service ids.Service
	dc      ids.DataCentre
	caller  ids.Endpoint
	host    string
	runs    int
	tokens  int
	retries int // after 5.03
	final   message.Code
}

// exchange is one request of an operation, with all its transmissions.
type exchange struct {
	w          *world
	op         *operation
	index      int
	id         uint16
	echo       []byte
	block      int
	sent       ids.Time
	count      int // transmissions
	acked      bool
	lost       bool // one of its datagrams was lost
	repeated   bool // one was doubled or delayed, so that it may be handled twice
	touched    map[*node]ids.Incarnation
	excused    bool // an instance that handled it was killed or paused
	runs       int
	notRun     bool
	final      *message.Message
	finalAt    ids.Time
	dispatched *server
	trail      []string // events
	feed       *feed
}

func (x *exchange) touch(n *node) {
	if x.final == nil || x.feed != nil {
		x.touched[n] = n.run
	}
}

func (x *exchange) payload() []byte {
	return fmt.Appendf(nil, "#%05d#%05d", x.op.index, x.index)
}

// body is the only right response to x.
func (x *exchange) body() []byte {
	return fmt.Appendf(nil, "R%s#%d", x.payload(), x.block)
}

// exchangeOf finds the exchange of a request by its payload.
func (w *world) exchangeOf(m *message.Message) *exchange {
	if !m.Code.IsRequest() || len(m.Raw) < payloadSize {
		return nil
	}
	i, err := strconv.Atoi(string(m.Raw[len(m.Raw)-5:]))
	if err != nil || i >= len(w.exchanges) {
		return nil
	}
	return w.exchanges[i]
}

func (w *world) newOperation(k kind, service ids.Service, dc ids.DataCentre) *operation {
	i := len(w.operations)
	op := &operation{w: w, index: i, kind: k, service: service, dc: dc, host: fmt.Sprintf("p%d", i%2),
		caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(2 + i>>8), byte(i)}), uint16(4000+i))}
	if w.host != "" {
		op.host = w.host
	}
	w.operations = append(w.operations, op)
	x := op.exchange()
	if k == observe {
		x.feed = &feed{x: x}
		w.feeds = append(w.feeds, x.feed)
	}
	x.transmit()
	return op
}

func (op *operation) exchange() *exchange {
	x := &exchange{w: op.w, op: op, index: len(op.w.exchanges), touched: map[*node]ids.Incarnation{}}
	x.id = uint16(x.index)
	op.w.exchanges = append(op.w.exchanges, x)
	return x
}

// datagram encodes the request: Uri-Host, Observe, Uri-Path, Block2, Echo.
func (x *exchange) datagram() *message.Message {
	code := message.GET
	if x.op.kind == claim {
		code = message.POST
	}
	raw := []byte{0x44, byte(code), byte(x.id >> 8), byte(x.id)}
	raw = binary.BigEndian.AppendUint32(raw, uint32(x.index))
	raw = append(append(raw, 0x32), x.op.host...)
	delta := byte(8)
	if x.op.kind == observe {
		raw, delta = append(raw, 0x30), 5
	}
	raw = append(raw, delta<<4|1, '0'+byte(x.op.kind))
	if x.block > 0 {
		raw = append(raw, 0xc1, byte(x.block)<<4|2)
	}
	raw = append(append(raw, 0xff), x.payload()...)
	m := parse(raw)
	return decode(&message.Outgoing{Template: raw, Type: message.Confirmable, ID: x.id, Token: m.Token, Echo: x.echo})
}

// transmit sends the request and repeats it until it is acknowledged.
func (x *exchange) transmit() {
	if x.count == 0 {
		x.sent = x.w.now
	}
	x.count++
	x.deliver(x.datagram())
	id := x.id
	if x.count <= maxRetries {
		x.w.after(ackTimeout<<(x.count-1), func() {
			if x.final == nil && !x.acked && x.id == id {
				x.transmit()
			}
		})
	}
}

// deliver sends a datagram of the caller to any instance of its data centre.
func (x *exchange) deliver(m *message.Message) {
	n := x.w.spray(x.op.dc)
	if n == nil {
		x.lost = true
		return
	}
	x.deliverTo(n, m)
}

func (x *exchange) deliverTo(n *node, m *message.Message) {
	w := x.w
	w.datagram(x, func() {
		if !n.alive {
			x.lost = true
			return
		}
		x.touch(n)
		if m.Code.IsRequest() {
			x.log("received by %s", n.id)
			w.reach("received", n, x)
		}
		w.call(n, func(c *core.Core, out *core.Effects) {
			before := c.Counts().UnknownService
			c.HandleCaller(n.now(), &core.CallerEvent{Service: x.op.service, Caller: x.op.caller, Message: m}, out)
			if c.Counts().UnknownService > before {
				x.lost = true // without configuration the instance has no socket for the service
			}
		})
	})
}

// spray chooses an instance as the fabric does. It learns of kills and stops
// late.
func (w *world) spray(dc ids.DataCentre) *node {
	var list []*node
	for _, n := range w.nodes {
		if n.dc == dc && (n.leaving == 0 || w.now.Sub(n.leaving) < fabricLag) {
			list = append(list, n)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[w.rng.IntN(len(list))]
}

func (w *world) toCaller(n *node, s ids.Service, to ids.Endpoint, m *message.Message) {
	var x *exchange
	if m.Token.Len == 4 {
		if i := int(binary.BigEndian.Uint32(m.Token.Bytes[:4])); i < len(w.exchanges) {
			x = w.exchanges[i]
		}
	} else if m.Code == message.Empty {
		for _, o := range w.exchanges {
			if o.op.caller == to && o.id == m.ID {
				x = o
			}
		}
	}
	if x == nil {
		if m.Code != message.Empty {
			w.violate("a response with a token that no caller used")
		}
		return
	}
	if x.op.caller != to || x.op.service != s {
		w.violate("a response to exchange %d went to caller %v of service %s", x.index, to, s)
	}
	switch {
	case m.Code == message.Unauthorized:
		w.reach("token minted", n, x)
	case m.Code == message.Empty:
		w.reach("acknowledged", n, x)
	default:
		w.reach("answered", n, x)
	}
	w.datagram(x, func() { x.receive(n, m) })
}

// receive handles a datagram at the caller.
func (x *exchange) receive(n *node, m *message.Message) {
	if m.Code == message.Empty {
		x.log("acknowledged")
		x.acked = x.acked || m.Type == message.Acknowledgement && m.ID == x.id
		return
	}
	if m.Type == message.Confirmable {
		x.deliver(decode(&message.Outgoing{Type: message.Acknowledgement, ID: m.ID}))
	}
	x.check(m)
	if x.feed != nil {
		x.feed.receive(m)
		return
	}
	if x.final != nil {
		return
	}
	x.final, x.finalAt = m, x.w.now
	x.op.proceed(x, m)
}

// proceed does what a caller does after the final response to an exchange.
func (op *operation) proceed(x *exchange, m *message.Message) {
	op.final = m.Code
	switch {
	case m.Code == message.Unauthorized && op.tokens < maxTokens:
		op.tokens++
		next := op.exchange()
		next.echo = append([]byte(nil), m.Echo...)
		next.transmit()
	case m.Code == message.ServiceUnavailable && op.retries == 0 && op.index%2 == 0:
		op.retries++
		op.w.after(time.Duration(m.MaxAge)*time.Second, func() {
			next := op.exchange()
			next.block = x.block
			next.transmit()
		})
	case m.Code == message.Content && op.kind == download && x.block < lastBlock:
		next := op.exchange()
		next.block = x.block + 1
		next.transmit()
	}
}
