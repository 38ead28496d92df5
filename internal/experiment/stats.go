package experiment

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// windowLength is the resolution of the time series of a run.
const windowLength = 100 * time.Millisecond

// window holds the counts of one time window of a run.
type window struct {
	firstSent            int                           // first transmissions of requests
	transmissions        int                           // all transmissions
	served               int                           // served requests, by time of completion
	refused              int                           // refusals, by time of refusal
	work                 time.Duration                 // run time of served requests
	partnerWork          map[ids.Partner]time.Duration // run time of served requests, by partner
	latencies            []time.Duration               // of short requests first sent in this window and served on the first attempt
	firstAttemptUnserved int                           // short requests first sent in this window and not served on the first attempt
	retries              int                           // attempts after a refusal
	retriesServed        int                           // attempts after a refusal that were served
}

// stats are the measurements of one run.
type stats struct {
	cluster                   *cluster
	windows                   []window
	short                     *hdrhistogram.Histogram // µs from first transmission to response
	long                      *hdrhistogram.Histogram
	measureFrom, measureTo    time.Duration // the histograms contain requests first sent in this time span
	relays                    int
	checks                    int
	duplicates                int // responses that callers ignored, such as those to settled requests
	failures                  int // requests that were neither served nor refused
	refusals                  int
	refusalsWithoutRetryAfter int // refusals without a retry-after time
	redispatched              int // requests that were sent to backend servers more than once
	requests                  int
	longSent                  int           // long requests first sent between measureFrom and measureTo
	longestWait               time.Duration // longest latency of a long request, without its run time
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
		s.windowAt(r.firstSent).firstAttemptUnserved++
	}
}

func (s *stats) recordSettled(r *request, result callerResult) {
	if r.dispatches > 1 {
		s.redispatched++
	}
	if result != served {
		if result == failed {
			s.failures++
			if r.attempts == 1 && !r.long {
				s.windowAt(r.firstSent).firstAttemptUnserved++
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
		sentWindow := s.windowAt(r.firstSent)
		sentWindow.latencies = append(sentWindow.latencies, s.cluster.now.Sub(r.firstSent))
	}
	if sent := r.firstSent.Sub(epoch); sent < s.measureFrom || sent >= s.measureTo {
		return
	}
	h := s.short
	if r.long {
		h = s.long
		s.longestWait = max(s.longestWait, s.cluster.now.Sub(r.firstSent)-r.runTime)
	}
	// This cannot fail, since the highest trackable value exceeds any deadline.
	_ = h.RecordValue(max(1, s.cluster.now.Sub(r.firstSent).Microseconds()))
}

// sum returns the totals of the windows in [from, to).
func (s *stats) sum(from, to time.Duration) window {
	total := window{partnerWork: make(map[ids.Partner]time.Duration)}
	for i := int(from / windowLength); i < int(to/windowLength) && i < len(s.windows); i++ {
		w := &s.windows[i]
		total.firstSent += w.firstSent
		total.transmissions += w.transmissions
		total.served += w.served
		total.refused += w.refused
		total.work += w.work
		total.firstAttemptUnserved += w.firstAttemptUnserved
		total.retries += w.retries
		total.retriesServed += w.retriesServed
		total.latencies = append(total.latencies, w.latencies...)
		for p, d := range w.partnerWork {
			total.partnerWork[p] += d
		}
	}
	return total
}

// isNormal reports whether service in the window was normal: at least 99% of the
// short requests were served on the first attempt, and the 99th percentile of
// their latency is at most limit.
func (w *window) isNormal(limit time.Duration) bool {
	total := len(w.latencies) + w.firstAttemptUnserved
	return float64(len(w.latencies)) >= 0.99*float64(total) && percentile(w.latencies, 0.99) <= limit
}

// recoveryTime returns the time from start to the end of the last window of
// length span, within period after start, in which service was not normal.
func (s *stats) recoveryTime(start, period time.Duration, limit time.Duration) time.Duration {
	const span = 5 * windowLength
	end := start
	for t := start; t+span <= start+period; t += windowLength {
		if w := s.sum(t, t+span); !w.isNormal(limit) {
			end = t + span
		}
	}
	return end - start
}

// imbalance returns the greatest slot time of a live backend server since the
// last call of resetBusyTime, divided by the mean.
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

// resetBusyTime starts a new measurement of imbalance.
func (c *cluster) resetBusyTime() {
	for _, b := range c.backends {
		b.updateBusyTime()
		b.busyTime = 0
	}
}
