// Package daemon runs one instance: it joins the decision logic of
// internal/core to sockets, links, the platform and the admin interface. One
// goroutine owns the core; every other goroutine has one task and exchanges
// entries with it over bounded rings.
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
	logLines  = 4096 // log lines and trace exports that wait for a slow stream
	spanQueue = 4096
	// closeTimeout bounds the export of the last spans.
	closeTimeout = 2 * time.Second
)

// ErrKeyFiles is part of the error of New when a key or certificate file is at
// fault.
var ErrKeyFiles = errors.New("key files")

// Daemon is one instance.
type Daemon struct {
	settings settings.Settings
	self     core.Self
	core     *core.Core
	log      *slog.Logger
	logs     *telemetry.AsyncWriter
	traces   *telemetry.AsyncWriter // nil without an exporter
	tracer   *telemetry.Tracer
	metrics  *telemetry.Registry
	reload   *reload.Watcher
	clock    clock

	links      *link.Manager
	peers      net.Listener
	admin      net.Listener
	addresses  *addresses
	listeners  *listeners
	backend    *socket
	toBackends *writer
	checker    *checker
	watcher    *watcher

	callers  *ring.Ring[*packet]
	backends *ring.Ring[*packet]
	messages *ring.Ring[*peerwire.Message] // data lane
	signals  *ring.Ring[*peerwire.Message] // control lane, which a flood of relays must not push out
	control  *ring.Ring[event]
	spans    *ring.Ring[telemetry.Hop]
	queries  chan func()
	stop     chan struct{}
	stopOnce sync.Once

	loop  loop
	ctx   context.Context
	abort context.CancelFunc
	tasks sync.WaitGroup
}

// event is an entry of the control ring; exactly one field is set.
type event struct {
	config    *core.ConfigEvent
	instances *core.InstancesEvent
	health    *core.HealthEvent
}

// New binds the fixed listeners and reads the key material. Log lines go to
// stderr; traces go where the settings say.
func New(s settings.Settings, stdout, stderr io.Writer) (*Daemon, error) {
	keyring, err := loadKeyring(s.Admission)
	if err != nil {
		return nil, errors.Join(ErrKeyFiles, err)
	}
	credentials, err := link.LoadCredentials(s.Instance, s.TLS.CA, s.TLS.Certificate, s.TLS.Key)
	if err != nil {
		return nil, errors.Join(ErrKeyFiles, err)
	}
	seed, err := randomSeed(s.RandomSeed)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, clock: newClock(), metrics: telemetry.NewRegistry()}
	d.ctx, d.abort = context.WithCancel(context.Background())
	d.logs = telemetry.NewAsyncWriter(stderr, logLines)
	level := new(slog.LevelVar)
	level.Set(s.Log.Level)
	d.log = telemetry.NewLogger(d.logs, level, s.Instance)
	d.reload = reload.New(s, level, d.log)
	d.self = core.Self{
		ID:          s.Instance,
		Incarnation: ids.Incarnation(d.clock.now()),
		DataCentre:  s.DataCentre,
		Linger:      s.Linger,
		Admissions:  admission.Limits{Entries: s.Admission.MaxEntries, Bytes: s.Admission.MaxBytes},
	}
	if err := d.openTrace(stdout, stderr); err != nil {
		return nil, err
	}
	if err := d.bind(); err != nil {
		d.close()
		return nil, err
	}
	d.core = core.New(d.self, keyring, seed)
	d.join(credentials)
	return d, nil
}

func loadKeyring(a settings.Admission) (*admission.Keyring, error) {
	material := make(map[uint8][]byte, len(a.Keys))
	for _, k := range a.Keys {
		key, err := keys.LoadAdmissionKey(k.File)
		if err != nil {
			return nil, err
		}
		material[k.ID] = key
	}
	return admission.NewKeyring(a.SigningKey, material)
}

func randomSeed(fixed *uint64) (uint64, error) {
	if fixed != nil {
		return *fixed, nil
	}
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, eris.Wrap(err, "draw random seed")
	}
	return binary.BigEndian.Uint64(b[:]), nil
}

func (d *Daemon) openTrace(stdout, stderr io.Writer) error {
	var to io.Writer
	if target := map[string]io.Writer{"stdout": stdout, "stderr": stderr}[d.settings.Trace.Exporter]; target != nil {
		d.traces = telemetry.NewAsyncWriter(target, logLines)
		to = d.traces
	}
	tracer, err := telemetry.NewTracer(to, d.settings.Trace.SampleRatio, d.self.ID)
	d.tracer = tracer
	return err
}

// bind opens the listeners that exist from start to end.
func (d *Daemon) bind() error {
	s := &d.settings
	var err error
	if d.peers, err = net.Listen("tcp", s.PeerListen.String()); err != nil {
		return eris.Wrap(err, "open link listener")
	}
	if d.admin, err = net.Listen("tcp", s.AdminListen.String()); err != nil {
		return eris.Wrap(err, "open admin listener")
	}
	d.self.PeerAddr = s.PeerAdvertise.String()
	if s.PeerAdvertise.Port() == 0 { // tests let the system choose the port
		port := d.peers.Addr().(*net.TCPAddr).AddrPort().Port()
		d.self.PeerAddr = net.JoinHostPort(s.PeerAdvertise.Addr().String(), portText(port))
	}
	for _, seed := range s.Seeds {
		d.self.Seeds = append(d.self.Seeds, member.Seed{ID: seed.ID, DataCentre: seed.DataCentre, PeerAddr: seed.Address.String()})
	}
	r := s.Rings
	d.callers = ring.New[*packet](r.Caller)
	d.backends = ring.New[*packet](r.Backend)
	d.messages = ring.New[*peerwire.Message](r.Peer)
	d.signals = ring.New[*peerwire.Message](r.Control)
	d.control = ring.New[event](r.Control)
	d.spans = ring.New[telemetry.Hop](spanQueue)
	d.queries = make(chan func())
	d.stop = make(chan struct{})
	d.toBackends = newWriter(r.Write)
	d.backend, err = openSocket(backendAddress(s.BackendIP), nil, d.backends, d.toBackends, newSocketCounts(d.metrics, "backend"))
	return err
}

