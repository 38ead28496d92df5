// Package hedge decides when a second attempt is made for something that takes longer than it
// should, and how many such attempts there may be. It performs no I/O and reads no clock.
package hedge

import "time"

const (
	// quantile is the share of times that are shorter than the learned one. A second attempt
	// is made after twice that.
	quantile = 0.99
	// step is the relative change of the learned time with each observation beyond it.
	step = 0.05
	// minObservations is the number of times from which one is learned.
	minObservations = 200
	initialTime     = 20 * time.Millisecond
	// MinDelay keeps jitter of the network and of the processor from causing attempts.
	MinDelay    = 10 * time.Millisecond
	delayFactor = 2
)

// Latency learns a high quantile of the times of first attempts. Its zero value is ready for
// use.
type Latency struct {
	learned      time.Duration
	observations int
}

// Observe records the time of a first attempt that succeeded.
func (l *Latency) Observe(took time.Duration) {
	if l.observations == 0 {
		l.learned = initialTime
	}
	l.observations = min(l.observations+1, minObservations)
	if took > l.learned {
		l.learned += time.Duration(step * quantile * float64(l.learned))
	} else {
		l.learned -= time.Duration(step * (1 - quantile) * float64(l.learned))
	}
}

// Delay returns the time after which a second attempt is made, and false while too few times
// are known.
func (l *Latency) Delay() (time.Duration, bool) {
	return max(delayFactor*l.learned, MinDelay), l.observations >= minObservations
}

// maxBudget bounds the attempts that may be made at once after a quiet time, when a backend
// server stops.
const maxBudget = 20

// Budget limits the second attempts to a share of the first ones. Its zero value allows none.
type Budget struct {
	Share float64 // extra attempts for each first one
	saved float64
}

// Earn records a first attempt.
func (b *Budget) Earn() { b.saved = min(b.saved+b.Share, maxBudget) }

// Spend reports whether a second attempt may be made, and counts it.
func (b *Budget) Spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
