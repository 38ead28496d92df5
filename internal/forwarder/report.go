package forwarder

import (
	"sync/atomic"

	"arbutusdock.example/arbutusdock/internal/passthrough"
)

// counts are the counters of an instance.
type counts struct {
	received, malformed, readErrors, writeErrors atomic.Uint64
	reasons                                      [passthrough.Reasons]atomic.Uint64
}

func newCounts() *counts { return &counts{} }

// logDecision writes a line for each decision that departs from the ordinary.
func (f *Forwarder) logDecision(p *passthrough.Packet, d *passthrough.Decision) {
	switch d.Reason {
	case passthrough.Known, passthrough.Placed:
		return
	}
	f.log.Info("flow", "decision", d.Reason.String(), "caller", p.Flow.Caller, "to", p.Flow.Service, "seq", p.Seq,
		"cookie", p.Cookie, "target", d.Target, "service", d.Service, "busy", d.Busy, "remote", d.Remote, "version", f.core.Version())
}

// logEvents writes a line for each change of what the core believes.
func (f *Forwarder) logEvents() {
	f.core.Events(func(e passthrough.Event) {
		switch e.Kind {
		case passthrough.ConfigApplied:
			f.log.Info(e.Kind.String(), "version", e.Version, "old", e.Old, "routes", e.Count)
		case passthrough.TargetChanged:
			f.log.Info(e.Kind.String(), "target", e.Target, "service", e.Service, "state", e.Reason, "address", e.Address)
		default:
			f.log.Info(e.Kind.String(), "target", e.Target, "service", e.Service, "reason", e.Reason, "age", e.Age)
		}
	})
}
