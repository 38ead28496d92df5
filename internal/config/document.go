// Package config holds the published documents (profiles and services), their
// validation, and the versioned store that every instance keeps.
package config

import (
	"net/netip"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Profile is the traffic policy of a service: load balancing, limits, and the
// shares of the partners.
type Profile struct {
	Name     string
	Spread   Spread
	Protect  Protect
	Partners []Partner
}

// Spread holds the load-balancing parameters of a profile.
type Spread struct {
	LongShare  float64       // maximum fraction of owned slots occupied by long requests, 0 to 1
	LongFactor float64       // a request counts as long above this multiple of the median run time
	SlowStart  time.Duration // time for which a new target is limited to one slot
}

// Protect holds the limits that protect a service and its targets from overload.
type Protect struct {
	Deadline      time.Duration // from the arrival of a request to its response
	QueueTime     time.Duration // maximum time that a request waits for a slot
	QueueLength   int           // maximum number of queued requests per instance
	RetryRatio    float64       // maximum number of retries per first attempt
	MaxFeeds      int           // maximum number of open feeds per target
	Idempotent    []string      // methods that may be executed more than once
	RetryAfterMin time.Duration // minimum time after which the caller of a refused request may retry
	RetryAfterMax time.Duration
}

// Partner is the section of a profile for one partner. A request belongs to the
// first partner whose Hosts contain its Uri-Host or whose Networks contain the
// address of its caller.
type Partner struct {
	Name     ids.Partner
	Weight   uint32
	Hosts    []string
	Networks []netip.Prefix
}

// Service is a service document: its listen address, profile and targets.
type Service struct {
	Name    ids.Service
	Address netip.Addr // listen address; unspecified for any local address
	Port    uint16     // UDP port on which callers reach the service
	Profile string
	Targets []Target
}

// Target is one backend server of a service.
type Target struct {
	Name       ids.Target
	DataCentre ids.DataCentre
	Address    ids.Endpoint // UDP, CoAP
	Health     string       // http://IP:port/path; empty for passive health only
	Slots      int
	Draining   bool
}

// Resolved is a service combined with the profile that is in force for it.
type Resolved struct {
	Service  Service
	Profile  Profile
	Revision ids.Revision // highest revision of the two documents
}
