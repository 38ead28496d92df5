package experiment

import (
	"math"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// trafficMix describes the requests of a group of callers.
type trafficMix struct {
	partner      ids.Partner
	meanShortRun time.Duration
	longShare    float64 // fraction of the requests that run longFactor times longer
	// unpredictable makes long requests use the paths of short ones, so that the
	// run time cannot be predicted from the path.
	unpredictable bool
	// nonIdempotentShare is the fraction of the short requests that are not
	// idempotent.
	nonIdempotentShare float64
	// load returns the offered work of first attempts as a fraction of the
	// capacity of all slots, at a time since the start of the run.
	load     func(time.Duration) float64
	peakLoad float64 // upper bound of load
}

const (
	longFactor = 50 // run time of a long request as a multiple of that of a short one
	shortPaths = 40 // number of paths of short requests
	longPaths  = 10 // number of paths of long requests
	// runShape is the shape of the gamma distribution of run times. It gives a
	// coefficient of variation of one half.
	runShape = 4
)

// meanRunTime returns the mean run time of all requests.
func (m *trafficMix) meanRunTime() time.Duration {
	return time.Duration(float64(m.meanShortRun) * (1 - m.longShare + m.longShare*longFactor))
}

func constantLoad(v float64) (func(time.Duration) float64, float64) {
	return func(time.Duration) float64 { return v }, v
}

// loadSwing returns a load that rises from low to high within ramp, starting at
// time from, stays there for hold, and falls back to low within ramp.
func loadSwing(low, high float64, from, ramp, hold time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		rising := float64(t-from) / float64(ramp)
		falling := float64(from+2*ramp+hold-t) / float64(ramp)
		return low + (high-low)*min(1, max(0, min(rising, falling)))
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
	firstSent       ids.Time // time of the first transmission
	attemptStart    ids.Time // start of the current attempt
	attempts        int      // number of attempts, including those after a refusal
	retransmissions int      // retransmissions of the current attempt
	settled         bool     // served, failed, or refused at the last attempt
	acked           bool
	currentInstance *instance // instance that has the request
	retryPending    bool      // refused, and waiting for the retry-after time
	// The fields below are used by coreNode only: the admission token, the number
	// in the CoAP token, the message id, and the attempt and length of the
	// admission token for which it was assigned.
	echo       []byte
	serial     uint32
	messageID  uint16
	messageKey [2]int

	dispatches int // number of times it was sent to a backend server
}

// newRequest returns a random request of m.
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

// gammaRunTime returns a gamma distributed run time with the given mean: the sum
// of runShape exponentially distributed times.
func gammaRunTime(s *sim, mean time.Duration) time.Duration {
	product := 1.0
	for range runShape {
		product *= 1 - s.rng.Float64()
	}
	return time.Duration(-math.Log(product) / runShape * float64(mean))
}

// generate schedules arrivals of m as a Poisson process with the rate of
// m.load, by thinning, and calls issue for each.
func (m *trafficMix) generate(s *sim, slots int, end time.Duration, issue func()) {
	peakRate := m.peakLoad * float64(slots) / m.meanRunTime().Seconds()
	if peakRate <= 0 {
		return
	}
	var arrive func()
	arrive = func() {
		if s.elapsed() >= end {
			return
		}
		if s.rng.Float64()*m.peakLoad < m.load(s.elapsed()) {
			issue()
		}
		s.after(time.Duration(s.rng.ExpFloat64()/peakRate*float64(time.Second)), arrive)
	}
	s.after(0, arrive)
}
