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
	// separateResponseMinRunTime is the run time from which a request is
	// acknowledged immediately and answered with a separate response, so that the
	// sender does not retransmit it.
	separateResponseMinRunTime = 150 * time.Millisecond
	// separateResponseTimeout limits the time from the start of a request until its
	// separate response is acknowledged.
	separateResponseTimeout = 10 * time.Second
	defaultContentSize      = 300      // size of an ordinary response content
	certificateSize         = 4 << 10  // size of an ordinary certificate
	largeCertificateSize    = 60 << 10 // size of a large certificate
	blockSZX                = 6        // blocks of 1024 bytes
	blockSize               = 16 << blockSZX
)

// request holds the parts of a CoAP request that the stand-in evaluates.
type request struct {
	id        wire.ID
	outcomeOf string // operation id of an outcome query; empty otherwise
	path      []string
	token     message.Token
	post      bool
	observe   int // -1: option absent
	block     int // number of the requested block
	large     bool
	deadline  time.Duration // 0: none
}

func parseRequest(r *pool.Message) request {
	req := request{observe: -1, post: r.Code() == codes.POST, token: bytes.Clone(r.Token())}
	for _, o := range r.Options() {
		switch o.ID {
		case message.URIPath:
			req.path = append(req.path, string(o.Value))
		case message.URIQuery:
			k, v, _ := strings.Cut(string(o.Value), "=")
			switch k {
			case "id":
				req.id, _ = wire.ParseID(v) // a malformed id is handled as a request of another service
			case "op":
				req.outcomeOf = v
			}
		case message.Observe:
			req.observe = int(uintValue(o.Value))
		case message.Block2:
			req.block = int(uintValue(o.Value) >> 4)
		case wire.DeadlineOption:
			req.deadline = time.Duration(uintValue(o.Value)) * time.Millisecond
		}
	}
	req.large = len(req.path) == 2 && strings.HasPrefix(req.path[1], "large")
	return req
}

func uintValue(b []byte) uint64 {
	var v [8]byte
	if len(b) > 8 {
		return 0
	}
	copy(v[8-len(b):], b)
	return binary.BigEndian.Uint64(v[:])
}

// handle processes one received message and responds if it is a request.
func (s *Server) handle(w *responseWriter, r *pool.Message) {
	if r.Code() < codes.GET || r.Code() > codes.DELETE {
		return // a response or an empty message
	}
	req := parseRequest(r)
	key := messageKey{peer: w.Conn().RemoteAddr().String(), messageID: r.MessageID()}
	// A deregistration sent by go-coap contains the path but no query, so it has no
	// request id.
	wrongService := req.id.Service != s.service && req.observe != 1
	s.mu.Lock()
	s.counts.Requests++
	if wrongService {
		s.counts.WrongService++
	}
	s.mu.Unlock()
	switch {
	case wrongService:
		s.setResponse(w.Message(), codes.NotFound, nil, 0)
	case req.outcomeOf != "":
		state := "none"
		if s.group.executions.hasRun(req.outcomeOf) {
			state = "ran"
		}
		s.setResponse(w.Message(), codes.Content, wire.Content(s.service, req.id.String(), state, 0), 0)
	case req.observe == 0:
		s.registerObserver(w, req)
	case req.observe == 1:
		s.deregisterObserver(key.peer, req.token)
		s.setResponse(w.Message(), codes.Content, s.currentReading(req.feedName()), 0)
	case req.block > 0:
		s.group.executions.countBlock(req.id)
		s.setResponse(w.Message(), codes.Content, s.responseContent(req), req.block)
	default:
		s.handleExecution(w, req, key)
	}
}

// handleExecution executes a request. The response is piggybacked on the ACK, or
// sent separately if the request takes long.
func (s *Server) handleExecution(w *responseWriter, req request, key messageKey) {
	ctx, stop := context.Background(), context.CancelFunc(func() {})
	if req.deadline > 0 {
		ctx, stop = context.WithTimeout(ctx, req.deadline)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	s.cancelFuncs[key] = cancel
	s.mu.Unlock()
	finish := func(m *pool.Message) bool {
		err := s.execute(ctx, req.id, req.post, req.large)
		cancel(nil)
		stop()
		s.mu.Lock()
		delete(s.cancelFuncs, key)
		s.mu.Unlock()
		return s.setResult(m, req, err)
	}
	if s.group.opt.RunTime[s.service] < separateResponseMinRunTime && !req.large {
		finish(w.Message())
		return
	}
	cc := w.Conn()
	go func() {
		ctx, stop := context.WithTimeout(cc.Context(), separateResponseTimeout)
		defer stop()
		m := cc.AcquireMessage(ctx)
		defer cc.ReleaseMessage(m)
		m.SetToken(req.token)
		if finish(m) {
			_ = cc.WriteMessage(m) // if no ACK arrives, the sender's deadline ends the request
		}
	}()
}

// setResult sets the response for the result of an execution. It returns false if
// no response is to be sent.
func (s *Server) setResult(m *pool.Message, req request, err error) bool {
	switch {
	case err == nil:
		code := codes.Content
		if req.post {
			code = codes.Changed
		}
		s.setResponse(m, code, s.responseContent(req), 0)
	case errors.Is(err, errOverloaded):
		s.setResponse(m, codes.ServiceUnavailable, nil, 0)
		m.SetOptionUint32(message.MaxAge, 1)
	case errors.Is(err, errCancelled):
		s.updateCounts(func(c *wire.TargetCounts) { c.Cancelled++ })
		return false
	default:
		s.updateCounts(func(c *wire.TargetCounts) { c.Expired++ })
		s.setResponse(m, codes.GatewayTimeout, nil, 0)
	}
	return true
}

func (s *Server) responseContent(req request) []byte {
	size := defaultContentSize
	if len(req.path) > 0 && req.path[0] == "certificates" {
		size = certificateSize
	}
	if req.large {
		size = largeCertificateSize
	}
	return wire.Content(s.service, req.id.String(), "ran", size)
}

// setResponse sets the code and content of a response. If the content exceeds one
// block, only the requested block is set. The blocks of one content can come from
// different servers, since the entity tag depends only on the content.
func (s *Server) setResponse(m *pool.Message, code codes.Code, content []byte, block int) {
	m.SetCode(code)
	if content == nil {
		return
	}
	if len(content) > blockSize {
		from := min(block*blockSize, len(content))
		to := min(from+blockSize, len(content))
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

func (s *Server) updateCounts(change func(*wire.TargetCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}
