// Package config holds the published documents (profiles and services), their
// validation, and the versioned store that every instance keeps.
package config

import (
	"net/netip"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Profile says how traffic to a service is spread, protected and shared.
type Profile struct {
	Name     string
	Spread   Spread
	Protect  Protect
	Partners []Partner
}

// Spread selects and tunes the placement of requests.
type Spread struct {
	LongShare  float64       // greatest share of owned slots that long requests hold, 0 to 1
	LongFactor float64       // a request is long above this multiple of the median run time
	SlowStart  time.Duration // time for which a new target gets one slot only
}

// Protect holds the limits of a service.
type Protect struct {
	Deadline      time.Duration // from arrival to answer
	QueueTime     time.Duration // longest wait for a slot
	QueueLength   int           // queued requests per instance
	RetryRatio    float64       // retries per first attempt
	MaxFeeds      int           // open feeds per target
	Idempotent    []string      // methods that may run more than once
	RetryAfterMin time.Duration // least time to come back after a refusal
	RetryAfterMax time.Duration
}

// Partner is one partner's part of a profile. A request belongs to the first
// partner whose Hosts hold its Uri-Host or whose Networks hold its caller.
type Partner struct {
	Name     ids.Partner
	Weight   uint32
	Hosts    []string
	Networks []netip.Prefix
}

// Service names the address, the targets and the profile of a service.
type Service struct {
	Name    ids.Service
	Address netip.Addr // unspecified: any local address
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

// Resolved is a service together with the profile that it uses now.
type Resolved struct {
	Service  Service
	Profile  Profile
	Revision ids.Revision // highest revision of the two documents
}
