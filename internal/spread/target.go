package spread

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/chart"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// target is the state of a backend server on which this instance owns, or has owned,
// slots. Lifecycle and suspicion are independent state machines.
type target struct {
	name      ids.Target
	endpoint  ids.Endpoint
	url       string // URL of the health endpoint; empty when only requests are used to judge health
	lifecycle chart.Machine
	suspicion chart.Machine

	slots         int  // total slots of the target, over all owners
	owned         int  // slots owned by this instance
	ownsFirstSlot bool // owns slot 0, the only one in use during slow start
	inUse         int  // running requests, including those on slots no longer owned
	feeds         int

	usable     int // owned slots that are available now; see usableSlots
	free       int // max(usable - inUse, 0)
	next, prev int32
	inFreeList bool // is in the list of targets with a free slot

	// slowness is the moving average of run time divided by expected run time.
	slowness float64

	slowUntil   ids.Time // end of slow start, while the lifecycle state is starting
	pausedUntil ids.Time // end of the pause after a shed request
	// firstCheckDeadline is the end of the wait for the first health check after
	// slots were acquired; awaitingCheckSlots is the number of slots that wait.
	firstCheckDeadline ids.Time
	awaitingCheckSlots int
	consecutiveSheds   int  // number of requests shed in a row
	hasTimer           bool // is in the list of targets with a timer

	unverified          bool     // new, and no check or request has shown yet that it is up
	suspectedByRequests bool     // suspected because of requests, not of health checks
	suspectedAt         ids.Time // when suspicion began
	probeAt             ids.Time // earliest next probe request while suspected
	backOff             time.Duration
	probeInFlight       bool
	probeDue            bool // counted in Pool.probesDue

	consecutiveFailures int      // number of failed requests in a row
	lastSuccess         ids.Time // time of the last successful request
	lastDispatch        ids.Time
	failedChecks        int      // failed health checks in a row that requests do not contradict
	lastCheck           ids.Time // time of the last check result
	nextCheck           ids.Time
	configDraining      bool // draining by configuration, which a health check cannot end
}

// Parameters of health checks, suspicion and target selection.
const (
	checkInterval = time.Second
	// A single lost datagram must not put a target out of use. Two consecutive
	// failures without a success between them are rarely coincidence.
	failuresToSuspect = 2
	checksToSuspect   = 2
	// A failed health check is ignored while the last request succeeded within this
	// time and none was sent since: the health endpoint is then more likely at fault
	// than the target.
	successEvidenceAge = 10 * time.Second
	// Each probe request to a dead target fails for its caller, so the back-off
	// doubles. After a failed health check it is at least failedCheckBackOff, since a
	// probe is more likely to succeed while checks pass.
	minBackOff         = 500 * time.Millisecond
	maxBackOff         = 16 * time.Second
	minShedBackOff     = 20 * time.Millisecond
	maxShedBackOff     = 320 * time.Millisecond
	failedCheckBackOff = 2 * time.Second
	// A health check takes milliseconds. A longer wait would leave slots unused after
	// a change of ownership when the health endpoint does not respond.
	firstCheckWait = 200 * time.Millisecond
	// A new target whose health checks do not pass gets a probe request after this
	// time, because the health endpoint may be wrong.
	unverifiedWait = 5 * time.Second
	// slownessWindow is the window of the moving average of slowness. A target whose
	// slots are also used by other instances, because the membership lists differ,
	// queues requests and so shows a higher slowness.
	slownessWindow = 16
	// idleWeight is the penalty, in units of slowness, for each position in the list
	// of targets with a free slot. The average over slownessWindow varies by 0.09 when
	// run times vary by a half. With a larger weight only very slow targets would be
	// avoided.
	idleWeight = 0.02
	// slownessExpiry is the time without a request after which a slow target is
	// tried again. Otherwise it would get no requests and its average would never change.
	slownessExpiry = time.Second
	// pickLimit is the maximum number of targets that pickTarget compares.
	pickLimit = 8
	// Panic mode needs at least this number of targets: in a very small pool a single
	// dead target would already be the majority.
	panicTargets = 3
)

func (t *target) suspected() bool { return t.suspicion.State() == chart.Suspected }

func (t *target) drainingOrGone() bool {
	s := t.lifecycle.State()
	return s == chart.BackendDraining || s == chart.BackendGone
}

// awaitingFirstCheck reports whether the target waits for its first health check after
// slots were acquired.
func (t *target) awaitingFirstCheck(now ids.Time) bool { return now.Before(t.firstCheckDeadline) }

// countsForPanic reports whether the target counts for the panic threshold.
func (t *target) countsForPanic() bool { return t.owned > 0 && !t.drainingOrGone() && !t.unverified }

// usableSlots returns the number of owned slots that are available now, in use or not.
func (t *target) usableSlots(now ids.Time, panicMode bool) int {
	switch {
	case t.drainingOrGone(), t.unverified, now.Before(t.pausedUntil), t.awaitingFirstCheck(now), t.suspected() && !panicMode:
		return 0
	case t.lifecycle.State() == chart.BackendStarting && t.ownsFirstSlot:
		return min(t.owned, 1)
	case t.lifecycle.State() == chart.BackendStarting:
		return 0
	}
	return t.owned
}

// canProbe reports whether a probe request may be sent now, to find out whether the
// suspected target works again.
func (t *target) canProbe(now ids.Time) bool {
	return t.suspected() && !t.drainingOrGone() && !t.probeInFlight && t.inUse < t.owned && !now.Before(t.probeAt)
}

// shedPause returns how long a target is not used after its n-th consecutive shed
// request.
func shedPause(n int) time.Duration {
	return min(minShedBackOff<<min(n-1, 8), maxShedBackOff)
}