// join creates what exchanges entries with the core goroutine.
func (d *Daemon) join(credentials link.Credentials) {
	s := &d.settings
	d.addresses = newAddresses(s.Seeds)
	d.links = link.New(link.Config{
		Self: s.Instance, Source: s.PeerListen.Addr(), Credentials: credentials, Budget: s.Link.ControlBytesPerSecond, Start: s.Link.StartupBurstBytes, Queue: s.Link.QueueLength,
		DataIdle: s.Link.DataIdleTimeout, Log: d.log, Metrics: d.metrics,
		Address: d.addresses.lookup,
		Receive: func(m *peerwire.Message) {
			if m.Lane() == peerwire.Data {
				d.messages.Push(m)
				return
			}
			d.addresses.learn(m)
			d.signals.Push(m)
		},
	})
	d.listeners = newListeners(s.ServiceIP, d.callers, s.Rings.Write, d.log, d.metrics)
	d.checker = newChecker(d.ctx, s.HealthWorkers, s.HealthTimeout, func(h core.HealthEvent) {
		d.emit(event{health: &h})
	})
	d.watcher = &watcher{
		client:   documents.New(s.PlatformURL, nil),
		requests: ring.New[watchRequest](4),
		emit:     d.emit,
		log:      d.log,
	}
	d.loop.init(d)
	for name, stats := range map[string]func() ring.Stats{
		"caller": d.callers.Stats, "backend": d.backends.Stats, "peer": d.messages.Stats, "signal": d.signals.Stats, "control": d.control.Stats,
		"span": d.spans.Stats, "log": d.logs.Stats, "write_backend": d.toBackends.ring.Stats,
	} {
		d.metrics.RegisterRing(name, stats)
	}
}

// emit passes a control event to the core. It waits for room: these events are
// few, and losing the result of a read would delay the next one.
func (d *Daemon) emit(e event) {
	for !d.control.Push(e) {
		select {
		case <-d.ctx.Done():
			return
		case <-time.After(tickEvery):
		}
	}
}

// Stop starts the graceful shutdown. Run returns when it is complete.
func (d *Daemon) Stop() { d.stopOnce.Do(func() { close(d.stop) }) }

// Reload asks for the settings file to be read again. It does not wait.
func (d *Daemon) Reload() { d.reload.Reload() }

// Run serves until the graceful shutdown is complete (nil), ctx ends (its
// error), a fixed listener fails, or a later process with the same instance id
// takes over.
func (d *Daemon) Run(ctx context.Context) error {
	d.log.Info("started", "incarnation", d.self.Incarnation, "data_centre", d.self.DataCentre,
		"peer", d.self.PeerAddr, "admin", d.admin.Addr())
	failed := make(chan error, 2)
	server := &http.Server{Handler: d.adminHandler(), ReadHeaderTimeout: adminTimeout, IdleTimeout: time.Minute}
	go func() { failed <- d.links.Serve(d.peers) }()
	go func() { failed <- server.Serve(d.admin) }()
	d.tasks.Go(func() { d.watcher.documents(d.ctx) })
	d.tasks.Go(func() { d.watcher.instances(d.ctx) })
	d.tasks.Go(d.recordSpans)
	d.tasks.Go(func() { d.reload.Run(d.ctx) })
	done := make(chan struct{})
	d.tasks.Go(func() { defer close(done); d.loop.run(d.ctx) })

	var err error
	select {
	case <-done:
		if !d.loop.stopping {
			err = eris.New("the instance was superseded by a later process with its id")
		}
	case <-ctx.Done():
		err = ctx.Err()
	case err = <-failed:
		err = eris.Wrap(err, "serve")
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

// close ends every goroutine and releases every socket.
func (d *Daemon) close() {
	d.abort()
	d.tasks.Wait()
	if d.links != nil {
		d.links.Close()
		d.checker.pool.StopAndWait()
		d.listeners.close()
	}
	for _, l := range []net.Listener{d.peers, d.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
	if d.backend != nil {
		d.toBackends.close()
		d.backend.close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := d.tracer.Close(ctx); err != nil {
		d.log.Warn("trace-export-failed", "error", err)
	}
	if d.traces != nil {
		d.traces.Close()
	}
	d.logs.Close()
}

// recordSpans exports the spans of the core.
func (d *Daemon) recordSpans() {
	for {
		select {
		case <-d.ctx.Done():
			for d.spans.Stats().Depth > 0 {
				d.tracer.Record(<-d.spans.Out())
			}
			return
		case h := <-d.spans.Out():
			d.tracer.Record(h)
		}
	}
}
