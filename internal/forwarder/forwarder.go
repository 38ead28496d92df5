// Package forwarder runs the pass-through core: it reads the datagrams of
// callers, carries out the decisions of the core, feeds it with what is
// published and answers the readiness probe of the fabric.
package forwarder

import (
	"context"
	"io"
	"log/slog"
	"net"
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
	// socketBuffer is asked for in each direction. It holds the datagrams that
	// arrive while the process waits for its share of the processor.
	socketBuffer = 4 << 20
	// commandRing is the number of updates and queries that wait for the core.
	commandRing = 64
	// logLines is the number of lines that wait for standard output.
	logLines = 1024
	// flowShare is the part of the memory limit that remembered flows may take.
	flowShare = 0.25
	// defaultFlows is the number of flows remembered without a memory limit.
	defaultFlows = 1 << 18
	// minFlows is the least number of flows remembered.
	minFlows = 1 << 10
	// leaveAfter is the least time from SIGTERM to the end: the fabric probes
	// twice a second and takes an instance out after two misses.
	leaveAfter = 1600 * time.Millisecond
	// quietTime without packets ends a planned stop before the grace is over.
	quietTime = 700 * time.Millisecond
	// exitMargin is kept of the grace, for the end of the process.
	exitMargin = 500 * time.Millisecond
)

// Forwarder is one pass-through instance.
type Forwarder struct {
	settings   *settings.Passthrough
	log        *slog.Logger
	out        *telemetry.AsyncWriter
	conn       *net.UDPConn
	core       *passthrough.Core
	commands   *ring.Ring[func()] // run by the forwarding goroutine
	state      *fanout.State
	checker    *checker
	peers      *fanout.Source     // nil without an interface between instances
	leave      context.CancelFunc // ends the announcements at the seeds
	clock      clock
	metrics    *metrics
	tracer     *telemetry.Tracer
	placements limiter // lines about ordinary placements
	exceptions limiter // lines about all other decisions

	updatedAt  ids.Time // of the last update; used by the forwarding goroutine
	reload     *reload.Watcher
	lifecycle  atomic.Uint32 // chart.State of chart.Instance
	lastPacket atomic.Int64  // ids.Time
	received   atomic.Uint64 // datagrams
	stop       chan struct{}
}

// clock yields times that never decrease, whatever happens to the time of day.
type clock struct{ start time.Time }

func (c clock) now() ids.Time { return ids.Time(time.Since(c.start)) + 1 }

// Reload asks for the settings file to be read again. It does not wait.
func (f *Forwarder) Reload() { f.reload.Reload() }

// New opens the sockets of an instance for pass-through flows. Its log goes to
// stdout, spans to what the settings name.
func New(all settings.Settings, stdout, stderr io.Writer) (*Forwarder, error) {
	s := all.Passthrough
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.Listen))
	if err != nil {
		return nil, eris.Wrapf(err, "listen for datagrams on %s", s.Listen)
	}
	out := telemetry.NewAsyncWriter(stdout, logLines)
	spans := map[string]io.Writer{"stdout": out, "stderr": stderr}[s.Trace.Exporter]
	tracer, err := telemetry.NewTracer(spans, s.Trace.SampleRatio, s.Instance)
	if err != nil {
		_ = conn.Close() // nothing was served yet
		return nil, err
	}
	level := new(slog.LevelVar)
	level.Set(s.Log.Level)
	f := &Forwarder{
		settings:   s,
		tracer:     tracer,
		log:        telemetry.NewLogger(out, level, s.Instance),
		out:        out,
		conn:       conn,
		commands:   ring.New[func()](commandRing),
		state:      fanout.NewState(),
		clock:      clock{time.Now()},
		placements: limiter{rate: placementLines},
		exceptions: limiter{rate: exceptionLines},
		leave:      func() {},
		stop:       make(chan struct{}),
	}
	f.reload = reload.New(all, level, f.log)
	// A kernel that grants a smaller buffer is no fault.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	f.metrics = newMetrics(f)
	f.core = passthrough.New(passthrough.Settings{
		DataCentre:        s.DataCentre,
		Regions:           s.Regions,
		MaxFlows:          maxFlows(s.MemoryBytes),
		FlowLifetime:      s.FlowLifetime,
		HeartbeatInterval: s.HeartbeatInterval,
		Seed:              ids.Hash(string(s.Instance)) ^ uint64(time.Now().UnixNano()),
	})
	return f, nil
}

