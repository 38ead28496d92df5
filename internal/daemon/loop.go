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
	tickEvery = 10 * time.Millisecond // section 3.1 of the design
	// publishEvery is the interval at which the counters of the core become
	// visible as metrics.
	publishEvery = time.Second
	// maxDecision is the largest decision time that the histogram resolves.
	maxDecision = 10 * time.Second
)

// loop is the core goroutine. Nothing else touches the core.
type loop struct {
	d       *Daemon
	effects core.Effects
	// Events are kept here, so that no call of the core allocates one.
	caller  core.CallerEvent
	backend core.BackendEvent
	relayed message.Message // decoded datagram of a Relay
	ticked  ids.Time
	exit    bool
	// stopping tells that the graceful shutdown has started.
	stopping bool

	revision ids.Revision // of the services that the listeners serve
	services []config.Service

	decisions   *hdrhistogram.Histogram // nanoseconds, since the last publication
	publishedAt time.Time
	panicLogged time.Time
	published   atomic.Pointer[published]

	events, panics, unsent, unroutable, checksDropped, spansDropped *expvar.Int
}

// published is what the metrics show of the core.
type published struct {
	counts   core.Counters
	p50, p99 int64 // decision time in nanoseconds
	most     int64
}

func (l *loop) init(d *Daemon) {
	l.d = d
	l.decisions = hdrhistogram.New(1, maxDecision.Nanoseconds(), 2)
	l.events = d.metrics.Counter("core_events_total")
	l.panics = d.metrics.Counter("core_panics_total")
	l.unsent = d.metrics.Counter("core_unencodable_dropped_total")
	l.unroutable = d.metrics.Counter("core_no_service_socket_dropped_total")
	l.checksDropped = d.metrics.Counter("health_checks_dropped_total")
	l.spansDropped = d.metrics.Counter("trace_spans_dropped_total")
	l.published.Store(&published{})
	for name, f := range map[string]func(*published) any{
		"core_decision_p50_nanoseconds":  func(p *published) any { return p.p50 },
		"core_decision_p99_nanoseconds":  func(p *published) any { return p.p99 },
		"core_decision_most_nanoseconds": func(p *published) any { return p.most },
	} {
		d.metrics.Gauge(name, func() any { return f(l.published.Load()) })
	}
	l.exportCounters(d)
}

// exportCounters registers each counter of the core as a metric, for example
// LateResponses as core_late_responses_total.
func (l *loop) exportCounters(d *Daemon) {
	for _, field := range reflect.VisibleFields(reflect.TypeFor[core.Counters]()) {
		name := strings.ToLower(words.ReplaceAllString(field.Name, "${1}_${2}"))
		d.metrics.Gauge("core_"+name+"_total", func() any {
			return reflect.ValueOf(l.published.Load().counts).FieldByIndex(field.Index).Uint()
		})
	}
}

// words matches the border between two words of a field name.
var words = regexp.MustCompile(`([a-z])([A-Z])`)

func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	stop := l.d.stop
	l.tick()
	for !l.exit {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.tick()
		case p := <-l.d.callers.Out():
			l.caller = core.CallerEvent{Service: p.service, Caller: p.peer, Message: &p.message}
			l.do(func(now ids.Time) { l.d.core.HandleCaller(now, &l.caller, &l.effects) })
			p.release()
		case p := <-l.d.backends.Out():
			l.backend = core.BackendEvent{From: p.peer, Message: &p.message}
			l.do(func(now ids.Time) { l.d.core.HandleBackend(now, &l.backend, &l.effects) })
			p.release()
		case m := <-l.d.messages.Out():
			l.peer(m)
		case m := <-l.d.signals.Out():
			l.peer(m)
		case e := <-l.d.control.Out():
			l.control(e)
		case query := <-l.d.queries:
			l.guard(query)
		case <-stop:
			stop, l.stopping = nil, true
			l.d.log.Info("shutdown-started")
			l.do(func(now ids.Time) { l.d.core.Stop(now, &l.effects) })
		}
	}
}

// do runs one call of the core and carries its effects out. When a tick is
// due it comes first, so that the core notices a pause of the process before
// it sees what queued up meanwhile.
func (l *loop) do(call func(now ids.Time)) {
	if l.d.clock.now().Sub(l.ticked) >= tickEvery {
		l.tick()
	}
	l.step(call)
}

func (l *loop) tick() {
	l.ticked = l.d.clock.now()
	l.step(func(now ids.Time) { l.d.core.Tick(now, &l.effects) })
	wall := time.Now()
	if l.d.listeners.expire(wall) {
		l.d.listeners.apply(wall, l.services)
	}
	if wall.Sub(l.publishedAt) >= publishEvery {
		l.publish(wall)
	}
}

// step runs call and carries its effects out.
func (l *loop) step(call func(now ids.Time)) {
	l.guard(func() {
		l.effects.Reset()
		start := l.d.clock.now()
		call(start)
		_ = l.decisions.RecordValue(l.d.clock.now().Sub(start).Nanoseconds()) // fails above maxDecision only
		l.events.Add(1)
		for i := range l.effects.List {
			l.carryOut(&l.effects.List[i])
		}
	})
}

// guard runs f. A panic costs the event that caused it, not the flows of the
// instance; it is counted, and logged with its stack at most once a second.
func (l *loop) guard(f func()) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		l.panics.Add(1)
		if now := time.Now(); now.Sub(l.panicLogged) >= time.Second {
			l.panicLogged = now
			l.d.log.Error("core-panic", "panic", p, "stack", string(debug.Stack()))
		}
	}()
	f()
}

func (l *loop) peer(m *peerwire.Message) {
	e := core.PeerEvent{Message: m}
	if m.Relay != nil {
		if err := message.Decode(m.Relay.Datagram, &l.relayed); err != nil {
			l.d.listeners.counts.malformed.Add(1)
			return
		}
		e.RelayedDatagram = &l.relayed
	}
	l.do(func(now ids.Time) { l.d.core.HandlePeer(now, &e, &l.effects) })
	if m.ConfigDelta != nil {
		l.reconfigure()
	}
}

func (l *loop) control(e event) {
	switch {
	case e.config != nil:
		l.do(func(now ids.Time) { l.d.core.HandleConfig(now, e.config, &l.effects) })
		l.reconfigure()
	case e.instances != nil:
		l.d.addresses.list(e.instances)
		l.do(func(now ids.Time) { l.d.core.HandleInstances(now, e.instances, &l.effects) })
	case e.health != nil:
		l.do(func(now ids.Time) { l.d.core.HandleHealth(now, e.health, &l.effects) })
	}
}

// reconfigure opens and closes service sockets after a configuration change.
func (l *loop) reconfigure() {
	if r := l.d.core.Revision(); r != l.revision {
		l.revision = r
		l.services = l.d.core.Services(l.services[:0])
		l.d.listeners.apply(time.Now(), l.services)
	}
}

func (l *loop) publish(now time.Time) {
	l.publishedAt = now
	l.published.Store(&published{
		counts: l.d.core.Counts(),
		p50:    l.decisions.ValueAtQuantile(50),
		p99:    l.decisions.ValueAtQuantile(99),
		most:   l.decisions.Max(),
	})
	l.decisions.Reset()
}
