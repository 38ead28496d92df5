package daemon

import (
	"log/slog"
	"time"

	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/telemetry"
)

var spanNames = [...]string{
	core.Received: "received", core.Relayed: "relayed", core.Admitted: "admitted",
	core.Dispatched: "dispatched", core.Answered: "answered",
}

// applyEffect performs one effect that the core returned. It must run before the
// next call of the core, which may reuse the memory of the effect.
func (l *coreLoop) applyEffect(effect *core.Effect) {
	d := l.daemon
	switch effect.Kind {
	case core.ToCaller:
		if p := l.encodeDatagram(effect); p != nil && !d.listeners.send(p) {
			l.unroutable.Add(1)
			p.release()
		}
	case core.ToBackend:
		if p := l.encodeDatagram(effect); p != nil {
			d.backendSocket.send(p)
		}
	case core.ToPeer:
		d.links.Send(effect.Instance, effect.PeerMessage) // Send counts the messages that it drops
	case core.CheckHealth:
		if !d.checker.check(effect.Service, effect.Target, effect.URL) {
			l.checksDropped.Add(1)
		}
	case core.WatchConfig:
		d.watcher.requests.Push(readRequest{after: effect.Revision, watch: effect.Watch})
	case core.Span:
		l.recordSpan(effect)
	case core.Log:
		d.log.Log(d.ctx, logLevel(effect.Event), effect.Event, telemetry.ParseDetail(effect.Detail)...)
	case core.Exit:
		l.exitRequested = true
	}
}

func (l *coreLoop) encodeDatagram(effect *core.Effect) *packet {
	p := newPacket()
	var err error
	if p.data, err = message.Encode(p.data, &effect.Datagram); err != nil {
		l.unencodable.Add(1)
		l.daemon.log.Warn("datagram-not-encoded", "service", effect.Service, "to", effect.Endpoint, "error", err)
		p.release()
		return nil
	}
	p.service, p.peer = effect.Service, effect.Endpoint
	return p
}

func (l *coreLoop) recordSpan(effect *core.Effect) {
	if int(effect.Stage) >= len(spanNames) || !l.daemon.tracer.Sampled(effect.TraceID) {
		return
	}
	if !l.daemon.spans.Push(telemetry.Hop{
		Name: spanNames[effect.Stage], RequestID: effect.TraceID, Service: effect.Service, Target: effect.Target,
		Start: time.Unix(0, int64(effect.Start)), Duration: effect.Duration,
	}) {
		l.spansDropped.Add(1)
	}
}

// logLevels holds the levels of the core's log events that need attention. All
// other events are logged at level Info.
var logLevels = map[string]slog.Level{
	"config-refused":   slog.LevelError,
	"superseded":       slog.LevelError,
	"no-successor":     slog.LevelWarn,
	"handover-refused": slog.LevelWarn,
	"resumed":          slog.LevelWarn,
}

func logLevel(event string) slog.Level { return logLevels[event] }
