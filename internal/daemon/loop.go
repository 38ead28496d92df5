package daemon

import (
	"context"
	"expvar"
	"reflect"
	"regexp"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

const (
	// tickInterval is the interval between calls of Core.Tick (section 3.1 of the
	// design).
	tickInterval = 10 * time.Millisecond
	// publishInterval is the interval at which the counters of the core are
	// copied to the metrics.
	publishInterval = time.Second
	// maxDecisionTime is the longest decision time that the histogram records.
	maxDecisionTime = 10 * time.Second
)

// coreLoop is the state of the core goroutine, the only one that accesses the
// core.
type coreLoop struct {
	daemon  *Daemon
	effects core.Effects
	// The event structs are reused, so that calls of the core do not allocate.
	callerEvent     core.CallerEvent
	backendEvent    core.BackendEvent
	relayedDatagram message.Message // decoded datagram of a peerwire.Relay
	lastTick        ids.Time
	exitRequested   bool
	// stopping is true once the graceful shutdown has started.
	stopping bool

	revision ids.Revision // configuration revision of services
	services []config.Service

	decisionTimes *hdrhistogram.Histogram // in nanoseconds, since publishedAt
	publishedAt   time.Time
	panicLoggedAt time.Time
	published     atomic.Pointer[coreMetrics]

	events, panics, unencodable, unroutable, checksDropped, spansDropped *expvar.Int
}

// coreMetrics holds the values of the core that are exported as metrics.
type coreMetrics struct {
	counts   core.Counters
	p50, p99 int64 // decision time in nanoseconds
	max      int64 // longest decision time in nanoseconds
}

func (l *coreLoop) init(d *Daemon) {
	l.daemon = d
	l.decisionTimes = hdrhistogram.New(1, maxDecisionTime.Nanoseconds(), 2)
	l.events = d.metrics.Counter("core_events_total")
	l.panics = d.metrics.Counter("core_panics_total")
	l.unencodable = d.metrics.Counter("core_unencodable_dropped_total")
	l.unroutable = d.metrics.Counter("core_no_service_socket_dropped_total")
	l.checksDropped = d.metrics.Counter("health_checks_dropped_total")
	l.spansDropped = d.metrics.Counter("trace_spans_dropped_total")
	l.published.Store(&coreMetrics{})
	for name, value := range map[string]func(*coreMetrics) any{
		"core_decision_p50_nanoseconds":  func(p *coreMetrics) any { return p.p50 },
		"core_decision_p99_nanoseconds":  func(p *coreMetrics) any { return p.p99 },
		"core_decision_most_nanoseconds": func(p *coreMetrics) any { return p.max },
	} {
		d.metrics.Gauge(name, func() any { return value(l.published.Load()) })
	}
	l.exportCounters(d)
}

// exportCounters registers a metric for each counter of the core, for example
// core_late_responses_total for LateResponses.
func (l *coreLoop) exportCounters(d *Daemon) {
	for _, field := range reflect.VisibleFields(reflect.TypeFor[core.Counters]()) {
		name := strings.ToLower(wordBoundary.ReplaceAllString(field.Name, "${1}_${2}"))
		d.metrics.Gauge("core_"+name+"_total", func() any {
			return reflect.ValueOf(l.published.Load().counts).FieldByIndex(field.Index).Uint()
		})
	}
}

// wordBoundary matches the boundary between two words of a field name.
var wordBoundary = regexp.MustCompile(`([a-z])([A-Z])`)

func (l *coreLoop) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	stop := l.daemon.stop
	l.tick()
	for !l.exitRequested {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.tick()
		case p := <-l.daemon.callerPackets.Out():
			l.callerEvent = core.CallerEvent{Service: p.service, Caller: p.peer, Message: &p.message}
			l.handle(func(now ids.Time) { l.daemon.core.HandleCaller(now, &l.callerEvent, &l.effects) })
			p.release()
		case p := <-l.daemon.backendPackets.Out():
			l.backendEvent = core.BackendEvent{From: p.peer, Message: &p.message}
			l.handle(func(now ids.Time) { l.daemon.core.HandleBackend(now, &l.backendEvent, &l.effects) })
			p.release()
		case m := <-l.daemon.dataMessages.Out():
			l.handlePeerMessage(m)
		case m := <-l.daemon.controlMessages.Out():
			l.handlePeerMessage(m)
		case event := <-l.daemon.controlEvents.Out():
			l.handleControlEvent(event)
		case call := <-l.daemon.coreCalls:
			l.recoverPanics(call)
		case <-stop:
			stop, l.stopping = nil, true
			l.daemon.log.Info("shutdown-started")
			l.handle(func(now ids.Time) { l.daemon.core.Stop(now, &l.effects) })
		}
	}
}

