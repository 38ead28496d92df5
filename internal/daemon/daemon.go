// Package daemon runs one instance: it connects the decision logic of
// internal/core to the sockets, the peer links, the platform and the admin
// interface. One goroutine owns the core. Every other goroutine has a single
// task and communicates with the core goroutine over bounded queues.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/admission"
	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/documents"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/keys"
	"arbutusdock.example/arbutusdock/internal/link"
	"arbutusdock.example/arbutusdock/internal/member"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/reload"
	"arbutusdock.example/arbutusdock/internal/ring"
	"arbutusdock.example/arbutusdock/internal/settings"
	"arbutusdock.example/arbutusdock/internal/telemetry"
)

const (
	logQueueSize  = 4096 // log lines, or exported traces, that may wait for a slow output stream
	spanQueueSize = 4096
	// closeTimeout limits the time for exporting the remaining spans at shutdown.
	closeTimeout = 2 * time.Second
)

// ErrKeyFiles is wrapped by the error of New when a key or certificate file is
// missing or invalid.
var ErrKeyFiles = errors.New("invalid key or certificate file")

// Daemon runs one instance.
type Daemon struct {
	settings    settings.Settings
	self        core.Self
	core        *core.Core
	log         *slog.Logger
	logWriter   *telemetry.AsyncWriter
	traceWriter *telemetry.AsyncWriter // nil when no exporter is configured
	tracer      *telemetry.Tracer
	metrics     *telemetry.Registry
	reloader    *reload.Watcher
	clock       clock

	links         *link.Manager
	peerListener  net.Listener
	adminListener net.Listener
	addresses     *addressBook
	listeners     *serviceListeners
	backendSocket *socket
	backendWriter *writer
	checker       *healthChecker
	watcher       *platformWatcher

	callerPackets   *ring.Ring[*packet]
	backendPackets  *ring.Ring[*packet]
	dataMessages    *ring.Ring[*peerwire.Message] // received on the data lane
	controlMessages *ring.Ring[*peerwire.Message] // received on the control lane; a separate queue, so that many relays cannot displace them
	controlEvents   *ring.Ring[controlEvent]
	spans           *ring.Ring[telemetry.Hop]
	coreCalls       chan func()
	stop            chan struct{}
	stopOnce        sync.Once

	loop   coreLoop
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// controlEvent is an event for the core that does not arrive as a datagram or
// peer message. Exactly one field is set.
type controlEvent struct {
	config    *core.ConfigEvent
	instances *core.InstancesEvent
	health    *core.HealthEvent
}

// New reads the key material and binds the peer and admin listeners and the
// socket to backend servers. Log lines are written to stderr, and traces to the
// stream that the settings select.
func New(s settings.Settings, stdout, stderr io.Writer) (*Daemon, error) {
	keyring, err := loadKeyring(s.Admission)
	if err != nil {
		return nil, errors.Join(ErrKeyFiles, err)
	}
	credentials, err := link.LoadCredentials(s.Instance, s.TLS.CA, s.TLS.Certificate, s.TLS.Key)
	if err != nil {
		return nil, errors.Join(ErrKeyFiles, err)
	}
	seed, err := chooseRandomSeed(s.RandomSeed)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, clock: newClock(), metrics: telemetry.NewRegistry()}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.logWriter = telemetry.NewAsyncWriter(stderr, logQueueSize)
	level := new(slog.LevelVar)
	level.Set(s.Log.Level)
	d.log = telemetry.NewLogger(d.logWriter, level, s.Instance)
	d.reloader = reload.New(s, level, d.log)
	d.self = core.Self{
		ID:          s.Instance,
		Incarnation: ids.Incarnation(d.clock.now()),
		DataCentre:  s.DataCentre,
		Linger:      s.Linger,
		Admissions:  admission.Limits{Entries: s.Admission.MaxEntries, Bytes: s.Admission.MaxBytes},
	}
	if err := d.openTracer(stdout, stderr); err != nil {
		return nil, err
	}
	if err := d.bind(); err != nil {
		d.close()
		return nil, err
	}
	d.core = core.New(d.self, keyring, seed)
	d.createComponents(credentials)
	return d, nil
}

