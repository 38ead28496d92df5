// Package member keeps the view that an instance has of the others in its data
// centre: gossip, failure detection and the lifecycle of the instance itself.
// It performs no I/O and reads no clock.
package member

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/chart"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

// Seed is an address at which an instance may be found. It comes from the
// settings or the platform's list and says nothing about liveness.
type Seed struct {
	ID         ids.Instance
	DataCentre ids.DataCentre
	PeerAddr   string // IP:port of its link listener
}

// Event is an event of the lifecycle chart of this instance.
type Event = chart.Event

// Lifecycle events for View.Fire.
const (
	Ready  = chart.InstanceReady
	Resume = chart.InstanceResume
	Stop   = chart.InstanceStop
	Leave  = chart.InstanceLeave
)

// View is everything known of the instances of the own data centre.
type View struct {
	self peerwire.Member
}

// New returns the view of the instance self, which knows only its seeds.
func New(self peerwire.Member, seeds []Seed, seed uint64) *View {
	return &View{self: self}
}

// Heartbeat handles a heartbeat from another instance.
func (v *View) Heartbeat(now ids.Time, from ids.Instance, h *peerwire.Heartbeat) {}

// Delta handles a part of the view of another instance.
func (v *View) Delta(now ids.Time, from ids.Instance, d *peerwire.MemberDelta) {}

// Listed replaces the seeds that come from the platform's list.
func (v *View) Listed(now ids.Time, listed []Seed) {}

// Fire applies a lifecycle event of this instance. It returns false when the
// current state does not react to it.
func (v *View) Fire(e Event) bool { return false }

// SetRevision sets the configuration revision that heartbeats announce.
func (v *View) SetRevision(r ids.Revision) {}

// SetSuccessor announces the incarnation that answers for the admissions of
// this one after its planned stop.
func (v *View) SetSuccessor(i ids.Incarnation) {}

// Tick sends the heartbeats and deltas that are due and detects failures. It
// is called every 10 ms.
func (v *View) Tick(now ids.Time, send func(to ids.Instance, m *peerwire.Message)) {}

// Synced reports whether the view agrees with that of a peer since it was
// started or resumed, or no peer has been reachable for the join time.
func (v *View) Synced() bool { return false }

// Serving returns the serving and trusted instances of the own data centre,
// sorted. The caller must not change it; it is valid until the next call.
func (v *View) Serving() []ids.Instance { return nil }

// Changed reports whether Serving changed since the last call.
func (v *View) Changed() bool { return false }

// Lookup returns the instance that answers for incarnation i, following
// successors. It returns false when there is none.
func (v *View) Lookup(i ids.Incarnation) (peerwire.Member, bool) { return peerwire.Member{}, false }

// Address returns the link address of an instance or a seed.
func (v *View) Address(id ids.Instance) (string, bool) { return "", false }

// ClockOffset returns the estimated clock of id minus the own clock.
func (v *View) ClockOffset(id ids.Instance) time.Duration { return 0 }

// State returns the lifecycle state of this instance.
func (v *View) State() peerwire.Lifecycle { return v.self.Lifecycle }

// Superseded returns the incarnation of a later process with the same id.
func (v *View) Superseded() (ids.Incarnation, bool) { return 0, false }

// Members returns all known members.
func (v *View) Members() []peerwire.Member { return nil }
