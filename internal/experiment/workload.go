package experiment

import (
	"math"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// mix describes the requests of one group of callers.
type trafficMix struct {
	partner      ids.Partner
	meanShortRun time.Duration
	longShare    float64 // part of the requests that run longFactor times longer
	// hidden makes long requests use the paths of short ones, so that nothing
	// about them can be predicted.
	unpredictable bool
	// claims is the part of the requests that are not idempotent.
	nonIdempotentShare float64
	// load is the offered work of first attempts as a share of the capacity
	// of all slots, by time since the start.
	load     func(time.Duration) float64
	peakLoad float64 // greatest value of load
}

const (
	longFactor = 50
	shortPaths = 40
	longPaths  = 10
	// Run times are gamma distributed with this shape: a coefficient of
	// variation of one half.
	runShape = 4
)

// mean returns the mean run time of a request.
func (m *trafficMix) meanRunTime() time.Duration {
	return time.Duration(float64(m.meanShortRun) * (1 - m.longShare + m.longShare*longFactor))
}

func constantLoad(v float64) (func(time.Duration) float64, float64) {
	return func(time.Duration) float64 { return v }, v
}

// swing rises from low to high within ramp at time from, holds for hold, and
// falls back within ramp.
func loadSwing(low, high float64, from, ramp, hold time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		up := float64(t-from) / float64(ramp)
		down := float64(from+2*ramp+hold-t) / float64(ramp)
		return low + (high-low)*min(1, max(0, min(up, down)))
	}
}

// request is one request of a caller, through all its transmissions.
type request struct {
	traffic         *trafficMix
	callerIndex     int
	path            uint64
	runTime         time.Duration
	long            bool
	nonIdempotent   bool
	firstSent       ids.Time // first transmission
	attemptStart    ids.Time // last transmission that is not a repeat
	attempts        int      // attempts after a refusal included
	retransmissions int      // retransmissions of the current attempt
	settled         bool     // answered, refused for good or given up
	acked           bool
	receiver        *instance // has the request
	retryPending    bool      // refused, waiting for the time to come back
	// Used with the core only: the admission token, the number in the CoAP
	// token, and the message id with the attempt that it belongs to.
	echo       []byte
	serial     uint32
	messageID  uint16
	messageKey [2]int

	dispatches int // times that it was sent to a backend server
}

// draw returns a new request of m.
func (m *trafficMix) newRequest(s *sim, callers int) *request {
	r := &request{traffic: m, callerIndex: s.rng.IntN(callers)}
	r.long = s.rng.Float64() < m.longShare
	r.nonIdempotent = !r.long && s.rng.Float64() < m.nonIdempotentShare
	r.runTime = gammaRunTime(s, m.meanShortRun)
	if r.long {
		r.runTime *= longFactor
	}
	if r.long && !m.unpredictable {
		r.path = ids.Mix(0x10, uint64(s.rng.IntN(longPaths)))
	} else {
		r.path = ids.Mix(0x5, uint64(s.rng.IntN(shortPaths)))
	}
	return r
}

// gamma draws a run time with the given mean: the sum of runShape exponential
// times.
func gammaRunTime(s *sim, mean time.Duration) time.Duration {
	product := 1.0
	for range runShape {
		product *= 1 - s.rng.Float64()
	}
	return time.Duration(-math.Log(product) / runShape * float64(mean))
}

// generate schedules the Poisson arrivals of m by thinning and calls issue for
// each.
func (m *trafficMix) generate(s *sim, slots int, end time.Duration, issue func()) {
	highest := m.peakLoad * float64(slots) / m.meanRunTime().Seconds()
	if highest <= 0 {
		return
	}
	var next func()
	next = func() {
		if s.elapsed() >= end {
			return
		}
		if s.rng.Float64()*m.peakLoad < m.load(s.elapsed()) {
			issue()
		}
		s.after(time.Duration(s.rng.ExpFloat64()/highest*float64(time.Second)), next)
	}
	s.after(0, next)
}
