package passthrough

import (
	"arbutusdock.example/arbutusdock/internal/ids"
)

// ConfirmCurrent records that nothing that was published before the given time is missing.
func (c *Core) ConfirmCurrent(at ids.Time) { c.currentAt = max(c.currentAt, at) }

// unconfirmed reports whether r is the reason of a decision that a later update may refute.
func (r Reason) unconfirmed() bool { return r == RouteUnconfirmed || r == TargetUnconfirmed }

// judge returns the verdict on a packet of an open flow and its reason. f is the flow, or nil
// if the table does not have it, and t the target that its cookie identifies, or nil. It
// changes no state.
func (c *Core) judge(now ids.Time, p *Packet, f *flow, t *target) (Verdict, Reason) {
	// A reset packet is not answered with a reset; it ends the flow at its target.
	if !p.Flags.Has(RST) && c.routes.routes != nil && c.routes.routes[p.Flow.Service] == nil {
		return c.resetIfConfirmed(f, t, RouteDropped, RouteUnconfirmed)
	}
	if t == nil {
		return Drop, UnknownCookie
	}
	if reason, reset := t.resetReason(now, p); reset {
		return c.resetIfConfirmed(f, t, reason, TargetUnconfirmed)
	}
	return Forward, KnownCookie
}

// resetIfConfirmed returns the verdict on a packet of a flow that is to be reset for a
// reason, and the reason of the verdict: unconfirmed if the flow may go on.
func (c *Core) resetIfConfirmed(f *flow, t *target, reason, unconfirmed Reason) (Verdict, Reason) {
	switch {
	case c.confirmed(f, t, reason):
		return Reset, reason
	case t == nil || t.addressReused: // where the flow goes is not known here
		return Drop, unconfirmed
	}
	return Forward, unconfirmed
}

// confirmed reports whether a reason to reset f holds. Instances learn what is published at
// different times; at a start, during a partition or after a freeze they are seconds apart.
// A flow that another instance opened may have a route or a target that this one does not
// know yet, or knows as removed. What the other one knew had been published before the first
// packet of the flow arrived here, so the reason holds once this state is current as of then.
func (c *Core) confirmed(f *flow, t *target, reason Reason) bool {
	switch {
	case f == nil:
		return false
	case f.state == flowAdopted:
		return !c.currentAt.Before(f.forwardedAt)
	case reason == RouteDropped:
		return true // this instance has opened f on the route, or has reset it
	}
	return c.target(f) == t
}

// resetFlow returns the decision to reset f. t is the target that its cookie identifies, or
// nil.
func (c *Core) resetFlow(now ids.Time, f *flow, t *target, reason Reason) Decision {
	c.endFlow(f)
	f.lastSeen = now
	d := Decision{Verdict: Reset, Reason: reason}
	if t != nil {
		d.Target, d.Service = t.Name, t.Service
	}
	return d
}