// handle runs one call of the core and applies its effects. A tick that is due
// runs first, so that the core detects a pause of the process before it
// processes the events that were queued during the pause.
func (l *coreLoop) handle(callCore func(now ids.Time)) {
	if l.daemon.clock.now().Sub(l.lastTick) >= tickInterval {
		l.tick()
	}
	l.step(callCore)
}

func (l *coreLoop) tick() {
	l.lastTick = l.daemon.clock.now()
	l.step(func(now ids.Time) { l.daemon.core.Tick(now, &l.effects) })
	wallTime := time.Now()
	if l.daemon.listeners.closeUnused(wallTime) {
		l.daemon.listeners.apply(wallTime, l.services)
	}
	if wallTime.Sub(l.publishedAt) >= publishInterval {
		l.publish(wallTime)
	}
}

// step runs callCore, applies the effects and records the decision time.
func (l *coreLoop) step(callCore func(now ids.Time)) {
	l.recoverPanics(func() {
		l.effects.Reset()
		start := l.daemon.clock.now()
		callCore(start)
		_ = l.decisionTimes.RecordValue(l.daemon.clock.now().Sub(start).Nanoseconds()) // fails only for values above maxDecisionTime
		l.events.Add(1)
		for i := range l.effects.List {
			l.applyEffect(&l.effects.List[i])
		}
	})
}

// recoverPanics runs fn and recovers from a panic. Only the event that caused
// the panic is lost, not the flows of the instance. The panic is counted, and
// logged with its stack at most once a second.
func (l *coreLoop) recoverPanics(fn func()) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		l.panics.Add(1)
		if now := time.Now(); now.Sub(l.panicLoggedAt) >= time.Second {
			l.panicLoggedAt = now
			l.daemon.log.Error("core-panic", "panic", cause, "stack", string(debug.Stack()))
		}
	}()
	fn()
}

func (l *coreLoop) handlePeerMessage(m *peerwire.Message) {
	event := core.PeerEvent{Message: m}
	if m.Relay != nil {
		if err := message.Decode(m.Relay.Datagram, &l.relayedDatagram); err != nil {
			l.daemon.listeners.counts.malformed.Add(1)
			return
		}
		event.RelayedDatagram = &l.relayedDatagram
	}
	l.handle(func(now ids.Time) { l.daemon.core.HandlePeer(now, &event, &l.effects) })
	if m.ConfigDelta != nil {
		l.applyConfiguration()
	}
}

func (l *coreLoop) handleControlEvent(event controlEvent) {
	switch {
	case event.config != nil:
		l.handle(func(now ids.Time) { l.daemon.core.HandleConfig(now, event.config, &l.effects) })
		l.applyConfiguration()
	case event.instances != nil:
		l.daemon.addresses.updateFromList(event.instances)
		l.handle(func(now ids.Time) { l.daemon.core.HandleInstances(now, event.instances, &l.effects) })
	case event.health != nil:
		l.handle(func(now ids.Time) { l.daemon.core.HandleHealth(now, event.health, &l.effects) })
	}
}

// applyConfiguration updates the service sockets after a configuration change.
func (l *coreLoop) applyConfiguration() {
	if revision := l.daemon.core.Revision(); revision != l.revision {
		l.revision = revision
		l.services = l.daemon.core.Services(l.services[:0])
		l.daemon.listeners.apply(time.Now(), l.services)
	}
}

func (l *coreLoop) publish(now time.Time) {
	l.publishedAt = now
	l.published.Store(&coreMetrics{
		counts: l.daemon.core.Counts(),
		p50:    l.decisionTimes.ValueAtQuantile(50),
		p99:    l.decisionTimes.ValueAtQuantile(99),
		max:    l.decisionTimes.Max(),
	})
	l.decisionTimes.Reset()
}
