// Package spread decides which instance owns which slot of a backend server
// target, which instance is the home of a flow, and which owned slot serves
// the next request. It performs no I/O and reads no clock.
package spread

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Class separates requests by predicted run time.
type Class uint8

// Classes of requests.
const (
	Short Class = iota
	Long
)

// Outcome is the result of a request or feed as seen by the slot owner.
type Outcome uint8

// Outcomes of a request.
const (
	Success   Outcome = iota // a response other than 5.03
	Shed                     // 5.03, not run: the target is alive but full
	Timeout                  // no response by the deadline
	Failure                  // the target could not be reached, or reset
	Cancelled                // ended by the caller or the owner; says nothing about the target
)

// Lease is the right to run one request in one owned slot, from Acquire to
// Release.
type Lease struct {
	Target   ids.Target
	Endpoint ids.Endpoint
	request  int32  // index of the running request in the pool
	gen      uint32 // generation of that entry
}

// CheckResult is the result of one active health check of a target.
type CheckResult struct {
	Target   ids.Target
	Healthy  bool
	Draining bool
	Load     float64 // reported share of slots in use; negative when absent
	Duration time.Duration
}

// TargetState describes one target of a pool, for the admin interface.
type TargetState struct {
	Target    ids.Target
	Lifecycle string
	Suspicion string
	Owned     int // owned slots
	Usable    int // owned slots that may be used now
	InUse     int // requests running in owned slots
	Feeds     int
}
