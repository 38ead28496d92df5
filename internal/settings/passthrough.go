package settings

import (
	"net/netip"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Passthrough holds the settings of an instance that forwards opaque flows. The
// table [passthrough] in a settings file selects this kind of traffic.
type Passthrough struct {
	Instance   ids.Instance
	DataCentre ids.DataCentre

	Listen   netip.AddrPort // datagrams of callers
	Ready    netip.AddrPort // readiness probe of the fabric
	Metrics  netip.AddrPort // metrics and admin interface; invalid for none
	Platform netip.AddrPort // store that is read
	Control  netip.AddrPort // interface between instances; invalid for none
	// Advertise is the address under which other instances reach Control.
	Advertise netip.AddrPort
	Seeds     string // control addresses of instances, joined by commas

	ApplyWithin       time.Duration // bound for a publication to be in force
	GracePeriod       time.Duration // from SIGTERM to the forced end
	FlowLifetime      time.Duration // age after which a flow may be forgotten
	HeartbeatInterval time.Duration // interval at which backend servers renew their records
	MemoryBytes       int64         // limit of the process; 0 for none
	// Regions holds the region of each data centre; those that are not in it count
	// as near.
	Regions map[string]string
	Log     Log
	Trace   Trace
}

// parsePassthrough reads the tables of a pass-through instance.
func parsePassthrough(r *reader) *Passthrough {
	p := &Passthrough{
		Instance:          ids.Instance(r.name("instance.id")),
		DataCentre:        ids.DataCentre(r.name("instance.data_centre")),
		Listen:            r.addrPort(r.need("passthrough.listen"), netip.AddrPort{}),
		Ready:             r.addrPort(r.need("passthrough.ready"), netip.AddrPort{}),
		Metrics:           r.addrPort("passthrough.metrics", netip.AddrPort{}),
		Platform:          r.addrPort(r.need("passthrough.platform"), netip.AddrPort{}),
		Control:           r.addrPort("passthrough.control", netip.AddrPort{}),
		Seeds:             r.addrPorts("passthrough.seeds"),
		ApplyWithin:       r.duration("passthrough.apply_within", 3*time.Second, 100*time.Millisecond, 10*time.Minute),
		GracePeriod:       r.duration("passthrough.grace", 6*time.Second, time.Second, time.Hour),
		FlowLifetime:      r.duration("passthrough.flow_life", time.Minute, time.Second, 24*time.Hour),
		HeartbeatInterval: r.duration("passthrough.heartbeat", time.Second, 10*time.Millisecond, time.Minute),
		MemoryBytes:       int64(r.float("passthrough.memory_mb", 0, 0, 1<<20) * (1 << 20)),
	}
	p.Advertise = r.addrPort("passthrough.advertise", p.Control)
	p.Regions = r.texts("regions")
	parseLog(r, &p.Log)
	parseTrace(r, &p.Trace)
	return p
}
