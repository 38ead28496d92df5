package passthrough

import (
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/chart"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// openingTimeout is the time after which an opening packet counts as unanswered if
// the caller has sent no further packet of the flow. A round trip between data
// centres takes about 15 ms; the caller sends a copy after 200 ms.
const openingTimeout = 100 * time.Millisecond

// pendingOpening is a forwarded opening packet that may still be unanswered.
type pendingOpening struct {
	flow   FlowKey
	sentAt ids.Time
	raw    [MaxOpeningBytes]byte // the packet, of size bytes; 0 if it is not known
	size   uint8
}

// openingQueue is a ring buffer of opening packets, ordered by time.
type openingQueue struct {
	ring         []pendingOpening
	first, count int
	examined     int // entries from the first one that need not be sent to a second target
}

// maxPendingOpenings bounds the queue of opening packets. It covers openingTimeout
// at 40,000 new flows a second. A full queue discards its oldest entry, so that
// opening packet is not checked for an answer.
const maxPendingOpenings = 4096

func (q *openingQueue) push(o pendingOpening) {
	if q.ring == nil {
		q.ring = make([]pendingOpening, maxPendingOpenings)
	}
	if q.count == len(q.ring) {
		q.pop()
	}
	q.ring[(q.first+q.count)%len(q.ring)] = o
	q.count++
}

func (q *openingQueue) pop() {
	q.first = (q.first + 1) % len(q.ring)
	q.count--
	q.examined = max(q.examined-1, 0)
}

// at returns the entry i places behind the first one.
func (q *openingQueue) at(i int) *pendingOpening { return &q.ring[(q.first+i)%len(q.ring)] }

func (q *openingQueue) head() *pendingOpening { return &q.ring[q.first] }

// expireOpenings records a failure for each target that has not answered an opening
// packet within openingTimeout.
func (c *Core) expireOpenings(now ids.Time) {
	for c.openings.count > 0 && now.Sub(c.openings.head().sentAt) >= openingTimeout {
		o := *c.openings.head()
		c.openings.pop()
		f := c.flows.get(o.flow)
		if f == nil || f.state != flowOpening || f.forwardedAt != o.sentAt {
			continue
		}
		if t := c.target(f); t != nil {
			c.recordFailure(now, t, o.sentAt, "opening unanswered")
			c.recordUnopened(now)
		}
	}
}

// excluded reports whether t gets no flows because it is suspected. From retryAt
// on, one flow at a time is placed on it as a trial.
func (t *target) excluded(now ids.Time) bool {
	return t.suspicion.State() == chart.Suspected && now.Before(t.retryAt)
}

// recordFailure records that t has not answered a packet that was sent at the given
// time.
func (c *Core) recordFailure(now ids.Time, t *target, sentAt ids.Time, reason string) {
	if sentAt.Before(t.lastAlive) {
		return // t has proved since then that it is alive
	}
	c.requestCheck(now, t)
	if t.suspicion.State() == chart.Suspected {
		return
	}
	t.suspicion.Fire(chart.SuspicionSilent)
	t.scheduleRetry(now)
	c.addEvent(Event{Kind: TargetSuspected, Target: t.Name, Service: t.Service, Reason: reason, Age: now.Sub(sentAt)})
}

// requestCheck queues a health check of t, at most one per checkTTL.
func (c *Core) requestCheck(now ids.Time, t *target) {
	path := c.routes.health[t.Service]
	if path == "" || len(c.checks) == MaxChecks || (t.lastCheckAt != 0 && now.Sub(t.lastCheckAt) < checkTTL) {
		return
	}
	t.lastCheckAt = now
	check := Check{Target: t.Name, StartedAt: t.StartedAt, Address: t.Address, Path: path}
	if r := c.referenceTarget(t); r != nil {
		check.Reference, check.ReferencePath = r.Address, c.routes.health[r.Service]
	}
	c.checks = append(c.checks, check)
}

// referenceTarget returns the usable target other than t that has most recently
// proved to be alive, or nil.
func (c *Core) referenceTarget(t *target) *target {
	var best *target
	for _, o := range c.targets.slots {
		if o != nil && o != t && o.lastAlive != 0 && o.usable() && (best == nil || o.lastAlive > best.lastAlive) {
			best = o
		}
	}
	return best
}

// scheduleRetry sets the time from which the suspected target t may get a flow
// again.
func (t *target) scheduleRetry(now ids.Time) {
	t.retryAt = now.Add(min(minRetryDelay<<min(t.retries, 8), maxRetryDelay))
	t.retries++
}

// markAlive records that t has proved to be alive. If t is suspected, this ends the
// suspicion.
func (c *Core) markAlive(now ids.Time, t *target) {
	c.lastAlive = now
	t.lastAlive = now
	t.retries, t.retransmits, t.stalled = 0, 0, t.stalled[:0]
	t.unreachableUntil = 0
	if t.suspicion.State() == chart.Suspected {
		t.suspicion.Fire(chart.SuspicionRefute)
		c.addEvent(Event{Kind: TargetTrusted, Target: t.Name, Service: t.Service})
	}
}

// maxStalled bounds the flows that are reset together with the result of a check.
const maxStalled = 64

// addStalled remembers a flow that waits for an answer of t, if its requests may be
// repeated.
func (t *target) addStalled(r *Route, key FlowKey) {
	if r != nil && r.Idempotent && len(t.stalled) < maxStalled && !slices.Contains(t.stalled, key) {
		t.stalled = append(t.stalled, key)
	}
}

// resetStalled resets the flows that wait for an answer of t, which is unreachable.
// Otherwise their callers would notice at their next retransmission, up to 0.8 s later.
func (c *Core) resetStalled(now ids.Time, t *target, reason Reason) {
	for _, key := range t.stalled {
		f := c.flows.get(key)
		if f == nil || c.target(f) != t || f.state == flowOpening || !f.requestActive || !c.confirmed(f, t, reason) {
			continue
		}
		c.resets = append(c.resets, FlowReset{Packet{Flow: key, Ack: f.ack}, c.resetFlow(now, f, t, reason)})
	}
	t.stalled = t.stalled[:0]
}

// FlowReset is a reset that is not the answer to a packet: one to send to the caller of
// Packet.Flow, with the sequence number Packet.Ack.
type FlowReset struct {
	Packet   Packet
	Decision Decision
}

// TakeResets calls f with each reset since the last call and removes the resets.
func (c *Core) TakeResets(f func(*FlowReset)) {
	for i := range c.resets {
		f(&c.resets[i])
	}
	c.resets = c.resets[:0]
}

// MaxChecks bounds the number of queued health checks.
const MaxChecks = 64

// Check is a health check of a suspected target. The program that uses the core
// carries it out.
type Check struct {
	Target    string
	StartedAt int64
	Address   Endpoint
	Path      string
	// Reference is the address of a target that has answered recently; its port is
	// 0 if there is none. If the reference does not accept a connection within the same
	// time either, the check proves nothing about Target: this instance or its link may
	// be overloaded.
	Reference     Endpoint
	ReferencePath string
}

// TakeChecks calls f with each queued health check and empties the queue.
func (c *Core) TakeChecks(f func(Check)) {
	for _, k := range c.checks {
		f(k)
	}
	c.checks = c.checks[:0]
}

// checkTTL is the time for which the result of a check that found a target
// unreachable is valid. A network partition that refuses connections looks like a
// target that has terminated. The short validity keeps flows of a live target from
// being reset long after such a partition has healed.
const checkTTL = time.Second

// CheckResult is the outcome of a health check.
type CheckResult uint8

// Outcomes of a health check. The health status that a target reports is not used:
// it may be wrong either way, and the traffic of callers is better evidence.
const (
	CheckAnswered     CheckResult = iota // the target has answered, with any status
	CheckUnreachable                     // the target accepted no connection while the reference accepted one
	CheckReplaced                        // another target has its address, so it has terminated
	CheckInconclusive                    // neither the target nor the reference accepted a connection
	CheckAccepted                        // the target accepted a connection but has not answered yet: its slots may all be in use
)

var checkNames = [...]string{"answered", "unreachable", "replaced", "inconclusive", "accepted"}

func (r CheckResult) String() string { return checkNames[r] }

// reached reports whether the target accepted a connection.
func (r CheckResult) reached() bool { return r == CheckAnswered || r == CheckAccepted }

// ReportCheck records the outcome of a health check that began at the given time. A
// target counts as unreachable only if another target has proved to be alive since
// then. Otherwise this instance itself may be cut off from the network.
func (c *Core) ReportCheck(now ids.Time, k Check, began ids.Time, result CheckResult) {
	t := c.targets.byName[k.Target]
	if t != nil && t.usable() && result.reached() && c.Isolated() {
		c.recordOpened(now)
	}
	if t == nil || t.StartedAt != k.StartedAt || t.lastAlive >= began {
		return
	}
	switch {
	case result == CheckReplaced:
		t.addressReused = true
		c.targets.updatePool(t)
		c.resetStalled(now, t, TargetGone)
	case result == CheckUnreachable && c.lastAlive > began:
		t.unreachableUntil = now.Add(checkTTL)
		c.resetStalled(now, t, TargetUnreachable)
	case result == CheckAccepted: // alive, so its flows are kept
	default:
		return
	}
	c.addEvent(Event{Kind: TargetChecked, Target: t.Name, Service: t.Service, Reason: result.String(), Age: now.Sub(began)})
}