func loadKeyring(a settings.Admission) (*admission.Keyring, error) {
	keysByID := make(map[uint8][]byte, len(a.Keys))
	for _, k := range a.Keys {
		key, err := keys.LoadAdmissionKey(k.File)
		if err != nil {
			return nil, err
		}
		keysByID[k.ID] = key
	}
	return admission.NewKeyring(a.SigningKey, keysByID)
}

func chooseRandomSeed(configured *uint64) (uint64, error) {
	if configured != nil {
		return *configured, nil
	}
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, eris.Wrap(err, "generate random seed")
	}
	return binary.BigEndian.Uint64(random[:]), nil
}

func (d *Daemon) openTracer(stdout, stderr io.Writer) error {
	var output io.Writer
	if target := map[string]io.Writer{"stdout": stdout, "stderr": stderr}[d.settings.Trace.Exporter]; target != nil {
		d.traceWriter = telemetry.NewAsyncWriter(target, logQueueSize)
		output = d.traceWriter
	}
	tracer, err := telemetry.NewTracer(output, d.settings.Trace.SampleRatio, d.self.ID)
	d.tracer = tracer
	return err
}

// bind opens the sockets that stay open for the lifetime of the process, and
// creates the queues.
func (d *Daemon) bind() error {
	s := &d.settings
	var err error
	if d.peerListener, err = net.Listen("tcp", s.PeerListen.String()); err != nil {
		return eris.Wrap(err, "open peer link listener")
	}
	if d.adminListener, err = net.Listen("tcp", s.AdminListen.String()); err != nil {
		return eris.Wrap(err, "open admin listener")
	}
	d.self.PeerAddr = s.PeerAdvertise.String()
	if s.PeerAdvertise.Port() == 0 { // tests let the system assign the port
		port := d.peerListener.Addr().(*net.TCPAddr).AddrPort().Port()
		d.self.PeerAddr = net.JoinHostPort(s.PeerAdvertise.Addr().String(), formatPort(port))
	}
	for _, seed := range s.Seeds {
		d.self.Seeds = append(d.self.Seeds, member.Seed{ID: seed.ID, DataCentre: seed.DataCentre, PeerAddr: seed.Address.String()})
	}
	capacities := s.Rings
	d.callerPackets = ring.New[*packet](capacities.Caller)
	d.backendPackets = ring.New[*packet](capacities.Backend)
	d.dataMessages = ring.New[*peerwire.Message](capacities.Peer)
	d.controlMessages = ring.New[*peerwire.Message](capacities.Control)
	d.controlEvents = ring.New[controlEvent](capacities.Control)
	d.spans = ring.New[telemetry.Hop](spanQueueSize)
	d.coreCalls = make(chan func())
	d.stop = make(chan struct{})
	d.backendWriter = newWriter(capacities.Write)
	d.backendSocket, err = openSocket(backendBindAddress(s.BackendIP), nil, d.backendPackets, d.backendWriter, newSocketCounts(d.metrics, "backend"))
	return err
}

// createComponents creates the components that exchange events with the core
// goroutine, and registers the metrics of the queues.
func (d *Daemon) createComponents(credentials link.Credentials) {
	s := &d.settings
	d.addresses = newAddressBook(s.Seeds)
	d.links = link.New(link.Config{
		Self: s.Instance, LocalAddr: s.PeerListen.Addr(), Credentials: credentials, ControlBytesPerSecond: s.Link.ControlBytesPerSecond, StartupBytes: s.Link.StartupBurstBytes, QueueCapacity: s.Link.QueueLength,
		DataIdleTimeout: s.Link.DataIdleTimeout, Log: d.log, Metrics: d.metrics,
		LookupAddress: d.addresses.lookup,
		Receive: func(m *peerwire.Message) {
			if m.Lane() == peerwire.Data {
				d.dataMessages.Push(m)
				return
			}
			d.addresses.updateFromMessage(m)
			d.controlMessages.Push(m)
		},
	})
	d.listeners = newServiceListeners(s.ServiceIP, d.callerPackets, s.Rings.Write, d.log, d.metrics)
	d.checker = newHealthChecker(d.ctx, s.HealthWorkers, s.HealthTimeout, func(h core.HealthEvent) {
		d.pushControlEvent(controlEvent{health: &h})
	})
	d.watcher = &platformWatcher{
		client:    documents.New(s.PlatformURL, nil),
		requests:  ring.New[readRequest](4),
		pushEvent: d.pushControlEvent,
		log:       d.log,
	}
	d.loop.init(d)
	for name, stats := range map[string]func() ring.Stats{
		"caller": d.callerPackets.Stats, "backend": d.backendPackets.Stats, "peer": d.dataMessages.Stats, "signal": d.controlMessages.Stats, "control": d.controlEvents.Stats,
		"span": d.spans.Stats, "log": d.logWriter.Stats, "write_backend": d.backendWriter.queue.Stats,
	} {
		d.metrics.RegisterRing(name, stats)
	}
}

