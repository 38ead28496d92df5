package daemon

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/message"
)

// closedLoop sends requests to at from window callers without a pause and
// returns the time and the processor time that each took.
func closedLoop(b *testing.B, at netip.AddrPort, window, requests int) (wall, cpu time.Duration) {
	var left, failed atomic.Int64
	left.Store(int64(requests))
	var wg sync.WaitGroup
	begin, start := time.Now(), cpuTime(b)
	for range window {
		c := newCaller(b)
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				if m, ok := c.try(at, message.GET, nil, 2*time.Second); !ok || m.Code != message.Content {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	assert.Equal(b, failed.Load(), int64(0))
	n := time.Duration(requests)
	return time.Since(begin) / n, (cpuTime(b) - start) / n
}

// BenchmarkDatagramsPerCore reports the processor time that an instance takes
// for one request, as the difference between requests through it and requests
// straight to the same backend server, and the datagrams that one core
// therefore handles in a second. A request is four datagrams at the instance.
func BenchmarkDatagramsPerCore(b *testing.B) {
	const window, requests = 32, 5000
	s := newSite(b, 64)
	backend := netip.MustParseAddrPort(s.startBackend())
	r := s.start(1)
	at := netip.AddrPortFrom(r.ip, s.service.Port())
	newCaller(b).get(at)
	var through, direct time.Duration
	for b.Loop() {
		_, t := closedLoop(b, at, window, requests)
		_, d := closedLoop(b, backend, window, requests)
		through, direct = through+t, direct+d
	}
	cost := float64((through - direct).Nanoseconds()) / float64(b.N)
	b.ReportMetric(cost, "cpu-ns/request")
	b.ReportMetric(4e9/cost, "datagrams/core-s")
}

// BenchmarkAddedLatency sends requests at half of the rate that the instance
// reaches here, by turns through it and straight to a backend server, and
// reports both latencies and their difference.
func BenchmarkAddedLatency(b *testing.B) {
	const callers, requests = 16, 8000
	s := newSite(b, 64)
	backend := netip.MustParseAddrPort(s.startBackend())
	r := s.start(1)
	at := netip.AddrPortFrom(r.ip, s.service.Port())
	newCaller(b).get(at)
	full, _ := closedLoop(b, at, 32, requests)
	// Each caller makes a pair of requests, one each way, every pause.
	pause := 2 * full * callers
	var mu sync.Mutex
	latency := [2]*hdrhistogram.Histogram{hdrhistogram.New(1000, 5e9, 3), hdrhistogram.New(1000, 5e9, 3)}
	for b.Loop() {
		var wg sync.WaitGroup
		for k := range callers {
			c := newCaller(b)
			wg.Go(func() {
				next := time.Now().Add(pause * time.Duration(k) / callers)
				for range requests / callers {
					time.Sleep(time.Until(next))
					next = next.Add(pause)
					for way, to := range [2]netip.AddrPort{at, backend} {
						begin := time.Now()
						m, ok := c.try(to, message.GET, nil, 4*time.Second)
						took := time.Since(begin)
						if !ok || m.Code != message.Content {
							b.Errorf("no response from %s", to)
							return
						}
						mu.Lock()
						_ = latency[way].RecordValue(took.Nanoseconds())
						mu.Unlock()
					}
				}
			})
		}
		wg.Wait()
	}
	b.ReportMetric(1/(2*full).Seconds(), "requests/s")
	for _, q := range []float64{50, 99} {
		name := map[float64]string{50: "p50", 99: "p99"}[q]
		through, direct := latency[0].ValueAtQuantile(q), latency[1].ValueAtQuantile(q)
		b.ReportMetric(float64(through)/1e3, name+"-through-µs")
		b.ReportMetric(float64(direct)/1e3, name+"-direct-µs")
		b.ReportMetric(float64(through-direct)/1e3, name+"-added-µs")
	}
}
