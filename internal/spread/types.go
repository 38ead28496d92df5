// Package spread assigns the slots of targets to instances, maps each flow to its
// home instance, and selects the owned slot that serves the next request. A target
// is a backend server of a service; a slot is its capacity for one concurrent
// request. The package performs no I/O and reads no clock.
package spread

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Class is the class of a request by its predicted run time.
type Class uint8

// Classes of requests.
const (
	Short Class = iota
	Long
)

// Outcome is the result of a request or feed, as observed by the slot owner.
type Outcome uint8

// Outcomes of a request.
const (
	Success   Outcome = iota // any response other than 5.03
	Shed                     // 5.03: the target is up but has no capacity; the request did not run
	Timeout                  // no response by the deadline
	Failure                  // the target was unreachable or reset the request
	Cancelled                // ended by the caller or the owner; no evidence about the target
)

// Lease is the right to run one request in one owned slot, from Acquire to
// Release.
type Lease struct {
	Target   ids.Target
	Endpoint ids.Endpoint
	request  int32  // index in Pool.requests
	gen      uint32 // generation of that entry, to detect reuse
}

// CheckResult is the result of one active health check of a target.
type CheckResult struct {
	Target   ids.Target
	Healthy  bool
	Draining bool
	Load     float64 // reported fraction of slots in use; negative when not reported
	Duration time.Duration
}

// TargetState describes one target of a pool, for the admin interface.
type TargetState struct {
	Target    ids.Target
	Lifecycle string
	Suspicion string
	Owned     int // owned slots
	Usable    int // owned slots that are available now, in use or not
	InUse     int // requests running in owned slots
	Feeds     int
}