// pushControlEvent queues a control event for the core. It waits while the
// queue is full: these events are few, and losing the result of a platform read
// would delay the next read.
func (d *Daemon) pushControlEvent(event controlEvent) {
	for !d.controlEvents.Push(event) {
		select {
		case <-d.ctx.Done():
			return
		case <-time.After(tickInterval):
		}
	}
}

// Stop starts the graceful shutdown. Run returns when the shutdown is complete.
func (d *Daemon) Stop() { d.stopOnce.Do(func() { close(d.stop) }) }

// Reload requests that the settings file be read again. It returns at once.
func (d *Daemon) Reload() { d.reloader.Reload() }

// Run serves until the graceful shutdown is complete, and then returns nil. It
// returns an error when ctx ends, the peer or admin listener fails, or a later
// process with the same instance ID takes over.
func (d *Daemon) Run(ctx context.Context) error {
	d.log.Info("started", "incarnation", d.self.Incarnation, "data_centre", d.self.DataCentre,
		"peer", d.self.PeerAddr, "admin", d.adminListener.Addr())
	serveErrors := make(chan error, 2)
	server := &http.Server{Handler: d.adminHandler(), ReadHeaderTimeout: adminTimeout, IdleTimeout: time.Minute}
	go func() { serveErrors <- d.links.Serve(d.peerListener) }()
	go func() { serveErrors <- server.Serve(d.adminListener) }()
	d.tasks.Go(func() { d.watcher.watchDocuments(d.ctx) })
	d.tasks.Go(func() { d.watcher.pollInstances(d.ctx) })
	d.tasks.Go(d.recordSpans)
	d.tasks.Go(func() { d.reloader.Run(d.ctx) })
	loopDone := make(chan struct{})
	d.tasks.Go(func() { defer close(loopDone); d.loop.run(d.ctx) })

	var err error
	select {
	case <-loopDone:
		if !d.loop.stopping {
			err = eris.New("instance superseded by a later process with the same instance ID")
		}
	case <-ctx.Done():
		err = ctx.Err()
	case err = <-serveErrors:
		err = eris.Wrap(err, "serve peer links or admin requests")
	}
	if err != nil {
		d.log.Error("terminating", "error", err)
	} else {
		d.log.Info("stopped")
	}
	_ = server.Close()
	d.close()
	return err
}

// close stops all goroutines and closes all sockets.
func (d *Daemon) close() {
	d.cancel()
	d.tasks.Wait()
	if d.links != nil {
		d.links.Close()
		d.checker.pool.StopAndWait()
		d.listeners.close()
	}
	for _, l := range []net.Listener{d.peerListener, d.adminListener} {
		if l != nil {
			_ = l.Close()
		}
	}
	if d.backendSocket != nil {
		d.backendWriter.close()
		d.backendSocket.close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := d.tracer.Close(ctx); err != nil {
		d.log.Warn("trace-export-failed", "error", err)
	}
	if d.traceWriter != nil {
		d.traceWriter.Close()
	}
	d.logWriter.Close()
}

// recordSpans passes the spans that the core produces to the tracer.
func (d *Daemon) recordSpans() {
	for {
		select {
		case <-d.ctx.Done():
			for d.spans.Stats().Depth > 0 {
				d.tracer.Record(<-d.spans.Out())
			}
			return
		case span := <-d.spans.Out():
			d.tracer.Record(span)
		}
	}
}
