package caller

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arbutusdock.example/arbutusdock/internal/standin/wire"
)

// stats collects the counters of one caller process.
type stats struct {
	mu        sync.Mutex
	result    wire.CallerResult
	latencies map[string]*hdrhistogram.Histogram // in microseconds, by class
}

func newStats(user string) *stats {
	return &stats{
		result:    wire.CallerResult{User: user, Classes: map[string]*wire.ClassCounts{}},
		latencies: map[string]*hdrhistogram.Histogram{},
	}
}

func (s *stats) updateClass(name string, change func(*wire.ClassCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.result.Classes[name]
	if c == nil {
		c = &wire.ClassCounts{}
		s.result.Classes[name] = c
	}
	change(c)
}

func (s *stats) recordLatency(class string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.latencies[class]
	if h == nil {
		h = hdrhistogram.New(1, int64(2*time.Minute/time.Microsecond), 3)
		s.latencies[class] = h
	}
	_ = h.RecordValue(d.Microseconds()) // cannot exceed the range: all operations have a time limit
}

func (s *stats) addFailure(f wire.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Failures = append(s.result.Failures, f)
}

func (s *stats) addRefusal(id string, notRun, copied bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := &s.result.Deferred
	switch {
	case notRun:
		list = &s.result.Refused
	case copied:
		list = &s.result.DeferredCopies
	}
	*list = append(*list, id)
}

func (s *stats) updateFeeds(change func(*wire.FeedCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.result.Feeds)
}

// summary returns the counters with the latency quantiles.
func (s *stats) summary() wire.CallerResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, h := range s.latencies {
		c := s.result.Classes[name]
		c.P50, c.P90, c.P99, c.Max = h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max()
	}
	return s.result
}
