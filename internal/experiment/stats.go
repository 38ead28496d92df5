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
	first    int // first transmissions
	sent     int // all transmissions
	served   int // responses, by time of completion
	refused  int // refusals, by time of refusal
	work     time.Duration
	partner  map[ids.Partner]time.Duration // work by partner
	latency  []time.Duration               // of short requests first sent in this window and served at once
	unserved int                           // short requests first sent in this window and not served at once
	returned int                           // attempts after a refusal
	returnOK int                           // of these, served
}

// stats are the measurements of one run.
type stats struct {
	c           *cluster
	windows     []window
	short       *hdrhistogram.Histogram // µs from first transmission to response
	long        *hdrhistogram.Histogram
	from, to    time.Duration // the histograms hold requests sent in between
	relays      int
	checks      int
	duplicates  int // responses to requests that were settled before
	failures    int // settled without a response or refusal
	refusals    int
	noTime      int // refusals without a time to come back
	repeated    int // requests that were sent to backend servers more than once
	requests    int
	longSent    int           // long requests first sent in between
	longestWait time.Duration // of a long request, beyond its run time
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 300_000_000, 3) }

func newStats(c *cluster) *stats {
	return &stats{c: c, short: newHistogram(), long: newHistogram(), to: time.Hour}
}

func (s *stats) at(t ids.Time) *window {
	i := int(t.Sub(epoch) / windowLength)
	for len(s.windows) <= i {
		s.windows = append(s.windows, window{partner: make(map[ids.Partner]time.Duration)})
	}
	return &s.windows[i]
}

func (s *stats) first(r *request) {
	s.requests++
	if sent := s.c.elapsed(); r.long && sent >= s.from && sent < s.to {
		s.longSent++
	}
	s.at(s.c.now).first++
}

func (s *stats) transmitted(r *request) {
	w := s.at(s.c.now)
	w.sent++
	if r.tries > 1 && r.repeats == 0 {
		w.returned++
	}
}

func (s *stats) refusal(r *request, retryAfter time.Duration) {
	s.refusals++
	s.at(s.c.now).refused++
	if retryAfter <= 0 {
		s.noTime++
	}
	if r.tries == 1 && !r.long {
		s.at(r.sent).unserved++
	}
}

func (s *stats) settled(r *request, a answer) {
	if r.dispatched > 1 {
		s.repeated++
	}
	if a != served {
		if a == failed {
			s.failures++
			if r.tries == 1 && !r.long {
				s.at(r.sent).unserved++
			}
		}
		return
	}
	w := s.at(s.c.now)
	w.served++
	w.work += r.run
	w.partner[r.mix.partner] += r.run
	if r.tries > 1 {
		s.at(r.attempt).returnOK++
	} else if !r.long {
		first := s.at(r.sent)
		first.latency = append(first.latency, s.c.now.Sub(r.sent))
	}
	if sent := r.sent.Sub(epoch); sent < s.from || sent >= s.to {
		return
	}
	h := s.short
	if r.long {
		h = s.long
		s.longestWait = max(s.longestWait, s.c.now.Sub(r.sent)-r.run)
	}
	// The highest trackable value is beyond any deadline, so it cannot fail.
	_ = h.RecordValue(max(1, s.c.now.Sub(r.sent).Microseconds()))
}

// sum adds up the windows of a time span.
func (s *stats) sum(from, to time.Duration) window {
	total := window{partner: make(map[ids.Partner]time.Duration)}
	for i := int(from / windowLength); i < int(to/windowLength) && i < len(s.windows); i++ {
		w := &s.windows[i]
		total.first += w.first
		total.sent += w.sent
		total.served += w.served
		total.refused += w.refused
		total.work += w.work
		total.unserved += w.unserved
		total.returned += w.returned
		total.returnOK += w.returnOK
		total.latency = append(total.latency, w.latency...)
		for p, d := range w.partner {
			total.partner[p] += d
		}
	}
	return total
}

// normal reports whether a window is like normal service: at least 99% of the
// requests were served at once and their 99th percentile is below limit.
func (w *window) normal(limit time.Duration) bool {
	total := len(w.latency) + w.unserved
	return float64(len(w.latency)) >= 0.99*float64(total) && percentile(w.latency, 0.99) <= limit
}

// recovery returns the time from since until the first window of length span
// from which service stays normal for the following check.
func (s *stats) recovery(since, check time.Duration, limit time.Duration) time.Duration {
	const span = 5 * windowLength
	end := since
	for t := since; t+span <= since+check; t += windowLength {
		if w := s.sum(t, t+span); !w.normal(limit) {
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
		b.account()
		peak = max(peak, b.busy)
		total += b.busy
		n++
	}
	if total == 0 {
		return 0
	}
	return float64(peak) * float64(n) / float64(total)
}

// resetBusy begins a new measurement of imbalance.
func (c *cluster) resetBusy() {
	for _, b := range c.backends {
		b.account()
		b.busy = 0
	}
}
