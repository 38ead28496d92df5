package experiment

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// windowLength is the resolution of the time series of a run.
const windowLength = 100 * time.Millisecond

// window counts what happened in one part of a run.
type window struct {
	firstSent       int // first transmissions
	transmissions   int // all transmissions
	served          int // responses, by time of completion
	refused         int // refusals, by time of refusal
	work            time.Duration
	partnerWork     map[ids.Partner]time.Duration // work by partner
	latencies       []time.Duration               // of short requests first sent in this window and served at once
	notServedAtOnce int                           // short requests first sent in this window and not served at once
	retries         int                           // attempts after a refusal
	retriesServed   int                           // of these, served
}

// stats are the measurements of one run.
type stats struct {
	cluster                   *cluster
	windows                   []window
	short                     *hdrhistogram.Histogram // µs from first transmission to response
	long                      *hdrhistogram.Histogram
	measureFrom, measureTo    time.Duration // the histograms hold requests sent in between
	relays                    int
	checks                    int
	duplicates                int // responses to requests that were settled before
	failures                  int // settled without a response or refusal
	refusals                  int
	refusalsWithoutRetryAfter int // refusals without a time to come back
	redispatched              int // requests that were sent to backend servers more than once
	requests                  int
	longSent                  int           // long requests first sent in between
	longestWait               time.Duration // of a long request, beyond its run time
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 300_000_000, 3) }

func newStats(c *cluster) *stats {
	return &stats{cluster: c, short: newHistogram(), long: newHistogram(), measureTo: time.Hour}
}

func (s *stats) windowAt(t ids.Time) *window {
	i := int(t.Sub(epoch) / windowLength)
	for len(s.windows) <= i {
		s.windows = append(s.windows, window{partnerWork: make(map[ids.Partner]time.Duration)})
	}
	return &s.windows[i]
}

func (s *stats) recordFirst(r *request) {
	s.requests++
	if sent := s.cluster.elapsed(); r.long && sent >= s.measureFrom && sent < s.measureTo {
		s.longSent++
	}
	s.windowAt(s.cluster.now).firstSent++
}

func (s *stats) recordTransmission(r *request) {
	w := s.windowAt(s.cluster.now)
	w.transmissions++
	if r.attempts > 1 && r.retransmissions == 0 {
		w.retries++
	}
}

func (s *stats) recordRefusal(r *request, retryAfter time.Duration) {
	s.refusals++
	s.windowAt(s.cluster.now).refused++
	if retryAfter <= 0 {
		s.refusalsWithoutRetryAfter++
	}
	if r.attempts == 1 && !r.long {
		s.windowAt(r.firstSent).notServedAtOnce++
	}
}

func (s *stats) recordSettled(r *request, a callerResult) {
	if r.dispatches > 1 {
		s.redispatched++
	}
	if a != served {
		if a == failed {
			s.failures++
			if r.attempts == 1 && !r.long {
				s.windowAt(r.firstSent).notServedAtOnce++
			}
		}
		return
	}
	w := s.windowAt(s.cluster.now)
	w.served++
	w.work += r.runTime
	w.partnerWork[r.traffic.partner] += r.runTime
	if r.attempts > 1 {
		s.windowAt(r.attemptStart).retriesServed++
	} else if !r.long {
		first := s.windowAt(r.firstSent)
		first.latencies = append(first.latencies, s.cluster.now.Sub(r.firstSent))
	}
	if sent := r.firstSent.Sub(epoch); sent < s.measureFrom || sent >= s.measureTo {
		return
	}
	h := s.short
	if r.long {
		h = s.long
		s.longestWait = max(s.longestWait, s.cluster.now.Sub(r.firstSent)-r.runTime)
	}
	// The highest trackable value is beyond any deadline, so it cannot fail.
	_ = h.RecordValue(max(1, s.cluster.now.Sub(r.firstSent).Microseconds()))
}

// sum adds up the windows of a time span.
func (s *stats) sum(from, to time.Duration) window {
	total := window{partnerWork: make(map[ids.Partner]time.Duration)}
	for i := int(from / windowLength); i < int(to/windowLength) && i < len(s.windows); i++ {
		w := &s.windows[i]
		total.firstSent += w.firstSent
		total.transmissions += w.transmissions
		total.served += w.served
		total.refused += w.refused
		total.work += w.work
		total.notServedAtOnce += w.notServedAtOnce
		total.retries += w.retries
		total.retriesServed += w.retriesServed
		total.latencies = append(total.latencies, w.latencies...)
		for p, d := range w.partnerWork {
			total.partnerWork[p] += d
		}
	}
	return total
}

// normal reports whether a window is like normal service: at least 99% of the
// requests were served at once and their 99th percentile is below limit.
func (w *window) isNormal(limit time.Duration) bool {
	total := len(w.latencies) + w.notServedAtOnce
	return float64(len(w.latencies)) >= 0.99*float64(total) && percentile(w.latencies, 0.99) <= limit
}

// recovery returns the time from since until the first window of length span
// from which service stays normal for the following check.
func (s *stats) recoveryTime(since, check time.Duration, limit time.Duration) time.Duration {
	const span = 5 * windowLength
	end := since
	for t := since; t+span <= since+check; t += windowLength {
		if w := s.sum(t, t+span); !w.isNormal(limit) {
			end = t + span
		}
	}
	return end - since
}

// imbalance returns the peak over the mean of the slot time used by the
// backend servers since the last reset.
func (c *cluster) imbalance() float64 {
	var peak, total time.Duration
	n := 0
	for _, b := range c.backends {
		if b.dead {
			continue
		}
		b.updateBusyTime()
		peak = max(peak, b.busyTime)
		total += b.busyTime
		n++
	}
	if total == 0 {
		return 0
	}
	return float64(peak) * float64(n) / float64(total)
}

// resetBusy begins a new measurement of imbalance.
func (c *cluster) resetBusyTime() {
	for _, b := range c.backends {
		b.updateBusyTime()
		b.busyTime = 0
	}
}
