package spread

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// Table holds the slot owners of one data centre.
type Table struct{}

// NewTable returns an empty table for instance self.
func NewTable(self ids.Instance, dc ids.DataCentre, seed uint64) *Table { return &Table{} }

// SetInstances replaces the serving and trusted instances of the data centre.
func (t *Table) SetInstances(now ids.Time, serving []ids.Instance) {}

// SetService adds or replaces a service.
func (t *Table) SetService(now ids.Time, r *config.Resolved) {}

// RemoveService removes a service.
func (t *Table) RemoveService(s ids.Service) {}

// Home returns the home of the flow with hash callerHash.
func (t *Table) Home(s ids.Service, callerHash uint64) (ids.Instance, bool) { return "", false }

// Owners returns the instances that own a slot of s, sorted.
func (t *Table) Owners(s ids.Service) []ids.Instance { return nil }

// Pool returns the owned slots of s, nil when there are none.
func (t *Table) Pool(s ids.Service) *Pool { return nil }

// Tick calls due for each health check that is due.
func (t *Table) Tick(now ids.Time, due func(s ids.Service, target ids.Target, url string)) {}

// Pool holds the owned slots of one service.
type Pool struct{}

// Owned returns the number of usable owned slots.
func (p *Pool) Owned() int { return 0 }

// Free returns the number of slots free for a request of class c.
func (p *Pool) Free(c Class) int { return 0 }

// Classify predicts the class of a request.
func (p *Pool) Classify(key uint64) Class { return Short }

// Acquire takes a free slot.
func (p *Pool) Acquire(now ids.Time, c Class, avoid ids.Target) (Lease, bool) { return Lease{}, false }

// AcquireTarget takes a free slot of a given target.
func (p *Pool) AcquireTarget(now ids.Time, target ids.Target) (Lease, bool) { return Lease{}, false }

// Release frees the slot of a lease.
func (p *Pool) Release(now ids.Time, l Lease, key uint64, o Outcome) {}

// RunTime returns the mean run time of short requests.
func (p *Pool) RunTime() time.Duration { return 0 }

// OpenFeed places a feed.
func (p *Pool) OpenFeed(now ids.Time, avoid ids.Target) (ids.Target, ids.Endpoint, bool) {
	return "", ids.Endpoint{}, false
}

// CloseFeed ends a feed.
func (p *Pool) CloseFeed(target ids.Target, o Outcome) {}

// Leaving reports whether a target is draining or removed.
func (p *Pool) Leaving(target ids.Target) bool { return false }

// Health records the result of an active health check.
func (p *Pool) Health(now ids.Time, h Health) {}
