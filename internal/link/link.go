// Package link transports peer messages between instances over WebSocket with
// mutual TLS 1.3. A link to a peer consists of two lanes, each with its own
// connection: the control lane, whose rate in bytes per second is limited, and
// the data lane, which is opened on demand and closed when idle. Sending never
// blocks, because each lane has a bounded queue.
package link

import (
	"context"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/telemetry"
)

const (
	// dialTimeout covers the TCP, TLS and WebSocket handshakes (three round
	// trips), also between regions and on a busy machine.
	dialTimeout  = 2 * time.Second
	writeTimeout = 1 * time.Second
	// dataSilenceTimeout and controlSilenceTimeout apply to a connection on which
	// nothing has been received since a write. After this time it is probed with
	// a ping, and it is closed when no pong arrives within the same time. This
	// detects broken connections that were not closed. The control lane is probed
	// less often because its probes count towards the budget.
	dataSilenceTimeout    = 500 * time.Millisecond
	controlSilenceTimeout = 1 * time.Second
	// simultaneousDialWindow is the time within which a dial by each side of the
	// same lane counts as simultaneous. It equals the dial timeout.
	simultaneousDialWindow = dialTimeout
	minBackoff             = 50 * time.Millisecond
	maxBackoff             = 2 * time.Second
	// maxQueueTime is the time after which a queued message that could not be
	// sent is dropped. It is below ACK_TIMEOUT, 2 s in RFC 7252, after which the
	// caller retransmits a relayed request.
	maxQueueTime = 1 * time.Second
	// controlIdleTimeout is the time after which an unused control lane is
	// closed.
	controlIdleTimeout = 2 * time.Minute

	pathPrefix = "/v1/link/"
)

// Config is the configuration of a Manager.
type Config struct {
	Self                  ids.Instance
	LocalAddr             netip.Addr // local address of outgoing connections; any address if invalid or unspecified
	Credentials           Credentials
	ControlBytesPerSecond int           // rate limit of all control lanes together
	StartupBytes          int           // control bytes allowed in addition to the rate limit after the start
	QueueCapacity         int           // queued messages per peer and lane
	DataIdleTimeout       time.Duration // time after which an unused data lane is closed
	Log                   *slog.Logger
	Metrics               *telemetry.Registry
	// LookupAddress returns the address of a peer's link listener, or false if it
	// is unknown.
	LookupAddress func(ids.Instance) (string, bool)
	// Receive is called with each message that a peer has sent. It is called
	// from several goroutines and must not block.
	Receive func(*peerwire.Message)
}

// Manager manages the links of one instance to its peers.
type Manager struct {
	config Config
	budget *Budget
	ctx    context.Context
	cancel context.CancelFunc
	server *http.Server
	tasks  sync.WaitGroup

	mu     sync.Mutex
	lanes  map[laneKey]*lane
	closed bool

	counts counters
}

type laneKey struct {
	peer ids.Instance
	lane peerwire.Lane
}

type counters struct {
	sent, received, sentBytes, receivedBytes             [2]*expvar.Int // by lane
	queueFull, stale, overBudget, malformed, wrongSender *expvar.Int
	dials, dialFailures, accepted, silentClosed          *expvar.Int

	queuedBytes map[string]*expvar.Int // by kind of message
}

func newCounters(registry *telemetry.Registry) counters {
	var c counters
	for lane, laneName := range []string{"control", "data"} {
		c.sent[lane] = registry.Counter("link_" + laneName + "_sent_messages_total")
		c.received[lane] = registry.Counter("link_" + laneName + "_received_messages_total")
		c.sentBytes[lane] = registry.Counter("link_" + laneName + "_sent_bytes_total")
		c.receivedBytes[lane] = registry.Counter("link_" + laneName + "_received_bytes_total")
	}
	c.queuedBytes = make(map[string]*expvar.Int, len(peerwire.Kinds))
	for _, kind := range peerwire.Kinds {
		c.queuedBytes[kind] = registry.Counter("link_queued_" + kind + "_bytes_total")
	}
	c.queueFull = registry.Counter("link_queue_full_dropped_total")
	c.stale = registry.Counter("link_stale_dropped_total")
	c.overBudget = registry.Counter("link_control_budget_dropped_total")
	c.malformed = registry.Counter("link_malformed_dropped_total")
	c.wrongSender = registry.Counter("link_wrong_sender_dropped_total")
	c.dials = registry.Counter("link_dials_total")
	c.dialFailures = registry.Counter("link_dial_failures_total")
	c.accepted = registry.Counter("link_accepted_total")
	c.silentClosed = registry.Counter("link_silent_closed_total")
	return c
}

