package forwarder

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/passthrough"
)

const (
	// placementLines is the number of lines a second about ordinary placements. A
	// line costs about 11 us (BenchmarkLogDecision) and a system call; 20 a second
	// took logging to 8 to 12% of the processor time on small deployments.
	placementLines = 2
	// exceptionLines is the number of lines a second about decisions that depart
	// from the ordinary.
	exceptionLines = 100
)

// limiter admits a number of lines a second and counts those left out.
type limiter struct {
	rate     int
	window   ids.Time // start of the present second
	admitted int
	left     int // left out in the present second
}

// admit reports whether a line may be written. When a new second begins it
// returns the number of lines that the last one left out.
func (l *limiter) admit(now ids.Time) (ok bool, left int) {
	if now.Sub(l.window) >= time.Second {
		left = l.left
		l.window, l.admitted, l.left = now, 0, 0
	}
	if l.admitted >= l.rate {
		l.left++
		return false, left
	}
	l.admitted++
	return true, left
}

// logDecision writes a line for a decision about a flow. What identifies a flow
// for an instance is all that it can read: both ends and the position of the
// packet. Of flows that are known here only packets are logged whose data the
// caller repeats.
func (f *Forwarder) logDecision(now ids.Time, p *passthrough.Packet, d *passthrough.Decision) {
	l := &f.exceptions
	switch {
	case d.Reason == passthrough.Placed:
		l = &f.placements
	case d.Reason == passthrough.KnownCookie && !d.Adopted && d.StalledFor == 0:
		return
	}
	ok, left := l.admit(now)
	if left > 0 {
		f.log.Warn("lines-left-out", "lines", left, "limit_per_second", l.rate)
	}
	if !ok {
		return
	}
	f.log.Info("flow", "decision", d.Reason.String(), "verdict", d.Verdict.String(), "caller", p.Flow.Caller, "to", p.Flow.Service,
		"seq", p.Seq, "copy", copyNumber(p), "cookie", uint32(p.Cookie), "service", d.Service, "target", d.Target,
		"busy", d.ActiveRequests, "remote", d.Remote, "adopted", d.Adopted, "stalled", d.StalledFor.Round(time.Millisecond), "version", f.core.Version(), "news_age", now.Sub(f.updatedAt).Round(time.Millisecond))
}

// copyNumber returns which copy of an opening packet p is, 0 for the first and
// for other packets.
func copyNumber(p *passthrough.Packet) uint32 {
	if p.Flags.Has(passthrough.SYN) {
		return p.Ack
	}
	return 0
}

// logEvents writes a line for each change of what the core believes.
func (f *Forwarder) logEvents() {
	f.core.TakeEvents(func(e passthrough.Event) {
		switch e.Kind {
		case passthrough.ConfigApplied:
			f.log.Info(e.Kind.String(), "version", e.Version, "old", e.OldVersion, "routes", e.Routes)
		case passthrough.TargetChanged:
			f.log.Info(e.Kind.String(), "target", e.Target, "service", e.Service, "state", e.Reason, "address", e.Address)
		default:
			f.metrics.suspicion(e.Kind)
			f.log.Info(e.Kind.String(), "target", e.Target, "service", e.Service, "reason", e.Reason, "age", e.Age)
		}
	})
}
