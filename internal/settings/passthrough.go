package settings

import (
	"net/netip"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Passthrough holds the settings of a pass-through instance, which forwards
// flows without parsing their payload. A settings file with a [passthrough]
// table configures such an instance.
type Passthrough struct {
	Instance   ids.Instance
	DataCentre ids.DataCentre

	Listen   netip.AddrPort // UDP address that receives callers' datagrams
	Ready    netip.AddrPort // TCP address that the network fabric probes for readiness
	Metrics  netip.AddrPort // HTTP address of metrics and the admin interface; the zero value disables both
	Platform netip.AddrPort // address of the platform's store, which is only read
	Control  netip.AddrPort // address of the interface between instances; the zero value disables it
	// Advertise is the address at which other instances reach Control.
	Advertise netip.AddrPort
	Seeds     string // control addresses of instances, separated by commas

	ApplyWithin       time.Duration // time within which a published configuration change must be in effect
	EvacuateWithin    time.Duration // time within which a data centre must get no new flows after its evacuation was published; 0 for ApplyWithin
	GracePeriod       time.Duration // time after SIGTERM at which the process exits even if flows are still open
	FlowLifetime      time.Duration // age after which the state of a flow may be removed
	HeartbeatInterval time.Duration // interval at which backend servers renew their records
	// A cold target gets at most ColdExcess times the requests a second that it bears, and
	// ColdSlack more, from all instances together.
	ColdExcess, ColdSlack float64
	// ExtraOpenings is the largest share of extra openings: an opening that nothing answers
	// for unusually long is sent to a second target. 0 for none.
	ExtraOpenings float64
	MemoryBytes   int64 // memory limit of the process; 0 for none
	// Regions maps each data centre to its region. A data centre that is not
	// listed counts as being in the same region.
	Regions map[string]string
	Log     Log
	Trace   Trace
}

// UpdateWithin returns the time within which whatever is published must be in effect.
func (p *Passthrough) UpdateWithin() time.Duration {
	if p.EvacuateWithin == 0 {
		return p.ApplyWithin
	}
	return min(p.ApplyWithin, p.EvacuateWithin)
}

// parsePassthrough reads the settings of a pass-through instance.
func parsePassthrough(r *reader) *Passthrough {
	p := &Passthrough{
		Instance:          ids.Instance(r.requiredName("instance.id")),
		DataCentre:        ids.DataCentre(r.requiredName("instance.data_centre")),
		Listen:            r.addrPort(r.requireKey("passthrough.listen"), netip.AddrPort{}),
		Ready:             r.addrPort(r.requireKey("passthrough.ready"), netip.AddrPort{}),
		Metrics:           r.addrPort("passthrough.metrics", netip.AddrPort{}),
		Platform:          r.addrPort(r.requireKey("passthrough.platform"), netip.AddrPort{}),
		Control:           r.addrPort("passthrough.control", netip.AddrPort{}),
		Seeds:             r.addrPorts("passthrough.seeds"),
		ApplyWithin:       r.duration("passthrough.apply_within", 3*time.Second, 100*time.Millisecond, 10*time.Minute),
		GracePeriod:       r.duration("passthrough.grace", 6*time.Second, time.Second, time.Hour),
		FlowLifetime:      r.duration("passthrough.flow_life", time.Minute, time.Second, 24*time.Hour),
		HeartbeatInterval: r.duration("passthrough.heartbeat", time.Second, 10*time.Millisecond, time.Minute),
		ColdExcess:        r.float("passthrough.cold_excess", 1, 0.1, 100),
		ExtraOpenings:     r.float("passthrough.extra_openings", 0, 0, 0.2),
		ColdSlack:         r.float("passthrough.cold_slack", 0, 0, 1e6),
		MemoryBytes:       int64(r.float("passthrough.memory_mb", 0, 0, 1<<20) * (1 << 20)),
	}
	p.EvacuateWithin = r.duration("passthrough.evacuate_within", p.ApplyWithin, 100*time.Millisecond, 10*time.Minute)
	p.Advertise = r.addrPort("passthrough.advertise", p.Control)
	p.Regions = r.stringTable("regions")
	parseLog(r, &p.Log)
	parseTrace(r, &p.Trace)
	return p
}
