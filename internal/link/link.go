// Package link carries peer messages between instances over WebSocket with
// mutual TLS 1.3. A link to a peer has two lanes with a connection each: the
// control lane, whose bytes a second are limited, and the data lane, which is
// opened on demand and closed when idle. Sending never blocks: each lane has a
// bounded queue.
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
	// dialTimeout covers TCP, TLS and WebSocket handshakes, three round trips,
	// between regions and on a busy machine.
	dialTimeout  = 2 * time.Second
	writeTimeout = 1 * time.Second
	// A connection that was written to but has delivered nothing for this
	// long is probed with a ping, and closed when there is no pong within the
	// same time. This detects connections that have gone silent. The probe of
	// a control lane is rarer since it counts towards the budget.
	dataSilence    = 500 * time.Millisecond
	controlSilence = 1 * time.Second
	// simultaneous is the time between two dials of one lane, one from each
	// side, below which they count as simultaneous: a dial timeout.
	simultaneous = dialTimeout
	backoffMin   = 50 * time.Millisecond
	backoffMax   = 2 * time.Second
	// maxAge is the age above which a queued data message is dropped: the
	// caller has retransmitted by then (ACK_TIMEOUT is 2 s, RFC 7252).
	maxAge = 1 * time.Second
	// controlIdle is the time after which an unused control lane is closed.
	controlIdle = 2 * time.Minute

	path = "/v1/link/"
)

// Config of a Manager.
type Config struct {
	Self                  ids.Instance
	LocalAddr             netip.Addr // from which links are dialled; unspecified: any
	Credentials           Credentials
	ControlBytesPerSecond int           // control bytes a second
	StartupBytes          int           // control bytes beyond the budget after the start
	QueueCapacity         int           // messages for one peer and lane
	DataIdle              time.Duration // an unused data lane is closed after this
	Log                   *slog.Logger
	Metrics               *telemetry.Registry
	// Address returns where a peer listens, false when unknown.
	LookupAddress func(ids.Instance) (string, bool)
	// Receive takes a message from a peer. It is called from several
	// goroutines and must not block.
	Receive func(*peerwire.Message)
}

// Manager holds the links of one instance.
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
	queueFull, stale, overBudget, malformed, impersonate *expvar.Int
	dials, dialFailures, accepted, silent                *expvar.Int

	queuedBytes map[string]*expvar.Int // by kind of message
}

func newCounters(r *telemetry.Registry) counters {
	var c counters
	for lane, name := range []string{"control", "data"} {
		c.sent[lane] = r.Counter("link_" + name + "_sent_messages_total")
		c.received[lane] = r.Counter("link_" + name + "_received_messages_total")
		c.sentBytes[lane] = r.Counter("link_" + name + "_sent_bytes_total")
		c.receivedBytes[lane] = r.Counter("link_" + name + "_received_bytes_total")
	}
	c.queuedBytes = make(map[string]*expvar.Int, len(peerwire.Kinds))
	for _, kind := range peerwire.Kinds {
		c.queuedBytes[kind] = r.Counter("link_queued_" + kind + "_bytes_total")
	}
	c.queueFull = r.Counter("link_queue_full_dropped_total")
	c.stale = r.Counter("link_stale_dropped_total")
	c.overBudget = r.Counter("link_control_budget_dropped_total")
	c.malformed = r.Counter("link_malformed_dropped_total")
	c.impersonate = r.Counter("link_wrong_sender_dropped_total")
	c.dials = r.Counter("link_dials_total")
	c.dialFailures = r.Counter("link_dial_failures_total")
	c.accepted = r.Counter("link_accepted_total")
	c.silent = r.Counter("link_silent_closed_total")
	return c
}

// New returns a manager that sends; Serve makes it accept links as well.
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
		TLSConfig:         config.Credentials.server(),
		ReadHeaderTimeout: dialTimeout,
		MaxHeaderBytes:    8 << 10,
		ErrorLog:          slog.NewLogLogger(config.Log.Handler(), slog.LevelDebug),
	}
	config.Metrics.Gauge("link_control_budget_bytes_per_second", func() any { return config.ControlBytesPerSecond })
	config.Metrics.Gauge("link_control_budget_owed_bytes", func() any { return m.budget.Owed() })
	config.Metrics.Gauge("link_open_connections", func() any { return m.Open() })
	return m
}

// Serve accepts links on l until Close.
func (m *Manager) Serve(l net.Listener) error {
	err := m.server.ServeTLS(l, "", "")
	if m.ctx.Err() != nil {
		return nil
	}
	return eris.Wrapf(err, "serve links on %s", l.Addr())
}

// Send queues msg for a peer and reports whether it was accepted. It encodes
// msg before it returns, so that the caller may reuse the message.
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
	case l.queue <- &outgoing{data: data, replaceable: msg.Heartbeat != nil, at: time.Now()}:
		m.counts.queuedBytes[msg.Kind()].Add(int64(len(data)))
		return true
	default:
		m.counts.queueFull.Add(1)
		return false
	}
}

// laneLocked returns the lane for key and starts its sender if it is new.
func (m *Manager) laneLocked(key laneKey) *lane {
	if m.closed {
		return nil
	}
	l := m.lanes[key]
	if l == nil {
		l = &lane{m: m, key: key, queue: make(chan *outgoing, m.config.QueueCapacity)}
		m.lanes[key] = l
		m.tasks.Go(l.run)
	}
	return l
}

// retire removes an idle lane unless a message or connection has arrived.
func (m *Manager) retire(l *lane) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(l.queue) > 0 || l.current() != nil {
		return false
	}
	delete(m.lanes, l.key)
	return true
}

// spawn runs f in a goroutine that Close waits for, unless it is closed.
func (m *Manager) spawn(f func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.tasks.Go(f)
	return true
}

// Open returns the number of open connections.
func (m *Manager) Open() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	open := 0
	for _, l := range m.lanes {
		if l.current() != nil {
			open++
		}
	}
	return open
}

// accept serves the handshake of a peer. TLS has verified its certificate.
func (m *Manager) accept(w http.ResponseWriter, r *http.Request) {
	var kind peerwire.Lane
	switch r.URL.Path {
	case path + "control":
		kind = peerwire.Control
	case path + "data":
		kind = peerwire.Data
	default:
		http.NotFound(w, r)
		return
	}
	peer := certificateName(r.TLS.PeerCertificates[0])
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
	l := m.laneLocked(laneKey{peer: peer, lane: kind})
	m.mu.Unlock()
	if l == nil {
		_ = ws.CloseNow()
		return
	}
	m.counts.accepted.Add(1)
	l.attach(ws, false)
}

// Close ends all links without waiting for queued messages.
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
		l.drop(l.current())
	}
	m.tasks.Wait()
}

// jitter returns a duration between half of d and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }
