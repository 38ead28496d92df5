package core

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/admission"
	"arbutusdock.example/arbutusdock/internal/flow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// callerExchange holds what is needed to respond to a caller.
type callerExchange struct {
	svc         *service
	caller      ids.Endpoint
	messageType message.Type
	messageID   uint16
	token       message.Token
	acked       bool // an empty ACK was sent; the response follows separately
	// superseded is set when the caller has used the token for another request since.
	// A response would be taken for the response to that one.
	superseded bool
}

// callerDatagram is a datagram from a caller while it is being handled.
type callerDatagram struct {
	callerExchange
	msg     *message.Message
	hash    uint64        // hash of the caller endpoint
	hops    uint8         // relays so far
	age     time.Duration // time spent in queues of other instances
	traceID uint64
}

type requestKey struct {
	ids.FlowKey
	token message.Token
}

type requestState uint8

const (
	queued           requestState = iota
	waitingForTarget              // until the target that served block 0 has a free slot
	inFlight                      // sent to a backend server
)

// request is a request that is queued or in flight at this instance.
//
// Invariants: it holds a lease exactly while in flight; it has at most one
// upstream token, which is removed when the lease is released; an admitted
// request (one with a token) is sent again only after a backend server responded
// 5.03; it gets exactly one final response.
type request struct {
	callerExchange
	hash          uint64
	datagram      []byte // copy of the request datagram
	code          message.Code
	path          uint64
	digest        uint64
	runTimeKey    uint64 // key of the run-time predictor
	contentKey    uint64 // predictor key of the request for the first block
	block1        message.Block
	state         requestState
	class         spread.Class
	partner       int
	hops          uint8
	idempotent    bool
	isAdmitted    bool
	admission     admission.ID
	charged       bool // predictedTime was charged to the partner
	predictedTime time.Duration
	arrived       ids.Time
	deadline      ids.Time
	traceID       uint64
	liveIndex     int // index in Core.liveRequests

	pool              *spread.Pool
	pinnedTarget      ids.Target // target that served the first block
	avoidedTarget     ids.Target // target that failed or responded 5.03
	lease             spread.Lease
	dispatched        ids.Time
	attempts          int
	mayHaveRun        bool // a backend server failed without stating that the request has not run
	upstreamToken     uint64
	upstreamMessageID uint16
	upstreamAcked     bool
	resends           int
	resendAt          ids.Time
}

// upstream is the request or feed that an upstream token belongs to.
type upstream struct {
	request *request
	feed    *flow.Feed
}

func (r *request) requestKey() requestKey {
	return requestKey{ids.FlowKey{Caller: r.caller, Service: r.svc.name}, r.token}
}

// contentKey returns the key under which the predictor groups requests of
// similar run time.
func (s *service) contentKey(m *message.Message) uint64 {
	return ids.Mix(s.hash, ids.Mix(m.PathHash, uint64(m.Code)))
}

// runTimeKey returns the content key of a first block and UntrackedKey for a
// follow-up block. A follow-up block takes a fraction of the time of the first;
// including it in the prediction would classify every first block as long.
func (s *service) runTimeKey(m *message.Message) uint64 {
	if m.Block1.Num > 0 || m.Block2.Num > 0 {
		return spread.UntrackedKey
	}
	return s.contentKey(m)
}

// newRequest creates the request for a datagram, which it copies.
func (c *Core) newRequest(d *callerDatagram) *request {
	var r *request
	if n := len(c.freeRequests); n > 0 {
		r, c.freeRequests = c.freeRequests[n-1], c.freeRequests[:n-1]
	} else {
		r = new(request)
	}
	s := d.svc
	*r = request{
		callerExchange: d.callerExchange, hash: d.hash, datagram: append(r.datagram[:0], d.msg.Raw...),
		code: d.msg.Code, path: d.msg.PathHash, digest: d.msg.Digest, block1: d.msg.Block1, hops: d.hops,
		runTimeKey: s.runTimeKey(d.msg), contentKey: s.contentKey(d.msg),
		idempotent: s.idempotent&(1<<d.msg.Code) != 0,
		partner:    s.partnerOf(d.msg.Host, d.caller),
		arrived:    c.now.Add(-d.age), deadline: c.now.Add(s.config.Profile.Protect.Deadline - d.age),
		traceID: d.traceID, liveIndex: len(c.liveRequests),
	}
	c.liveRequests = append(c.liveRequests, r)
	return r
}

// remove deletes r from all tables. Its memory is reused after this call of the
// core.
func (c *Core) remove(r *request) {
	last := len(c.liveRequests) - 1
	c.liveRequests[r.liveIndex] = c.liveRequests[last]
	c.liveRequests[r.liveIndex].liveIndex = r.liveIndex
	c.liveRequests[last] = nil
	c.liveRequests = c.liveRequests[:last]
	if r.isAdmitted {
		delete(c.requestsByAdmission, r.admission)
	}
	if k := r.requestKey(); c.requestsByKey[k] == r {
		delete(c.requestsByKey, k)
	}
	c.releasedRequests = append(c.releasedRequests, r)
}

// endUpstreamExchange ends the exchange of r with its backend server and
// releases the slot. A response that arrives later is discarded.
func (c *Core) endUpstreamExchange(r *request, o spread.Outcome) {
	delete(c.upstreams, r.upstreamToken)
	if c.upstreamTokens[r.upstreamMessageID] == r.upstreamToken {
		delete(c.upstreamTokens, r.upstreamMessageID)
	}
	r.pool.Release(c.now, r.lease, r.runTimeKey, o)
	if s := r.svc; o == spread.Success && r.class == spread.Short && r.pool.Classify(r.runTimeKey) == spread.Long {
		s.endedLongKey, s.endedLongRunTime = r.runTimeKey, c.now.Sub(r.dispatched)
	}
	c.reportLongCount(r.svc)
	if r.charged {
		r.svc.queues[r.class].Charge(r.svc.partners[r.partner].Name, c.now.Sub(r.dispatched)-r.predictedTime)
		r.charged = false
	}
}

// newUpstream registers u under a new message ID and an upstream token that was
// never used before in this incarnation.
func (c *Core) newUpstream(u upstream) (token uint64, id uint16) {
	c.upstreamTokenLow++
	if c.upstreamTokenLow == 0 {
		c.upstreamTokenHigh += 1 << 32 // the counter has wrapped: never reuse a token
	}
	token = c.upstreamTokenHigh | uint64(c.upstreamTokenLow)
	c.nextMessageID++
	c.upstreams[token] = u
	c.upstreamTokens[c.nextMessageID] = token
	return token, c.nextMessageID
}

func encodeUpstreamToken(v uint64) message.Token {
	t := message.Token{Len: 8}
	for i := range t.Bytes {
		t.Bytes[i] = byte(v >> (56 - 8*i))
	}
	return t
}

func decodeUpstreamToken(t message.Token) (uint64, bool) {
	var v uint64
	for _, b := range t.Bytes {
		v = v<<8 | uint64(b)
	}
	return v, t.Len == 8
}
