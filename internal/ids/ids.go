// Package ids defines the identifier types and the time type that are shared by the
// other packages.
package ids

import (
	"net/netip"
	"time"
)

// Instance is the configured name of a load balancer instance, unique in the fleet.
type Instance string

// DataCentre is the configured name of a data centre.
type DataCentre string

// Service is the published name of a service.
type Service string

// Partner is the name of a partner in a configuration profile.
type Partner string

// Target is the published name of a backend server, unique within its service.
type Target string

// Incarnation identifies one process lifetime of an instance. It increases with each
// restart.
type Incarnation uint64

// Revision is the sequence number of a publication on the platform. It starts at 1;
// 0 means that nothing has been published.
type Revision uint64

// Endpoint is the UDP address of a caller, a backend server or an instance.
type Endpoint = netip.AddrPort

// Time is an instant on the clock of one instance, in nanoseconds since the
// Unix epoch. It never decreases within an incarnation.
type Time int64

// Add returns the instant d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// FlowKey identifies a flow by the endpoint of the caller and the service.
type FlowKey struct {
	Caller  Endpoint
	Service Service
}
