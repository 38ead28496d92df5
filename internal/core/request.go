package core

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/admission"
	"arbutusdock.example/arbutusdock/internal/flow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// exchange is the caller's side of a request: where and how to respond.
type exchange struct {
	svc    *service
	caller ids.Endpoint
	kind   message.Type
	id     uint16
	token  message.Token
	acked  bool // an empty ACK was sent; the response follows separately
}

// arrival is a request datagram that is being handled.
type arrival struct {
	exchange
	m     *message.Message
	hash  uint64        // of the caller endpoint
	hops  uint8         // relays so far
	age   time.Duration // time spent in queues of other instances
	trace uint64
}

type requestKey struct {
	ids.FlowKey
	token message.Token
}

type requestState uint8

const (
	queued   requestState = iota
	waiting               // for the target that served block 0
	inFlight              // sent to a backend server
)

// request is a request that this instance has taken on: queued or in flight.
//
// Invariants: it holds a lease exactly while in flight; it has at most one
// upstream token, which is retired with the lease; an admitted request is sent
// again only after a backend server responded 5.03; it gets exactly one final
// response.
type request struct {
	exchange
	hash       uint64
	raw        []byte // copy of the datagram
	code       message.Code
	path       uint64
	key        uint64 // of the run-time predictor
	content    uint64 // key of the request for the first block
	block1     message.Block
	state      requestState
	class      spread.Class
	partner    int
	hops       uint8
	idempotent bool
	isAdmitted bool
	admission  admission.ID
	charged    bool // its predicted slot time was charged to its partner
	cost       time.Duration
	arrived    ids.Time
	deadline   ids.Time
	trace      uint64
	index      int // in Core.live

	pool       *spread.Pool
	pin        ids.Target // target of follow-up blocks
	avoid      ids.Target // target that failed or shed it
	lease      spread.Lease
	dispatched ids.Time
	attempts   int
	mayHaveRun bool   // a backend server failed without saying that it has not run
	up         uint64 // upstream token
	upID       uint16
	upAcked    bool
	resent     int
	resendAt   ids.Time
}

// upstream is what an upstream token belongs to.
type upstream struct {
	request *request
	feed    *flow.Feed
}

func (r *request) requestKey() requestKey {
	return requestKey{ids.FlowKey{Caller: r.caller, Service: r.svc.name}, r.token}
}

// contentKey identifies requests of about the same run time to the predictor.
func (s *service) contentKey(m *message.Message) uint64 {
	return ids.Mix(s.hash, ids.Mix(m.Path, uint64(m.Code)))
}

// runKey is the content key of a first block. A follow-up block takes a
// fraction of the time of the first: learning from it would make every first
// block look long.
func (s *service) runKey(m *message.Message) uint64 {
	if m.Block1.Num > 0 || m.Block2.Num > 0 {
		return spread.UntrackedKey
	}
	return s.contentKey(m)
}

// newRequest takes on the request a, copying its datagram.
func (c *Core) newRequest(a *arrival) *request {
	var r *request
	if n := len(c.free); n > 0 {
		r, c.free = c.free[n-1], c.free[:n-1]
	} else {
		r = new(request)
	}
	s := a.svc
	*r = request{
		exchange: a.exchange, hash: a.hash, raw: append(r.raw[:0], a.m.Raw...),
		code: a.m.Code, path: a.m.Path, block1: a.m.Block1, hops: a.hops,
		key: s.runKey(a.m), content: s.contentKey(a.m),
		idempotent: s.idempotent&(1<<a.m.Code) != 0,
		partner:    s.partnerOf(a.m.Host, a.caller),
		arrived:    c.now.Add(-a.age), deadline: c.now.Add(s.config.Profile.Protect.Deadline - a.age),
		trace: a.trace, index: len(c.live),
	}
	c.live = append(c.live, r)
	return r
}

// drop forgets r. Its memory is reused after this call of the core.
func (c *Core) drop(r *request) {
	last := len(c.live) - 1
	c.live[r.index] = c.live[last]
	c.live[r.index].index = r.index
	c.live[last] = nil
	c.live = c.live[:last]
	if r.isAdmitted {
		delete(c.admitted, r.admission)
	} else if k := r.requestKey(); c.requests[k] == r {
		delete(c.requests, k)
	}
	c.freed = append(c.freed, r)
}

// retire ends the exchange of r with its backend server: a response that
// arrives later matches nothing.
func (c *Core) retire(r *request, o spread.Outcome) {
	delete(c.upstreams, r.up)
	if c.exchanges[r.upID] == r.up {
		delete(c.exchanges, r.upID)
	}
	r.pool.Release(c.now, r.lease, r.key, o)
	if s := r.svc; o == spread.Success && r.class == spread.Short && r.pool.Classify(r.key) == spread.Long {
		s.longKey, s.longRun = r.key, c.now.Sub(r.dispatched)
	}
	c.reportLongs(r.svc)
	if r.charged {
		r.svc.queues[r.class].Charge(r.svc.partners[r.partner].Name, c.now.Sub(r.dispatched)-r.cost)
		r.charged = false
	}
}

// newUpstream returns an upstream token that was never used before in this
// incarnation, and a message id.
func (c *Core) newUpstream(u upstream) (token uint64, id uint16) {
	c.tokenLow++
	if c.tokenLow == 0 {
		c.tokenHigh += 1 << 32 // the counter has wrapped: never reuse a token
	}
	token = c.tokenHigh | uint64(c.tokenLow)
	c.nextID++
	c.upstreams[token] = u
	c.exchanges[c.nextID] = token
	return token, c.nextID
}

func tokenOf(v uint64) message.Token {
	t := message.Token{Len: 8}
	for i := range t.Bytes {
		t.Bytes[i] = byte(v >> (56 - 8*i))
	}
	return t
}

func tokenValue(t message.Token) (uint64, bool) {
	var v uint64
	for _, b := range t.Bytes {
		v = v<<8 | uint64(b)
	}
	return v, t.Len == 8
}
