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
	// defaultAckTimeout is ACK_TIMEOUT if the options set none. It is a quarter of
	// the default of RFC 7252 section 4.8, so that several retransmissions fit into
	// a test.
	defaultAckTimeout = 500 * time.Millisecond
	maxRetransmit     = 4 // as in RFC 7252 section 4.8
	// retransmitCheckInterval is the interval at which go-coap checks for messages
	// to retransmit. Its default of 4 s is longer than the time to the first
	// retransmission.
	retransmitCheckInterval = 50 * time.Millisecond
	// maxParallelRequests limits the concurrent requests of one connection. With
	// go-coap's default of 1 a request would wait for the previous one of its caller.
	maxParallelRequests = 64
	blockSZX            = 6 // blocks of 1024 bytes
)

// maxTransmitSpan returns MAX_TRANSMIT_SPAN (RFC 7252 section 4.8.2): the maximum
// time from the first transmission of a message to its last retransmission.
func (o *Options) maxTransmitSpan() time.Duration {
	return o.AckTimeout * (1<<maxRetransmit - 1) * 3 / 2
}

// dialer opens the CoAP connections of one caller process.
type dialer struct {
	retransmitRunner periodic.Func
	ackTimeout       time.Duration
}

func (d *dialer) dial(local netip.Addr, to netip.AddrPort) (*client.Conn, error) {
	cc, err := udp.Dial(to.String(),
		options.WithDialer(&net.Dialer{LocalAddr: &net.UDPAddr{IP: local.AsSlice()}}),
		options.WithPeriodicRunner(d.retransmitRunner),
		options.WithTransmission(maxParallelRequests, d.ackTimeout, maxRetransmit),
		options.WithLimitClientParallelRequest(maxParallelRequests),
		options.WithLimitClientEndpointParallelRequest(maxParallelRequests),
		options.WithBlockwise(false, blockwise.SZX1024, time.Second),
		options.WithReceivedMessageQueueSize(maxParallelRequests),
		options.WithErrors(func(error) {}), // operations count timeouts themselves
	)
	return cc, eris.Wrapf(err, "dial %s from %s", to, local)
}

// callerConn is the connection of one caller.
type callerConn struct {
	caller     string // caller name in request ids
	host       string // Uri-Host, which names the partner
	coap       *client.Conn
	ackTimeout time.Duration
}

// request holds the parameters of a request, which may be sent several times.
type request struct {
	code      codes.Code
	path      string
	id        string
	echo      []byte
	outcomeOf string // operation id of an outcome query; empty otherwise
	// block is the number of the requested block of a large response. go-coap's own
	// block-wise transfer is not used: after a separate response it puts the request
	// for the next block into the ACK and never retransmits it.
	block uint32
}

// response holds the parts of a response that the caller evaluates.
type response struct {
	code   codes.Code
	body   []byte
	echo   []byte
	maxAge time.Duration
	etag   []byte
	more   bool // further blocks follow
	// copied is set if the response took so long that the message layer may have sent
	// the request more than once.
	copied bool
}

// newMessage returns a message for req; go-coap assigns the message id.
func (c *callerConn) newMessage(ctx context.Context, req request) (*pool.Message, error) {
	token, err := message.GetToken()
	if err != nil {
		return nil, eris.Wrap(err, "token")
	}
	m := c.coap.AcquireMessage(ctx)
	m.SetCode(req.code)
	m.SetToken(token)
	if c.host != "" {
		m.SetOptionString(message.URIHost, c.host)
	}
	m.MustSetPath(req.path)
	m.AddQuery("id=" + req.id)
	if req.outcomeOf != "" {
		m.AddQuery("op=" + req.outcomeOf)
	}
	if len(req.echo) > 0 {
		if err := m.SetEcho(req.echo); err != nil {
			c.coap.ReleaseMessage(m)
			return nil, eris.Wrap(err, "set Echo option")
		}
	}
	if req.block > 0 {
		m.SetOptionUint32(message.Block2, req.block<<4|blockSZX)
	}
	if req.code == codes.POST {
		m.SetBody(bytes.NewReader([]byte("record " + req.id)))
	}
	return m, nil
}

// roundTrip sends req and waits for the response.
func (c *callerConn) roundTrip(ctx context.Context, req request) (response, error) {
	m, err := c.newMessage(ctx, req)
	if err != nil {
		return response{}, err
	}
	defer c.coap.ReleaseMessage(m)
	began := time.Now()
	r, err := c.coap.Do(m)
	if err != nil {
		return response{}, eris.Wrapf(err, "request %s block %d", req.id, req.block)
	}
	defer c.coap.ReleaseMessage(r)
	resp := response{code: r.Code(), maxAge: 60 * time.Second, copied: time.Since(began) >= c.ackTimeout}
	if resp.body, err = r.ReadBody(); err != nil {
		return response{}, eris.Wrapf(err, "read response body of request %s", req.id)
	}
	if e, err := r.Echo(); err == nil {
		resp.echo = bytes.Clone(e)
	}
	if s, err := r.GetOptionUint32(message.MaxAge); err == nil {
		resp.maxAge = time.Duration(s) * time.Second
	}
	if tag, err := r.ETag(); err == nil {
		resp.etag = bytes.Clone(tag)
	}
	if v, err := r.GetOptionUint32(message.Block2); err == nil {
		if v>>4 != req.block {
			return response{}, eris.Errorf("request %s: got block %d, want %d", req.id, v>>4, req.block)
		}
		resp.more = v&8 != 0
	}
	return resp, nil
}
