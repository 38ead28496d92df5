package daemon

import (
	"log/slog"
	"time"

	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/telemetry"
)

var hopNames = [...]string{
	core.Received: "received", core.Relayed: "relayed", core.Admitted: "admitted",
	core.Dispatched: "dispatched", core.Answered: "answered",
}

// carryOut does what one effect asks for. It runs before the next call of the
// core, after which the memory of the effect may be reused.
func (l *loop) carryOut(e *core.Effect) {
	d := l.d
	switch e.Kind {
	case core.ToCaller:
		if p := l.encode(e); p != nil && !d.listeners.send(p) {
			l.unroutable.Add(1)
			p.release()
		}
	case core.ToBackend:
		if p := l.encode(e); p != nil {
			d.backend.send(p)
		}
	case core.ToPeer:
		d.links.Send(e.Instance, e.PeerMessage) // counts what it refuses
	case core.CheckHealth:
		if !d.checker.check(e.Service, e.Target, e.URL) {
			l.checksDropped.Add(1)
		}
	case core.WatchConfig:
		d.watcher.requests.Push(watchRequest{after: e.Revision, watch: e.Watch})
	case core.Span:
		l.span(e)
	case core.Log:
		d.log.Log(d.ctx, logLevel(e.Event), e.Event, telemetry.ParseDetail(e.Detail)...)
	case core.Exit:
		l.exit = true
	}
}

func (l *loop) encode(e *core.Effect) *packet {
	p := newPacket()
	var err error
	if p.data, err = message.Encode(p.data, &e.Datagram); err != nil {
		l.unsent.Add(1)
		l.d.log.Warn("datagram-not-encoded", "service", e.Service, "to", e.Endpoint, "error", err)
		p.release()
		return nil
	}
	p.service, p.peer = e.Service, e.Endpoint
	return p
}

func (l *loop) span(e *core.Effect) {
	if int(e.Stage) >= len(hopNames) || !l.d.tracer.Sampled(e.TraceID) {
		return
	}
	if !l.d.spans.Push(telemetry.Hop{
		Name: hopNames[e.Stage], RequestID: e.TraceID, Service: e.Service, Target: e.Target,
		Start: time.Unix(0, int64(e.Start)), Duration: e.Duration,
	}) {
		l.spansDropped.Add(1)
	}
}

// logLevels holds the events of the core that need attention; all others are
// logged as information.
var logLevels = map[string]slog.Level{
	"config-refused":   slog.LevelError,
	"superseded":       slog.LevelError,
	"no-successor":     slog.LevelWarn,
	"handover-refused": slog.LevelWarn,
	"resumed":          slog.LevelWarn,
}

func logLevel(event string) slog.Level { return logLevels[event] }
