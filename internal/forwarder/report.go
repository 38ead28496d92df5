package forwarder

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/passthrough"
)

const (
	// placementLines is the maximum number of log lines a second about ordinary
	// placements. A line costs about 11 us (BenchmarkLogDecision) and a system call;
	// with 20 a second, logging used 8 to 12% of the CPU time in small deployments.
	placementLines = 2
	// exceptionLines is the maximum number of log lines a second about all other
	// decisions.
	exceptionLines = 100
)

// lineLimiter limits the number of log lines a second and counts the suppressed ones.
type lineLimiter struct {
	rate        int
	windowStart ids.Time // start of the current second
	admitted    int
	suppressed  int // lines suppressed in the current second
}

// admit reports whether a line may be written. At the start of a new second it also
// returns the number of lines suppressed in the previous one.
func (l *lineLimiter) admit(now ids.Time) (ok bool, suppressed int) {
	if now.Sub(l.windowStart) >= time.Second {
		suppressed = l.suppressed
		l.windowStart, l.admitted, l.suppressed = now, 0, 0
	}
	if l.admitted >= l.rate {
		l.suppressed++
		return false, suppressed
	}
	l.admitted++
	return true, suppressed
}

// logDecision logs a decision about a flow. It identifies the flow by the header fields
// that an instance can read: both endpoints and the sequence number. Of the packets whose
// cookie identifies the target, it logs only those with retransmitted request data and
// those of flows adopted from another instance.
func (f *Forwarder) logDecision(now ids.Time, p *passthrough.Packet, d *passthrough.Decision) {
	l := &f.exceptionLimiter
	switch {
	case d.Reason == passthrough.Placed:
		l = &f.placementLimiter
	case d.Reason == passthrough.KnownCookie && !d.Adopted && d.StalledFor == 0:
		return
	}
	ok, suppressed := l.admit(now)
	if suppressed > 0 {
		f.log.Warn("lines-left-out", "lines", suppressed, "limit_per_second", l.rate)
	}
	if !ok {
		return
	}
	f.log.Info("flow", "decision", d.Reason.String(), "verdict", d.Verdict.String(), "caller", p.Flow.Caller, "to", p.Flow.Service,
		"seq", p.Seq, "copy", openingAttempt(p), "cookie", uint32(p.Cookie), "service", d.Service, "target", d.Target,
		"busy", d.ActiveRequests, "remote", d.Remote, "adopted", d.Adopted, "stalled", d.StalledFor.Round(time.Millisecond), "version", f.core.Version(), "news_age", now.Sub(f.updatedAt).Round(time.Millisecond))
}

// openingAttempt returns the number of the transmission of an opening packet: 0 for the
// first one and for packets of other kinds. The caller sends it in the Ack field.
func openingAttempt(p *passthrough.Packet) uint32 {
	if p.Flags.Has(passthrough.SYN) {
		return p.Ack
	}
	return 0
}

// logEvents logs the state changes that the core has recorded since the last call.
func (f *Forwarder) logEvents() {
	f.core.TakeEvents(func(e passthrough.Event) {
		switch e.Kind {
		case passthrough.ConfigApplied:
			f.log.Info(e.Kind.String(), "version", e.Version, "old", e.OldVersion, "routes", e.Routes,
				"source", f.sourceName(), "former_news_age", f.formerAge.Round(time.Millisecond))
		case passthrough.TargetChanged:
			f.log.Info(e.Kind.String(), "target", e.Target, "service", e.Service, "state", e.Reason, "address", e.Address)
		case passthrough.EvacuationBegan, passthrough.EvacuationEnded:
			f.log.Info(e.Kind.String(), "data_centre", e.DataCentre, "era", e.Era, "revision", e.Revision, "age", e.Age,
				"news_age", f.clock.now().Sub(f.updatedAt).Round(time.Millisecond), "source", f.sourceName())
		case passthrough.IsolationBegan, passthrough.IsolationEnded:
			f.isolated.Store(e.Kind == passthrough.IsolationBegan)
			select {
			case f.isolationBegan <- struct{}{}:
			default: // the core is called already
			}
			f.log.Warn(e.Kind.String(), "data_centre", f.settings.DataCentre, "age", e.Age)
		default:
			f.metrics.countEvent(e.Kind)
			f.log.Info(e.Kind.String(), "target", e.Target, "service", e.Service, "reason", e.Reason, "age", e.Age)
		}
	})
}
