package spread

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/chart"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// target is one backend server target of which this instance owns, or did
// own, slots. Lifecycle and suspicion are independent of each other.
type target struct {
	name      ids.Target
	endpoint  ids.Endpoint
	url       string // of its health endpoint; empty for passive health only
	lifecycle chart.Machine
	suspicion chart.Machine

	slots         int  // slots of the target, owned by any instance
	owned         int  // owned slots
	ownsFirstSlot bool // slot 0 is owned, the only one in use during slow start
	inUse         int  // running requests, including those of slots since lost
	feeds         int

	usable     int // owned slots that may be used now, see limit
	free       int // max(usable - inUse, 0)
	next, prev int32
	inFreeList bool // in the list of targets with a free slot

	// slowness is the moving average of run time over the expected one.
	slowness float64

	slowUntil   ids.Time // end of slow start while starting
	pausedUntil ids.Time // end of the pause after a shed request
	// uncheckedUntil is the end of the wait for the first health check since
	// slots were taken over; uncheckedSlots counts the slots that wait.
	firstCheckDeadline ids.Time
	awaitingCheckSlots int
	consecutiveSheds   int  // consecutive shed requests
	hasTimer           bool // in the list of targets with a timer

	unverified          bool     // new, and nothing has shown yet that it is up
	suspectedByRequests bool     // suspected because of requests, not of checks
	suspectedAt         ids.Time // when suspicion began
	probeAt             ids.Time // earliest next probe request while suspected
	backOff             time.Duration
	probeInFlight       bool
	probeDue            bool // counted in pool.probes

	consecutiveFailures int      // consecutive failed requests
	lastSuccess         ids.Time // of a request
	lastDispatch        ids.Time
	failedChecks        int      // consecutive failed checks that count as evidence
	lastCheck           ids.Time // when the last result arrived
	nextCheck           ids.Time
	configDraining      bool // draining by configuration, which a check cannot undo
}

// Limits of passive and active health.
const (
	checkInterval = time.Second
	// One lost datagram must not cost a slot; two failures in a row with no
	// success between them are rarely chance.
	failuresToSuspect = 2
	checksToSuspect   = 2
	// A failed check of a target that has served a request so recently, and
	// has had none since, says more about the check than about the target.
	successEvidenceAge = 10 * time.Second
	// Each probe request to a dead target fails for its caller, so the back-off
	// doubles; while checks succeed, a probe has better prospects.
	minBackOff         = 500 * time.Millisecond
	maxBackOff         = 16 * time.Second
	minShedBackOff     = 20 * time.Millisecond
	maxShedBackOff     = 320 * time.Millisecond
	failedCheckBackOff = 2 * time.Second
	// A health check takes milliseconds. A longer wait would leave slots unused
	// after a takeover when the health endpoint does not answer.
	firstCheckWait = 200 * time.Millisecond
	// A new target whose checks do not pass is probed with a request after this
	// time, because the health endpoint may be wrong.
	unverifiedWait = 5 * time.Second
	// A target whose slots other instances use as well, because the membership
	// lists disagree, queues requests, so they seem to run longer.
	slownessWindow = 16
	// idleWeight is the slowness that one place in the list of idle targets is
	// worth. The average of the window varies by 0.09 when run times vary by a
	// half, so a greater weight would only tell very slow targets apart.
	idleWeight = 0.02
	// slownessAge is the time without a request after which a slow target is
	// tried again; the average would never change otherwise.
	slownessExpiry = time.Second
	// pickLimit bounds the search for a fast target.
	pickLimit = 8
	// Below this number of targets the share of suspected ones says nothing:
	// a single dead target would be a majority.
	panicTargets = 3
)

func (t *target) suspected() bool { return t.suspicion.State() == chart.Suspected }

func (t *target) drainingOrGone() bool {
	s := t.lifecycle.State()
	return s == chart.BackendDraining || s == chart.BackendGone
}

// unchecked reports whether the first check after a takeover has not ended.
func (t *target) awaitingFirstCheck(now ids.Time) bool { return now.Before(t.firstCheckDeadline) }

// counted reports whether the target counts for the panic threshold.
func (t *target) countsForPanic() bool { return t.owned > 0 && !t.drainingOrGone() && !t.unverified }

// limit returns how many owned slots may be used now.
func (t *target) usableSlots(now ids.Time, panicking bool) int {
	switch {
	case t.drainingOrGone(), t.unverified, now.Before(t.pausedUntil), t.awaitingFirstCheck(now), t.suspected() && !panicking:
		return 0
	case t.lifecycle.State() == chart.BackendStarting && t.ownsFirstSlot:
		return min(t.owned, 1)
	case t.lifecycle.State() == chart.BackendStarting:
		return 0
	}
	return t.owned
}

// canProbe reports whether a request may be sent to the suspected target to
// find out whether it works again.
func (t *target) canProbe(now ids.Time) bool {
	return t.suspected() && !t.drainingOrGone() && !t.probeInFlight && t.inUse < t.owned && !now.Before(t.probeAt)
}

// shedPause returns the pause after the n-th consecutive shed request.
func shedPause(n int) time.Duration {
	return min(minShedBackOff<<min(n-1, 8), maxShedBackOff)
}
