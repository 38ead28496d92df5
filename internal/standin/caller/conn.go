package caller

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/message/pool"
	"github.com/plgd-dev/go-coap/v3/net/blockwise"
	"github.com/plgd-dev/go-coap/v3/options"
	"github.com/plgd-dev/go-coap/v3/pkg/runner/periodic"
	"github.com/plgd-dev/go-coap/v3/udp"
	"github.com/plgd-dev/go-coap/v3/udp/client"
	"github.com/rotisserie/eris"
)

const (
	// ackTimeout and maxRetransmit are the CoAP transmission parameters of the
	// callers (RFC 7252 section 4.8).
	ackTimeout    = 500 * time.Millisecond
	maxRetransmit = 4
	// transmitSpan is MAX_TRANSMIT_SPAN: from the first transmission to the last.
	transmitSpan = ackTimeout * (1<<maxRetransmit - 1) * 3 / 2
	// retransmitTick is the interval at which go-coap looks for messages to
	// retransmit. Its default of 4 s is longer than ackTimeout.
	retransmitTick = 50 * time.Millisecond
	// transferTimeout bounds a block-wise transfer of the library.
	transferTimeout = 10 * time.Second
	// parallel is the number of requests of one connection at a time; go-coap's
	// default of 1 would delay a request behind another one of the same caller.
	parallel = 64
	// maxBlocks bounds a transfer block by block.
	maxBlocks = 4096
	blockSZX  = 6 // blocks of 1024 bytes
)

// dialer opens the connections of one caller process.
type dialer struct {
	tick periodic.Func
}

func (d *dialer) dial(local netip.Addr, to netip.AddrPort, blocks bool) (*client.Conn, error) {
	cc, err := udp.Dial(to.String(),
		options.WithDialer(&net.Dialer{LocalAddr: &net.UDPAddr{IP: local.AsSlice()}}),
		options.WithPeriodicRunner(d.tick),
		options.WithTransmission(parallel, ackTimeout, maxRetransmit),
		options.WithLimitClientParallelRequest(parallel),
		options.WithLimitClientEndpointParallelRequest(parallel),
		options.WithBlockwise(blocks, blockwise.SZX1024, transferTimeout),
		options.WithReceivedMessageQueueSize(parallel),
		options.WithErrors(func(error) {}), // time-outs are counted by the operations
	)
	return cc, eris.Wrapf(err, "dial %s from %s", to, local)
}

// conn is one caller: a connection for requests, and a second one without the
// library's block-wise layer, see fetch.
type conn struct {
	name  string
	host  string // Uri-Host, which names the partner
	cc    *client.Conn
	plain *client.Conn
}

func (c *conn) close() {
	_ = c.cc.Close()
	_ = c.plain.Close()
}

// question is one request as it is sent, possibly several times.
type question struct {
	code codes.Code
	path string
	id   string
	echo []byte
	op   string // operation whose outcome is asked for
}

// answer is what the caller reads of a response.
type answer struct {
	code   codes.Code
	body   []byte
	echo   []byte
	maxAge time.Duration
}

// build returns a message for q; the connection assigns the message id.
func (c *conn) build(ctx context.Context, cc *client.Conn, q question) (*pool.Message, error) {
	token, err := message.GetToken()
	if err != nil {
		return nil, eris.Wrap(err, "token")
	}
	m := cc.AcquireMessage(ctx)
	m.SetCode(q.code)
	m.SetToken(token)
	if c.host != "" {
		m.SetOptionString(message.URIHost, c.host)
	}
	m.MustSetPath(q.path)
	m.AddQuery("id=" + q.id)
	if q.op != "" {
		m.AddQuery("op=" + q.op)
	}
	if len(q.echo) > 0 {
		if err := m.SetEcho(q.echo); err != nil {
			cc.ReleaseMessage(m)
			return nil, eris.Wrap(err, "echo option")
		}
	}
	if q.code == codes.POST {
		m.SetBody(bytes.NewReader([]byte("record " + q.id)))
	}
	return m, nil
}

// ask sends q and waits for its response. The library transfers a response of
// several blocks.
func (c *conn) ask(ctx context.Context, q question) (answer, error) {
	return c.exchange(ctx, c.cc, q, nil)
}

func (c *conn) exchange(ctx context.Context, cc *client.Conn, q question, block func(*pool.Message)) (answer, error) {
	m, err := c.build(ctx, cc, q)
	if err != nil {
		return answer{}, err
	}
	defer cc.ReleaseMessage(m)
	if block != nil {
		block(m)
	}
	r, err := cc.Do(m)
	if err != nil {
		return answer{}, eris.Wrapf(err, "request %s", q.id)
	}
	defer cc.ReleaseMessage(r)
	if block != nil {
		block(r)
	}
	a := answer{code: r.Code(), maxAge: 60 * time.Second}
	if a.body, err = r.ReadBody(); err != nil {
		return answer{}, eris.Wrapf(err, "body of %s", q.id)
	}
	if e, err := r.Echo(); err == nil {
		a.echo = bytes.Clone(e)
	}
	if s, err := r.GetOptionUint32(message.MaxAge); err == nil {
		a.maxAge = time.Duration(s) * time.Second
	}
	return a, nil
}

// fetch transfers a response block by block with one confirmable request each.
// The library's own transfer does not retransmit the requests for follow-up
// blocks, so one lost datagram would end it.
func (c *conn) fetch(ctx context.Context, q question) (answer, error) {
	var whole answer
	var etag []byte
	for num := range uint32(maxBlocks) {
		more, first := false, true
		a, err := c.exchange(ctx, c.plain, q, func(m *pool.Message) {
			if first {
				first = false
				if num > 0 {
					m.SetOptionUint32(message.Block2, num<<4|blockSZX)
				}
				return
			}
			v, err := m.GetOptionUint32(message.Block2)
			more = err == nil && v&8 != 0
			if tag, err := m.ETag(); err == nil {
				if num > 0 && !bytes.Equal(tag, etag) {
					more = false // the content changed; its checksum will not match
				}
				etag = bytes.Clone(tag)
			}
		})
		if err != nil {
			return answer{}, err
		}
		if num == 0 || a.code != codes.Content {
			whole = a
		} else {
			whole.body = append(whole.body, a.body...)
		}
		if !more || a.code != codes.Content {
			return whole, nil
		}
	}
	return answer{}, eris.Errorf("request %s: more than %d blocks", q.id, maxBlocks)
}