func maxFlows(memory int64) int {
	if memory == 0 {
		return defaultFlows
	}
	return max(int(float64(memory)*flowShare/passthrough.FlowBytes), minFlows)
}

// Run forwards until Stop and the planned stop that follows, or until ctx ends.
func (f *Forwarder) Run(ctx context.Context) error {
	defer f.out.Close()
	defer f.closeTracer()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	probe, err := f.serveReady()
	if err != nil {
		_ = f.conn.Close() // nothing was served yet
		return err
	}
	defer func() { _ = probe.Close() }() // the process ends
	f.log.Info("started", "data_centre", f.settings.DataCentre, "listen", f.settings.Listen, "platform", f.settings.Platform)
	f.checker = newChecker(ctx)
	source, err := f.source(ctx)
	if err != nil {
		_ = f.conn.Close() // nothing was served yet
		return err
	}
	if err := f.serveMetrics(ctx); err != nil {
		_ = f.conn.Close() // nothing was served yet
		return err
	}
	follower := follow.New(source, follow.TimingFor(f.settings.ApplyWithin), f.deliver(ctx), f.log)
	go follower.Run(ctx)
	go f.awaitStop(ctx)
	go f.reload.Run(ctx)
	go f.limitHeap(ctx)
	err = f.forward(ctx)
	f.log.Info("stopped", "packets", f.received.Load(), "log_lines_dropped", f.out.Stats().Dropped)
	return err
}

// closeTracer writes the spans that are still buffered.
func (f *Forwarder) closeTracer() {
	ctx, cancel := context.WithTimeout(context.Background(), exitMargin/2)
	defer cancel()
	if err := f.tracer.Close(ctx); err != nil {
		f.log.Warn("spans-lost", "error", err)
	}
}

// deliver hands updates to the forwarding goroutine.
func (f *Forwarder) deliver(ctx context.Context) func(follow.Update) {
	return func(u follow.Update) {
		f.state.Apply(&u)
		f.run(ctx, func() { f.apply(&u) })
	}
}

// run has the forwarding goroutine run a command. It waits for room in the ring
// and reports false when ctx ends before.
func (f *Forwarder) run(ctx context.Context, command func()) bool {
	for !f.commands.Push(command) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Millisecond):
		}
	}
	// Wakes the goroutine. It fails only after the socket is closed.
	_ = f.conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// Stop begins the planned stop.
func (f *Forwarder) Stop() { close(f.stop) }

// awaitStop leaves the rotation, lets the packets that still arrive be
// forwarded and closes the socket.
func (f *Forwarder) awaitStop(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.stop:
		f.fire(chart.InstanceStop)
		f.leave()
		f.log.Info("stopping", "grace", f.settings.GracePeriod)
		begin := f.clock.now()
		for {
			now := f.clock.now()
			quiet := now.Sub(ids.Time(f.lastPacket.Load())) >= quietTime
			if now.Sub(begin) >= f.settings.GracePeriod-exitMargin || (quiet && now.Sub(begin) >= leaveAfter) {
				break
			}
			time.Sleep(quietTime / 10)
		}
		f.fire(chart.InstanceLeave)
	}
	_ = f.conn.Close() // ends the forwarding goroutine
}

// fire applies an event of the instance's lifecycle.
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

func (f *Forwarder) serving() bool {
	return chart.State(f.lifecycle.Load()) == chart.InstanceServing
}

// sourceName returns where publications are read.
func (f *Forwarder) sourceName() string {
	if f.peers == nil {
		return "platform"
	}
	return f.peers.Current()
}
