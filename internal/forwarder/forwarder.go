// Package forwarder runs the pass-through core: it reads the datagrams of callers,
// executes the decisions of the core, passes updates of the configuration and the
// targets to it, and answers the readiness probe of the network fabric.
package forwarder

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/chart"
	"arbutusdock.example/arbutusdock/internal/fanout"
	"arbutusdock.example/arbutusdock/internal/follow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/passthrough"
	"arbutusdock.example/arbutusdock/internal/reload"
	"arbutusdock.example/arbutusdock/internal/ring"
	"arbutusdock.example/arbutusdock/internal/settings"
	"arbutusdock.example/arbutusdock/internal/telemetry"
)

const (
	// socketBufferBytes is the socket buffer size requested in each direction. It
	// holds the datagrams that arrive while the process waits for CPU time.
	socketBufferBytes = 4 << 20
	// commandRingSize is the capacity of the ring of updates and queries for the core.
	commandRingSize = 64
	// logRingLines is the number of log lines buffered for standard output.
	logRingLines = 1024
	// flowMemoryShare is the fraction of the memory limit that the flow table may use.
	flowMemoryShare = 0.25
	// defaultFlows is the capacity of the flow table without a memory limit.
	defaultFlows = 1 << 18
	// minFlows is the minimum capacity of the flow table.
	minFlows = 1 << 10
	// minStopDuration is the minimum time from SIGTERM to the exit: the fabric probes
	// twice a second and removes an instance after two failed probes.
	minStopDuration = 1600 * time.Millisecond
	// quietPeriod is the time without packets after which a planned stop ends before
	// the grace period is over.
	quietPeriod = 700 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the exit of the process.
	exitMargin = 500 * time.Millisecond
)

// Forwarder is one pass-through instance.
type Forwarder struct {
	settings         *settings.Passthrough
	log              *slog.Logger
	logWriter        *telemetry.AsyncWriter
	conn             *net.UDPConn
	core             *passthrough.Core
	commands         *ring.Ring[func()] // run by the forwarding goroutine
	state            *fanout.State
	checker          *checker
	fanoutSource     *fanout.Source     // nil without an interface between instances
	stopAnnouncing   context.CancelFunc // ends the announcements to the seeds
	clock            clock
	metrics          *metrics
	tracer           *telemetry.Tracer
	placementLimiter lineLimiter // limits log lines about ordinary placements
	exceptionLimiter lineLimiter // limits log lines about all other decisions

	updatedAt         ids.Time      // when the state was last confirmed to be up to date; used by the forwarding goroutine
	formerAge         time.Duration // age of the state before the last update; used by the forwarding goroutine
	isolated          atomic.Bool   // no new flow reaches a target
	isolationBegan    chan struct{} // signalled when isolated is set
	limitsColdTargets atomic.Bool   // the configuration limits the requests of cold targets
	reload            *reload.Watcher
	lifecycle         atomic.Uint32 // a chart.State of chart.Instance
	lastPacket        atomic.Int64  // time of the last packet, an ids.Time
	received          atomic.Uint64 // number of datagrams received
	stop              chan struct{} // closed by Stop
	stopOnce          sync.Once
}

// clock is a monotonic clock, independent of changes of the wall clock.
type clock struct{ start time.Time }

func (c clock) now() ids.Time { return c.at(time.Now()) }

// at returns the time of the clock at t. It is below 1 for times before its start.
func (c clock) at(t time.Time) ids.Time { return ids.Time(t.Sub(c.start)) + 1 }

// Reload triggers a reload of the settings file and returns immediately.
func (f *Forwarder) Reload() { f.reload.Reload() }

// New returns an instance for pass-through flows and opens its UDP socket. The log is
// written to stdout, and spans to the exporter named in the settings.
func New(all settings.Settings, stdout, stderr io.Writer) (*Forwarder, error) {
	s := all.Passthrough
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.Listen))
	if err != nil {
		return nil, eris.Wrapf(err, "listen for datagrams on %s", s.Listen)
	}
	logWriter := telemetry.NewAsyncWriter(stdout, logRingLines)
	spans := map[string]io.Writer{"stdout": logWriter, "stderr": stderr}[s.Trace.Exporter]
	tracer, err := telemetry.NewTracer(spans, s.Trace.SampleRatio, s.Instance)
	if err != nil {
		_ = conn.Close() // error ignored: the socket was not in use yet
		return nil, err
	}
	level := new(slog.LevelVar)
	level.Set(s.Log.Level)
	f := &Forwarder{
		settings:         s,
		tracer:           tracer,
		log:              telemetry.NewLogger(logWriter, level, s.Instance),
		logWriter:        logWriter,
		conn:             conn,
		commands:         ring.New[func()](commandRingSize),
		state:            fanout.NewState(),
		clock:            clock{time.Now()},
		placementLimiter: lineLimiter{rate: placementLines},
		exceptionLimiter: lineLimiter{rate: exceptionLines},
		stopAnnouncing:   func() {},
		stop:             make(chan struct{}),
		isolationBegan:   make(chan struct{}, 1),
	}
	f.reload = reload.New(all, level, f.log)
	// A kernel that grants a smaller buffer is not an error.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	f.metrics = newMetrics(f)
	f.core = passthrough.New(passthrough.Settings{
		DataCentre:        s.DataCentre,
		Regions:           s.Regions,
		MaxFlows:          maxFlows(s.MemoryBytes),
		FlowLifetime:      s.FlowLifetime,
		HeartbeatInterval: s.HeartbeatInterval,
		ColdExcess:        s.ColdExcess,
		ColdSlack:         s.ColdSlack,
		ExtraOpenings:     s.ExtraOpenings,
		Seed:              ids.Hash(string(s.Instance)) ^ uint64(time.Now().UnixNano()),
	})
	return f, nil
}

