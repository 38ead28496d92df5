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

type queuedMessage struct {
	data        []byte
	replaceable bool // a heartbeat, which the next one replaces
	queuedAt    time.Time
}

// connection is one WebSocket connection. The atomic times are Unix
// nanoseconds.
type connection struct {
	ws              *websocket.Conn
	dialled         bool
	openedAt        time.Time
	unansweredSince atomic.Int64 // time of the first message sent since the last one received; 0 if none
	lastActivity    atomic.Int64 // time of the last message in either direction
}

// lane is one lane of the link to a peer: a queue, and the goroutine that sends
// the queued messages over the current connection.
type lane struct {
	manager *Manager
	key     laneKey
	queue   chan *queuedMessage // of pointers, so that an empty queue of 1,024 entries takes only 8 KB

	mu   sync.Mutex
	conn *connection

	// The fields below are used by the sender goroutine only.
	bulkQueue []*queuedMessage // control messages that wait until the budget allows them
	backoff   time.Duration
	retryAt   time.Time
}

func (l *lane) currentConnection() *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// attach makes ws the connection of the lane and starts its reader. The newest
// connection replaces an older one, because the older one may no longer work.
// When both sides dial at the same time, both keep the connection dialled by
// the instance with the smaller ID, so that exactly one remains.
func (l *lane) attach(ws *websocket.Conn, dialled bool) {
	ws.SetReadLimit(peerwire.MaxMessage)
	now := time.Now()
	c := &connection{ws: ws, dialled: dialled, openedAt: now}
	c.lastActivity.Store(now.UnixNano())
	if !l.manager.startTask(func() { l.read(c) }) {
		_ = ws.CloseNow()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	redundant := l.conn
	preferred := dialled == (l.manager.config.Self < l.key.peer)
	if redundant != nil && redundant.dialled != dialled && !preferred && now.Sub(redundant.openedAt) < simultaneousDialWindow {
		redundant = c
	} else {
		l.conn = c
	}
	if redundant != nil {
		// Delay the close so that messages in flight on the redundant connection
		// still arrive.
		time.AfterFunc(simultaneousDialWindow, func() { _ = redundant.ws.CloseNow() })
	}
}

// closeConnection closes c and detaches it from the lane.
func (l *lane) closeConnection(c *connection) {
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

func (l *lane) idleTimeout() time.Duration {
	if l.key.lane == peerwire.Control {
		return controlIdleTimeout
	}
	return l.manager.config.DataIdleTimeout
}

func (l *lane) silenceTimeout() time.Duration {
	if l.key.lane == peerwire.Control {
		return controlSilenceTimeout
	}
	return dataSilenceTimeout
}

// read delivers the messages of c until it fails.
func (l *lane) read(c *connection) {
	defer l.closeConnection(c)
	var buf bytes.Buffer
	for {
		kind, r, err := c.ws.Reader(l.manager.ctx)
		if err == nil {
			buf.Reset()
			_, err = io.Copy(&buf, r)
		}
		if err != nil {
			l.manager.config.Log.Debug("link-closed", "peer", l.key.peer, "lane", laneName(l.key.lane), "error", err)
			return
		}
		c.unansweredSince.Store(0)
		c.lastActivity.Store(time.Now().UnixNano())
		l.manager.counts.received[l.key.lane].Add(1)
		l.manager.counts.receivedBytes[l.key.lane].Add(int64(buf.Len() + messageOverhead))
		if kind == websocket.MessageBinary {
			l.deliver(buf.Bytes())
		} else {
			l.manager.counts.malformed.Add(1)
		}
		if buf.Cap() > 64<<10 {
			buf = bytes.Buffer{} // do not keep the memory of a rare large message
		}
	}
}

func (l *lane) deliver(data []byte) {
	msg := new(peerwire.Message)
	if err := peerwire.Decode(data, msg); err != nil || msg.Lane() != l.key.lane {
		l.manager.counts.malformed.Add(1)
		l.manager.config.Log.Debug("peer-message-malformed", "peer", l.key.peer, "error", err)
		return
	}
	if msg.From != l.key.peer {
		l.manager.counts.wrongSender.Add(1)
		return
	}
	l.manager.config.Receive(msg)
}

// run sends the queued messages until the manager is closed or the lane has been
// idle for its idle timeout.
func (l *lane) run() {
	checkTicker := time.NewTicker(l.silenceTimeout() / 2)
	defer checkTicker.Stop()
	lastDequeue := time.Now()
	for {
		var bulkReady <-chan time.Time
		if wait := l.sendBulk(); wait > 0 {
			bulkReady = time.After(wait)
		}
		select {
		case <-l.manager.ctx.Done():
			return
		case m := <-l.queue:
			lastDequeue = time.Now()
			l.process(m)
		case <-bulkReady:
		case <-checkTicker.C:
			l.checkConnection()
			if time.Since(lastDequeue) > l.idleTimeout() && len(l.bulkQueue) == 0 && l.currentConnection() == nil && l.manager.removeIfIdle(l) {
				return
			}
		}
	}
}

// process sends m, or appends it to the bulk messages that wait for budget. A
// heartbeat that exceeds the budget is dropped.
func (l *lane) process(m *queuedMessage) {
	switch {
	case l.key.lane == peerwire.Data:
		l.send(m)
		return
	case m.replaceable || len(m.data) <= maxUrgentBytes:
		// Connect before reserving budget, so that no budget is spent on a peer
		// that cannot be reached.
		if l.connect(m) == nil {
			l.manager.counts.stale.Add(1)
			return
		}
		if _, ok := l.manager.budget.Take(time.Now(), len(m.data), true); ok {
			l.send(m)
			return
		}
		if m.replaceable {
			l.manager.counts.overBudget.Add(1)
			return
		}
	}
	if len(l.bulkQueue) >= l.manager.config.QueueCapacity {
		l.manager.counts.queueFull.Add(1)
		return
	}
	l.bulkQueue = append(l.bulkQueue, m)
}

// sendBulk sends the bulk messages that the budget allows. If some remain, it
// returns the time after which to retry, otherwise 0.
func (l *lane) sendBulk() time.Duration {
	for len(l.bulkQueue) > 0 {
		m := l.bulkQueue[0]
		if wait, ok := l.manager.budget.Take(time.Now(), len(m.data), false); !ok {
			return wait + time.Millisecond
		}
		l.bulkQueue = l.bulkQueue[1:]
		m.queuedAt = time.Now() // the time that m waited for budget does not count towards maxQueueTime
		l.send(m)
	}
	l.bulkQueue = nil
	return 0
}

// checkConnection closes the connection if it is idle, or if the peer has sent
// nothing for the silence timeout and does not answer a ping.
func (l *lane) checkConnection() {
	c := l.currentConnection()
	if c == nil {
		return
	}
	if time.Since(time.Unix(0, c.lastActivity.Load())) > l.idleTimeout() {
		l.closeConnection(c)
		return
	}
	unansweredSince := c.unansweredSince.Load()
	if unansweredSince == 0 || time.Since(time.Unix(0, unansweredSince)) < l.silenceTimeout() {
		return
	}
	ctx, cancel := context.WithTimeout(l.manager.ctx, l.silenceTimeout())
	defer cancel()
	if l.key.lane == peerwire.Control {
		l.manager.budget.Charge(messageOverhead)
	}
	if err := c.ws.Ping(ctx); err != nil {
		l.manager.counts.silentClosed.Add(1)
		l.manager.config.Log.Warn("link-silent", "peer", l.key.peer, "lane", laneName(l.key.lane), "error", err)
		l.closeConnection(c)
		return
	}
	c.unansweredSince.Store(0)
}

// send writes m to the peer.
func (l *lane) send(m *queuedMessage) {
	// If the peer has closed the connection, the first write fails and the
	// message is sent over a new connection.
	for range 2 {
		c := l.connect(m)
		if c == nil {
			break
		}
		if l.write(c, m.data) {
			return
		}
	}
	l.manager.counts.stale.Add(1)
}

func (l *lane) write(c *connection, data []byte) bool {
	ctx, cancel := context.WithTimeout(l.manager.ctx, writeTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		l.closeConnection(c)
		return false
	}
	now := time.Now().UnixNano()
	c.lastActivity.Store(now)
	c.unansweredSince.CompareAndSwap(0, now)
	l.manager.counts.sent[l.key.lane].Add(1)
	l.manager.counts.sentBytes[l.key.lane].Add(int64(len(data) + messageOverhead))
	return true
}

// connect returns the current connection or dials a new one. It returns nil if
// the peer cannot be reached before m exceeds maxQueueTime.
func (l *lane) connect(m *queuedMessage) *connection {
	for {
		if c := l.currentConnection(); c != nil {
			return c
		}
		wait := time.Until(l.retryAt)
		if time.Since(m.queuedAt)+max(wait, 0) > maxQueueTime {
			return nil
		}
		if wait > 0 {
			select {
			case <-time.After(wait):
			case <-l.manager.ctx.Done():
				return nil
			}
			continue // the peer may have connected during the wait
		}
		if err := l.dial(); err != nil {
			l.manager.counts.dialFailures.Add(1)
			level := slog.LevelDebug
			if l.backoff == 0 { // the first failure in a row
				level = slog.LevelWarn
			}
			l.manager.config.Log.Log(l.manager.ctx, level, "link-dial-failed", "peer", l.key.peer, "lane", laneName(l.key.lane), "error", err)
			l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
			l.retryAt = time.Now().Add(jitter(l.backoff))
			continue
		}
		l.backoff = 0
	}
}

func (l *lane) dial() error {
	l.manager.counts.dials.Add(1)
	address, ok := l.manager.config.LookupAddress(l.key.peer)
	if !ok {
		return eris.Errorf("dial link to %s: address unknown", l.key.peer)
	}
	ctx, cancel := context.WithTimeout(l.manager.ctx, dialTimeout)
	defer cancel()
	dialer := &net.Dialer{}
	if ip := l.manager.config.LocalAddr; ip.IsValid() && !ip.IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0))
	}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     l.manager.config.Credentials.clientConfig(l.key.peer),
		TLSHandshakeTimeout: dialTimeout,
		MaxIdleConns:        1,
		DisableKeepAlives:   true,
	}}
	ws, _, err := websocket.Dial(ctx, "https://"+address+pathPrefix+laneName(l.key.lane), &websocket.DialOptions{
		HTTPClient:      client,
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return eris.Wrapf(err, "dial link to %s at %s", l.key.peer, address)
	}
	if l.key.lane == peerwire.Control {
		l.manager.budget.Charge(handshakeBytes)
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
