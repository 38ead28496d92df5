package link

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/peerwire"
)

type outgoing struct {
	data        []byte
	replaceable bool // a heartbeat: the next one replaces it
	at          time.Time
}

// conn is one WebSocket connection. Times are Unix nanoseconds.
type conn struct {
	ws       *websocket.Conn
	dialled  bool
	opened   time.Time
	unheard  atomic.Int64 // first message sent since the last one received; 0 for none
	activity atomic.Int64 // last message in either direction
}

// lane is one lane of the link to a peer: a queue and the goroutine that
// sends from it over the present connection.
type lane struct {
	m     *Manager
	key   laneKey
	queue chan *outgoing // pointers: an empty queue of 1,024 entries takes 8 KB

	mu   sync.Mutex
	conn *conn

	// Of the sender goroutine:
	bulk    []*outgoing // control messages that wait for budget
	backoff time.Duration
	retryAt time.Time
}

func (l *lane) current() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// attach makes ws the connection of the lane and starts its reader. The newest
// connection wins, since the older one may have gone silent; but when both
// sides dial at the same time, both keep the connection that the smaller
// instance id dialled, so that one remains.
func (l *lane) attach(ws *websocket.Conn, dialled bool) {
	ws.SetReadLimit(peerwire.MaxMessage)
	now := time.Now()
	c := &conn{ws: ws, dialled: dialled, opened: now}
	c.activity.Store(now.UnixNano())
	if !l.m.spawn(func() { l.read(c) }) {
		_ = ws.CloseNow()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	spare := l.conn
	preferred := dialled == (l.m.config.Self < l.key.peer)
	if spare != nil && spare.dialled != dialled && !preferred && now.Sub(spare.opened) < simultaneous {
		spare = c
	} else {
		l.conn = c
	}
	if spare != nil {
		// Messages under way on the spare connection still arrive.
		time.AfterFunc(simultaneous, func() { _ = spare.ws.CloseNow() })
	}
}

// drop closes c and detaches it.
func (l *lane) drop(c *conn) {
	if c == nil {
		return
	}
	l.mu.Lock()
	if l.conn == c {
		l.conn = nil
	}
	l.mu.Unlock()
	_ = c.ws.CloseNow()
}

func (l *lane) idle() time.Duration {
	if l.key.lane == peerwire.Control {
		return controlIdle
	}
	return l.m.config.DataIdle
}

func (l *lane) silence() time.Duration {
	if l.key.lane == peerwire.Control {
		return controlSilence
	}
	return dataSilence
}

// read delivers the messages of c until it fails.
func (l *lane) read(c *conn) {
	defer l.drop(c)
	var buf bytes.Buffer
	for {
		kind, r, err := c.ws.Reader(l.m.ctx)
		if err == nil {
			buf.Reset()
			_, err = io.Copy(&buf, r)
		}
		if err != nil {
			l.m.config.Log.Debug("link-closed", "peer", l.key.peer, "lane", laneName(l.key.lane), "error", err)
			return
		}
		c.unheard.Store(0)
		c.activity.Store(time.Now().UnixNano())
		l.m.counts.received[l.key.lane].Add(1)
		l.m.counts.receivedBytes[l.key.lane].Add(int64(buf.Len() + overhead))
		if kind == websocket.MessageBinary {
			l.deliver(buf.Bytes())
		} else {
			l.m.counts.malformed.Add(1)
		}
		if buf.Cap() > 64<<10 {
			buf = bytes.Buffer{} // does not keep the memory of a rare large message
		}
	}
}

func (l *lane) deliver(data []byte) {
	msg := new(peerwire.Message)
	if err := peerwire.Decode(data, msg); err != nil || msg.Lane() != l.key.lane {
		l.m.counts.malformed.Add(1)
		l.m.config.Log.Debug("peer-message-malformed", "peer", l.key.peer, "error", err)
		return
	}
	if msg.From != l.key.peer {
		l.m.counts.impersonate.Add(1)
		return
	}
	l.m.config.Receive(msg)
}

// run sends the queued messages until the manager closes or the lane is idle.
func (l *lane) run() {
	check := time.NewTicker(l.silence() / 2)
	defer check.Stop()
	last := time.Now()
	for {
		var due <-chan time.Time
		if wait := l.sendBulk(); wait > 0 {
			due = time.After(wait)
		}
		select {
		case <-l.m.ctx.Done():
			return
		case out := <-l.queue:
			last = time.Now()
			l.take(out)
		case <-due:
		case <-check.C:
			l.checkConn()
			if time.Since(last) > l.idle() && len(l.bulk) == 0 && l.current() == nil && l.m.retire(l) {
				return
			}
		}
	}
}

// take sends out, or puts it behind the bulk messages that wait for budget. A
// heartbeat that exceeds the budget is dropped.
func (l *lane) take(out *outgoing) {
	switch {
	case l.key.lane == peerwire.Data:
		l.send(out)
		return
	case out.replaceable || len(out.data) <= urgentBytes:
		// The connection comes first: budget for a peer that cannot be reached
		// would be wasted.
		if l.connect(out) == nil {
			l.m.counts.stale.Add(1)
			return
		}
		if _, ok := l.m.budget.Take(time.Now(), len(out.data), true); ok {
			l.send(out)
			return
		}
		if out.replaceable {
			l.m.counts.overBudget.Add(1)
			return
		}
	}
	if len(l.bulk) >= l.m.config.QueueCapacity {
		l.m.counts.queueFull.Add(1)
		return
	}
	l.bulk = append(l.bulk, out)
}

// sendBulk sends the bulk messages that the budget covers. When some are left
// it returns the time after which to try again.
func (l *lane) sendBulk() time.Duration {
	for len(l.bulk) > 0 {
		out := l.bulk[0]
		if wait, ok := l.m.budget.Take(time.Now(), len(out.data), false); !ok {
			return wait + time.Millisecond
		}
		l.bulk = l.bulk[1:]
		out.at = time.Now() // its wait for budget does not make it stale
		l.send(out)
	}
	l.bulk = nil
	return 0
}

// checkConn closes a connection that is idle or has gone silent.
func (l *lane) checkConn() {
	c := l.current()
	if c == nil {
		return
	}
	if time.Since(time.Unix(0, c.activity.Load())) > l.idle() {
		l.drop(c)
		return
	}
	unheard := c.unheard.Load()
	if unheard == 0 || time.Since(time.Unix(0, unheard)) < l.silence() {
		return
	}
	ctx, cancel := context.WithTimeout(l.m.ctx, l.silence())
	defer cancel()
	if l.key.lane == peerwire.Control {
		l.m.budget.Charge(overhead)
	}
	if err := c.ws.Ping(ctx); err != nil {
		l.m.counts.silent.Add(1)
		l.m.config.Log.Warn("link-silent", "peer", l.key.peer, "lane", laneName(l.key.lane), "error", err)
		l.drop(c)
		return
	}
	c.unheard.Store(0)
}

// send writes out to the peer.
func (l *lane) send(out *outgoing) {
	// A connection that the peer closed meanwhile fails at the first write;
	// the message is sent over a new one then.
	for range 2 {
		c := l.connect(out)
		if c == nil {
			break
		}
		if l.write(c, out.data) {
			return
		}
	}
	l.m.counts.stale.Add(1)
}

func (l *lane) write(c *conn, data []byte) bool {
	ctx, cancel := context.WithTimeout(l.m.ctx, writeTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		l.drop(c)
		return false
	}
	now := time.Now().UnixNano()
	c.activity.Store(now)
	c.unheard.CompareAndSwap(0, now)
	l.m.counts.sent[l.key.lane].Add(1)
	l.m.counts.sentBytes[l.key.lane].Add(int64(len(data) + overhead))
	return true
}

// connect returns the present connection or dials one. It returns nil when
// the peer cannot be reached while out is fresh.
func (l *lane) connect(out *outgoing) *conn {
	for {
		if c := l.current(); c != nil {
			return c
		}
		wait := time.Until(l.retryAt)
		if time.Since(out.at)+max(wait, 0) > maxAge {
			return nil
		}
		if wait > 0 {
			select {
			case <-time.After(wait):
			case <-l.m.ctx.Done():
				return nil
			}
			continue // the peer may have dialled meanwhile
		}
		if err := l.dial(); err != nil {
			l.m.counts.dialFailures.Add(1)
			level := slog.LevelDebug
			if l.backoff == 0 { // the first of a series
				level = slog.LevelWarn
			}
			l.m.config.Log.Log(l.m.ctx, level, "link-dial-failed", "peer", l.key.peer, "lane", laneName(l.key.lane), "error", err)
			l.backoff = min(max(2*l.backoff, backoffMin), backoffMax)
			l.retryAt = time.Now().Add(jitter(l.backoff))
			continue
		}
		l.backoff = 0
	}
}

func (l *lane) dial() error {
	l.m.counts.dials.Add(1)
	address, ok := l.m.config.LookupAddress(l.key.peer)
	if !ok {
		return eris.Errorf("dial link to %s: address unknown", l.key.peer)
	}
	ctx, cancel := context.WithTimeout(l.m.ctx, dialTimeout)
	defer cancel()
	dialer := &net.Dialer{}
	if ip := l.m.config.LocalAddr; ip.IsValid() && !ip.IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0))
	}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     l.m.config.Credentials.client(l.key.peer),
		TLSHandshakeTimeout: dialTimeout,
		MaxIdleConns:        1,
		DisableKeepAlives:   true,
	}}
	ws, _, err := websocket.Dial(ctx, "https://"+address+path+laneName(l.key.lane), &websocket.DialOptions{
		HTTPClient:      client,
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return eris.Wrapf(err, "dial link to %s at %s", l.key.peer, address)
	}
	if l.key.lane == peerwire.Control {
		l.m.budget.Charge(handshakeBytes)
	}
	l.attach(ws, true)
	return nil
}

func laneName(l peerwire.Lane) string {
	if l == peerwire.Control {
		return "control"
	}
	return "data"
}