func maxFlows(memoryBytes int64) int {
	if memoryBytes == 0 {
		return defaultFlows
	}
	return max(int(float64(memoryBytes)*flowMemoryShare/passthrough.FlowBytes), minFlows)
}

// Run forwards packets until the planned stop begun by Stop is complete, or until ctx
// ends.
func (f *Forwarder) Run(ctx context.Context) error {
	defer f.logWriter.Close()
	defer f.closeTracer()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	probe, err := f.serveReady()
	if err != nil {
		_ = f.conn.Close() // error ignored: the socket was not in use yet
		return err
	}
	defer func() { _ = probe.Close() }() // error ignored: the process is exiting
	f.log.Info("started", "data_centre", f.settings.DataCentre, "listen", f.settings.Listen, "platform", f.settings.Platform)
	f.checker = newChecker(ctx)
	source, err := f.startSource(ctx)
	if err != nil {
		_ = f.conn.Close() // error ignored: the socket was not in use yet
		return err
	}
	if err := f.serveMetrics(ctx); err != nil {
		_ = f.conn.Close() // error ignored: the socket was not in use yet
		return err
	}
	follower := follow.New(source, follow.TimingFor(f.settings.UpdateWithin()), f.deliver(ctx), f.log)
	go follower.Run(ctx)
	go f.awaitStop(ctx)
	go f.reload.Run(ctx)
	go f.limitHeap(ctx)
	go f.tickWhileIsolated(ctx)
	err = f.forward(ctx)
	f.log.Info("stopped", "packets", f.received.Load(), "log_lines_dropped", f.logWriter.Stats().Dropped)
	return err
}

// closeTracer closes the tracer, which flushes the buffered spans.
func (f *Forwarder) closeTracer() {
	ctx, cancel := context.WithTimeout(context.Background(), exitMargin/2)
	defer cancel()
	if err := f.tracer.Close(ctx); err != nil {
		f.log.Warn("spans-lost", "error", err)
	}
}

// deliver returns a function that records an update in the state served to other
// instances and passes it to the forwarding goroutine.
func (f *Forwarder) deliver(ctx context.Context) func(follow.Update) {
	return func(u follow.Update) {
		f.state.Apply(&u)
		if u.Restored {
			f.metrics.restores.Inc()
		}
		f.submit(ctx, func() { f.apply(&u) })
	}
}

// submit queues a command for the forwarding goroutine. It waits for space in the ring
// and reports false if ctx ends first.
func (f *Forwarder) submit(ctx context.Context, command func()) bool {
	for !f.commands.Push(command) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Millisecond):
		}
	}
	// An expired deadline wakes the goroutine. Setting it fails only after the socket
	// is closed.
	_ = f.conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// Stop begins the planned stop. Further calls have no effect.
func (f *Forwarder) Stop() { f.stopOnce.Do(func() { close(f.stop) }) }

// awaitStop waits for Stop. It then takes the instance out of rotation, allows the
// packets that still arrive to be forwarded, and closes the socket.
func (f *Forwarder) awaitStop(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.stop:
		f.fire(chart.InstanceStop)
		f.stopAnnouncing()
		f.log.Info("stopping", "grace", f.settings.GracePeriod)
		start := f.clock.now()
		for {
			now := f.clock.now()
			quiet := now.Sub(ids.Time(f.lastPacket.Load())) >= quietPeriod
			if now.Sub(start) >= f.settings.GracePeriod-exitMargin || (quiet && now.Sub(start) >= minStopDuration) {
				break
			}
			time.Sleep(quietPeriod / 10)
		}
		f.fire(chart.InstanceLeave)
	}
	_ = f.conn.Close() // ends the forwarding goroutine
}

// fire applies an event to the lifecycle state of the instance.
func (f *Forwarder) fire(e chart.Event) {
	for {
		old := f.lifecycle.Load()
		to, _, ok := chart.Instance.Next(chart.State(old), e)
		if !ok {
			return
		}
		if f.lifecycle.CompareAndSwap(old, uint32(to)) {
			f.log.Info("lifecycle", "from", chart.Instance.StateName(chart.State(old)), "to", chart.Instance.StateName(to))
			return
		}
	}
}

// serving reports whether the instance should be in rotation.
func (f *Forwarder) serving() bool {
	return !f.isolated.Load() && chart.State(f.lifecycle.Load()) == chart.InstanceServing
}

// sourceName returns the name of the source from which updates are read.
func (f *Forwarder) sourceName() string {
	if f.fanoutSource == nil {
		return "platform"
	}
	return f.fanoutSource.Current()
}
