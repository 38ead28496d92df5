package backend

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/message/pool"
	"github.com/plgd-dev/go-coap/v3/net/responsewriter"
	"github.com/plgd-dev/go-coap/v3/udp/client"

	"arbutusdock.example/arbutusdock/internal/standin/wire"
)

type responseWriter = responsewriter.ResponseWriter[*client.Conn]

const (
	// separateAfter is the run time from which a request is acknowledged at
	// once and answered separately, so that its sender does not retransmit.
	separateAfter = 150 * time.Millisecond
	// respondFor bounds the transmission of a separate response.
	respondFor = 10 * time.Second
	shortBytes = 300      // size of an ordinary content
	certBytes  = 4 << 10  // size of an ordinary certificate
	largeBytes = 60 << 10 // size of a large certificate
	blockSZX   = 6        // blocks of 1024 bytes
	blockBytes = 16 << blockSZX
)

// request is the part of a CoAP request that the stand-in reads.
type request struct {
	id       wire.ID
	asked    string // operation whose outcome is asked for
	path     []string
	token    message.Token
	post     bool
	observe  int // -1: absent
	block    int // number of the requested block
	large    bool
	deadline time.Duration // 0: none
}

func parse(r *pool.Message) request {
	q := request{observe: -1, post: r.Code() == codes.POST, token: bytes.Clone(r.Token())}
	for _, o := range r.Options() {
		switch o.ID {
		case message.URIPath:
			q.path = append(q.path, string(o.Value))
		case message.URIQuery:
			k, v, _ := strings.Cut(string(o.Value), "=")
			switch k {
			case "id":
				q.id, _ = wire.ParseID(v) // a malformed id counts as a foreign request
			case "op":
				q.asked = v
			}
		case message.Observe:
			q.observe = int(number(o.Value))
		case message.Block2:
			q.block = int(number(o.Value) >> 4)
		case wire.DeadlineOption:
			q.deadline = time.Duration(number(o.Value)) * time.Millisecond
		}
	}
	q.large = len(q.path) == 2 && strings.HasPrefix(q.path[1], "large")
	return q
}

func number(b []byte) uint64 {
	var v [8]byte
	if len(b) > 8 {
		return 0
	}
	copy(v[8-len(b):], b)
	return binary.BigEndian.Uint64(v[:])
}

// handle answers one request; see request for what it reads.
func (s *Server) handle(w *responseWriter, r *pool.Message) {
	if r.Code() < codes.GET || r.Code() > codes.DELETE {
		return // a response or an empty message
	}
	q := parse(r)
	k := exchange{peer: w.Conn().RemoteAddr().String(), mid: r.MessageID()}
	// go-coap's deregistration carries the path but no query, hence no id.
	foreign := q.id.Service != s.service && q.observe != 1
	s.mu.Lock()
	s.counts.Requests++
	if foreign {
		s.counts.WrongService++
	}
	s.mu.Unlock()
	switch {
	case foreign:
		s.respond(w.Message(), codes.NotFound, nil, 0)
	case q.asked != "":
		state := "none"
		if s.group.ledger.ran(q.asked) {
			state = "ran"
		}
		s.respond(w.Message(), codes.Content, wire.Content(s.service, q.id.String(), state, 0), 0)
	case q.observe == 0:
		s.register(w, q)
	case q.observe == 1:
		s.deregister(k.peer, q.token)
		s.respond(w.Message(), codes.Content, s.reading(q.feed()), 0)
	case q.block > 0:
		s.group.ledger.block(q.id)
		s.respond(w.Message(), codes.Content, s.content(q), q.block)
	default:
		s.run(w, q, k)
	}
}

// run executes a request and responds with the ACK, or separately when the
// request takes long.
func (s *Server) run(w *responseWriter, q request, k exchange) {
	ctx, stop := context.Background(), context.CancelFunc(func() {})
	if q.deadline > 0 {
		ctx, stop = context.WithTimeout(ctx, q.deadline)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	s.jobs[k] = cancel
	s.mu.Unlock()
	finish := func(m *pool.Message) bool {
		err := s.execute(ctx, q.id, q.post, q.large)
		cancel(nil)
		stop()
		s.mu.Lock()
		delete(s.jobs, k)
		s.mu.Unlock()
		return s.outcome(m, q, err)
	}
	if s.group.opt.RunTime[s.service] < separateAfter && !q.large {
		finish(w.Message())
		return
	}
	cc := w.Conn()
	go func() {
		ctx, stop := context.WithTimeout(cc.Context(), respondFor)
		defer stop()
		m := cc.AcquireMessage(ctx)
		defer cc.ReleaseMessage(m)
		m.SetToken(q.token)
		if finish(m) {
			_ = cc.WriteMessage(m) // without an ACK the sender's deadline ends the request
		}
	}()
}

// outcome sets the response for the result of an execution. It returns false
// when there is nothing to respond.
func (s *Server) outcome(m *pool.Message, q request, err error) bool {
	switch {
	case err == nil:
		code := codes.Content
		if q.post {
			code = codes.Changed
		}
		s.respond(m, code, s.content(q), 0)
	case errors.Is(err, errShed):
		s.respond(m, codes.ServiceUnavailable, nil, 0)
		m.SetOptionUint32(message.MaxAge, 1)
	case errors.Is(err, errCancelled):
		s.count(func(c *wire.TargetCounts) { c.Cancelled++ })
		return false
	default:
		s.count(func(c *wire.TargetCounts) { c.Expired++ })
		s.respond(m, codes.GatewayTimeout, nil, 0)
	}
	return true
}

func (s *Server) content(q request) []byte {
	size := shortBytes
	if len(q.path) > 0 && q.path[0] == "certificates" {
		size = certBytes
	}
	if q.large {
		size = largeBytes
	}
	return wire.Content(s.service, q.id.String(), "ran", size)
}

// respond sets code and content, and cuts out one block if the content does
// not fit into one. The blocks of a content can come from any server, since the
// entity tag depends on the content only.
func (s *Server) respond(m *pool.Message, code codes.Code, content []byte, block int) {
	m.SetCode(code)
	if content == nil {
		return
	}
	if len(content) > blockBytes {
		from := min(block*blockBytes, len(content))
		to := min(from+blockBytes, len(content))
		value := uint32(block)<<4 | blockSZX
		if to < len(content) {
			value |= 1 << 3
		}
		m.SetOptionUint32(message.Block2, value)
		m.SetOptionUint32(message.Size2, uint32(len(content)))
		m.SetOptionBytes(message.ETag, wire.ETag(content))
		content = content[from:to]
	}
	m.SetBody(io.ReadSeeker(bytes.NewReader(content)))
}

func (s *Server) count(change func(*wire.TargetCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}
