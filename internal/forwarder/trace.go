package forwarder

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/passthrough"
	"arbutusdock.example/arbutusdock/internal/telemetry"
)

// trace records a span if a decision marks a step of a sampled flow. All instances
// sample the same flows, and the spans of a flow belong to the same trace.
func (f *Forwarder) trace(p *passthrough.Packet, d *passthrough.Decision) {
	name, took := hopOf(d)
	if name == "" || !f.tracer.Sampled(p.Flow.Hash()) {
		return
	}
	f.tracer.Record(telemetry.Hop{
		Name: name, RequestID: p.Flow.Hash(), Service: d.Service, Target: ids.Target(d.Target),
		Start: time.Now().Add(-took), Duration: took,
	})
}

// hopOf returns the name of the step of a flow that a decision completes, and its
// duration. The name is empty for packets that complete no step.
func hopOf(d *passthrough.Decision) (string, time.Duration) {
	switch {
	case d.Reason != passthrough.KnownCookie:
		return d.Reason.String(), 0
	case d.HandshakeTime > 0:
		return "opened", d.HandshakeTime
	case d.ResponseTime > 0:
		return "served", d.ResponseTime
	case d.StalledFor > 0:
		return "stalled", d.StalledFor
	case d.Adopted:
		return "adopted", 0
	}
	return "", 0
}
