package passthrough

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/chart"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// answerTime is the time after which an opening packet that the caller has not
// followed up counts as unanswered. A round trip between data centres takes
// about 15 ms; the caller sends a copy after 200 ms.
const openingTimeout = 100 * time.Millisecond

// opening is an opening packet that awaits its answer.
type pendingOpening struct {
	flow FlowKey
	sent ids.Time
}

// openings is a queue of opening packets in the order of their times.
type openingQueue struct {
	ring        []pendingOpening
	first, used int
}

// openingsLimit bounds the openings under observation: those of answerTime at
// 40,000 new flows a second. Beyond it the oldest go unobserved.
const maxPendingOpenings = 4096

func (q *openingQueue) push(o pendingOpening) {
	if q.ring == nil {
		q.ring = make([]pendingOpening, maxPendingOpenings)
	}
	if q.used == len(q.ring) {
		q.pop()
	}
	q.ring[(q.first+q.used)%len(q.ring)] = o
	q.used++
}

func (q *openingQueue) pop() {
	q.first = (q.first + 1) % len(q.ring)
	q.used--
}

func (q *openingQueue) head() *pendingOpening { return &q.ring[q.first] }

// checkOpenings counts a failure for each target that left an opening packet
// unanswered.
func (c *Core) expireOpenings(now ids.Time) {
	for c.openings.used > 0 && now.Sub(c.openings.head().sent) >= openingTimeout {
		o := *c.openings.head()
		c.openings.pop()
		f := c.flows.get(o.flow)
		if f == nil || f.state != flowOpening || f.forwardedAt != o.sent {
			continue
		}
		if t := c.target(f); t != nil {
			c.recordFailure(now, t, o.sent, "opening unanswered")
		}
	}
}

// suspected reports whether t gets no flows for now. When the time for a retry
// has come, one flow at a time tries it.
func (t *target) excluded(now ids.Time) bool {
	return t.suspicion.State() == chart.Suspected && now.Before(t.retryAt)
}

// failed records that t gave no answer to a packet sent at a time.
func (c *Core) recordFailure(now ids.Time, t *target, sent ids.Time, reason string) {
	if sent.Before(t.lastAlive) {
		return // it has shown since that it is alive
	}
	c.requestCheck(now, t)
	if t.suspicion.State() == chart.Suspected {
		return
	}
	t.suspicion.Fire(chart.SuspicionSilent)
	t.scheduleRetry(now)
	c.addEvent(Event{Kind: TargetSuspected, Target: t.Name, Service: t.Service, Reason: reason, Age: now.Sub(sent)})
}

// requestCheck asks for a health check of t, at most one each checkTTL.
func (c *Core) requestCheck(now ids.Time, t *target) {
	path := c.routes.health[t.Service]
	if path == "" || len(c.checks) == MaxChecks || (t.lastCheckAt != 0 && now.Sub(t.lastCheckAt) < checkTTL) {
		return
	}
	t.lastCheckAt = now
	k := Check{Target: t.Name, StartedAt: t.StartedAt, Address: t.Address, Path: path}
	if r := c.referenceTarget(t); r != nil {
		k.Reference, k.ReferencePath = r.Address, c.routes.health[r.Service]
	}
	c.checks = append(c.checks, k)
}

// reference returns the target other than t that has shown the latest sign of
// life, if there is one.
func (c *Core) referenceTarget(t *target) *target {
	var best *target
	for _, o := range c.targets.slots {
		if o != nil && o != t && o.lastAlive != 0 && o.usable() && (best == nil || o.lastAlive > best.lastAlive) {
			best = o
		}
	}
	return best
}

// retry sets the time at which the suspected t may get a flow again.
func (t *target) scheduleRetry(now ids.Time) {
	t.retryAt = now.Add(min(minRetryDelay<<min(t.retries, 8), maxRetryDelay))
	t.retries++
}

// alive records a sign of life of t.
func (c *Core) markAlive(now ids.Time, t *target) {
	c.lastAlive = now
	t.lastAlive = now
	t.retries, t.retransmits = 0, 0
	t.unreachableUntil = 0
	if t.suspicion.State() == chart.Suspected {
		t.suspicion.Fire(chart.SuspicionRefute)
		c.addEvent(Event{Kind: TargetTrusted, Target: t.Name, Service: t.Service})
	}
}

// MaxChecks bounds the health checks that wait to be carried out.
const MaxChecks = 64

// Check is a health check of a suspected target that the caller of the core
// is to carry out.
type Check struct {
	Target    string
	StartedAt int64
	Address   Endpoint
	Path      string
	// Reference is the address of a target that has answered lately. Without an
	// answer of its own within the same time the check shows nothing about Target:
	// this instance or its link is short of time. Its port is 0 when there is none.
	Reference     Endpoint
	ReferencePath string
}

// Checks calls f with each health check that is due since the last call.
func (c *Core) TakeChecks(f func(Check)) {
	for _, k := range c.checks {
		f(k)
	}
	c.checks = c.checks[:0]
}

// checkTTL is the time for which a check that found a target out of reach
// holds. A partition that refuses connections looks like a target that has
// ended, so that the flows of a live target are spared soon after it is healed.
const checkTTL = time.Second

// CheckResult is the outcome of a health check.
type CheckResult uint8

// Outcomes of a health check. What a target says of its health is not used:
// it may be wrong either way, and what callers see counts more.
const (
	CheckAnswered     CheckResult = iota // the target has answered, whatever it said
	CheckUnreachable                     // refused, or without an answer in time, while the reference answered
	CheckReplaced                        // another target has its address: it has ended
	CheckInconclusive                    // neither the target nor the reference has answered
)

var checkNames = [...]string{"answered", "unreachable", "replaced", "inconclusive"}

func (r CheckResult) String() string { return checkNames[r] }

// Checked records the outcome of a check that began at a time. A target counts
// as out of reach only if others have shown signs of life meanwhile; without
// these this instance itself may be cut off.
func (c *Core) ReportCheck(now ids.Time, k Check, began ids.Time, result CheckResult) {
	t := c.targets.byName[k.Target]
	if t == nil || t.StartedAt != k.StartedAt || t.lastAlive >= began {
		return
	}
	switch {
	case result == CheckReplaced:
		t.addressReused = true
		c.targets.updatePool(t)
	case result == CheckUnreachable && c.lastAlive > began:
		t.unreachableUntil = now.Add(checkTTL)
	default:
		return
	}
	c.addEvent(Event{Kind: TargetChecked, Target: t.Name, Service: t.Service, Reason: result.String(), Age: now.Sub(began)})
}