// New returns a manager that dials links to its peers. It accepts links of peers
// only after a call of Serve.
func New(config Config) *Manager {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		config: config,
		budget: NewBudget(config.ControlBytesPerSecond),
		ctx:    ctx,
		cancel: cancel,
		lanes:  make(map[laneKey]*lane),
		counts: newCounters(config.Metrics),
	}
	m.budget.Grant(config.StartupBytes)
	m.server = &http.Server{
		Handler:           http.HandlerFunc(m.accept),
		TLSConfig:         config.Credentials.serverConfig(),
		ReadHeaderTimeout: dialTimeout,
		MaxHeaderBytes:    8 << 10,
		ErrorLog:          slog.NewLogLogger(config.Log.Handler(), slog.LevelDebug),
	}
	config.Metrics.Gauge("link_control_budget_bytes_per_second", func() any { return config.ControlBytesPerSecond })
	config.Metrics.Gauge("link_control_budget_owed_bytes", func() any { return m.budget.Owed() })
	config.Metrics.Gauge("link_open_connections", func() any { return m.ConnectionCount() })
	return m
}

// Serve accepts links on l until Close is called.
func (m *Manager) Serve(l net.Listener) error {
	err := m.server.ServeTLS(l, "", "")
	if m.ctx.Err() != nil {
		return nil
	}
	return eris.Wrapf(err, "serve links on %s", l.Addr())
}

// Send queues msg for a peer and reports whether it was queued. It encodes msg
// before it returns, so that the caller may reuse msg.
func (m *Manager) Send(to ids.Instance, msg *peerwire.Message) bool {
	data, err := peerwire.Encode(nil, msg)
	if err != nil {
		m.counts.malformed.Add(1)
		m.config.Log.Warn("peer-message-not-sent", "peer", to, "kind", msg.Kind(), "error", err)
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.laneLocked(laneKey{peer: to, lane: msg.Lane()})
	if l == nil {
		return false
	}
	select {
	case l.queue <- &queuedMessage{data: data, replaceable: msg.Heartbeat != nil, queuedAt: time.Now()}:
		m.counts.queuedBytes[msg.Kind()].Add(int64(len(data)))
		return true
	default:
		m.counts.queueFull.Add(1)
		return false
	}
}

// laneLocked returns the lane for key. It creates the lane and starts its sender
// if necessary, and returns nil after Close. The caller must hold m.mu.
func (m *Manager) laneLocked(key laneKey) *lane {
	if m.closed {
		return nil
	}
	l := m.lanes[key]
	if l == nil {
		l = &lane{manager: m, key: key, queue: make(chan *queuedMessage, m.config.QueueCapacity)}
		m.lanes[key] = l
		m.tasks.Go(l.run)
	}
	return l
}

// removeIfIdle removes lane l, unless a message was queued or a connection
// attached since the caller found the lane idle. It reports whether l was
// removed.
func (m *Manager) removeIfIdle(l *lane) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(l.queue) > 0 || l.currentConnection() != nil {
		return false
	}
	delete(m.lanes, l.key)
	return true
}

// startTask runs task in a goroutine that Close waits for. It returns false if
// the manager is closed.
func (m *Manager) startTask(task func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.tasks.Go(task)
	return true
}

// ConnectionCount returns the number of open connections.
func (m *Manager) ConnectionCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	open := 0
	for _, l := range m.lanes {
		if l.currentConnection() != nil {
			open++
		}
	}
	return open
}

// accept handles the WebSocket handshake of a peer, whose certificate the TLS
// handshake has verified.
func (m *Manager) accept(w http.ResponseWriter, r *http.Request) {
	var lane peerwire.Lane
	switch r.URL.Path {
	case pathPrefix + "control":
		lane = peerwire.Control
	case pathPrefix + "data":
		lane = peerwire.Data
	default:
		http.NotFound(w, r)
		return
	}
	peer := instanceID(r.TLS.PeerCertificates[0])
	if peer == "" || peer == m.config.Self {
		http.Error(w, "the certificate names no other instance", http.StatusForbidden)
		return
	}
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		m.config.Log.Warn("link-accept-failed", "peer", peer, "error", err)
		return
	}
	m.mu.Lock()
	l := m.laneLocked(laneKey{peer: peer, lane: lane})
	m.mu.Unlock()
	if l == nil {
		_ = ws.CloseNow()
		return
	}
	m.counts.accepted.Add(1)
	l.attach(ws, false)
}

// Close closes all links. Messages that are still queued are lost.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	_ = m.server.Close()
	m.mu.Lock()
	lanes := make([]*lane, 0, len(m.lanes))
	for _, l := range m.lanes {
		lanes = append(lanes, l)
	}
	m.mu.Unlock()
	for _, l := range lanes {
		l.closeConnection(l.currentConnection())
	}
	m.tasks.Wait()
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }
