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

// runClosedLoop sends requests to address from a number of callers, each of
// which sends its next request as soon as it has the response. It returns the
// wall-clock time and the CPU time per request.
func runClosedLoop(b *testing.B, address netip.AddrPort, callers, requests int) (wall, cpu time.Duration) {
	var remaining, failed atomic.Int64
	remaining.Store(int64(requests))
	var wg sync.WaitGroup
	begin, start := time.Now(), cpuTime(b)
	for range callers {
		c := newTestCaller(b)
		wg.Go(func() {
			for remaining.Add(-1) >= 0 {
				if m, ok := c.request(address, message.GET, nil, 2*time.Second); !ok || m.Code != message.Content {
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

// BenchmarkDatagramsPerCore reports the CPU time that an instance uses for one
// request, computed as the difference between requests through it and requests
// sent directly to the same backend server, and the resulting datagrams per
// second and core. The instance handles four datagrams for each request.
func BenchmarkDatagramsPerCore(b *testing.B) {
	const callers, requests = 32, 5000
	s := newTestSite(b, 64)
	backend := netip.MustParseAddrPort(s.startBackend())
	r := s.startDaemon(1)
	address := netip.AddrPortFrom(r.ip, s.serviceAddress.Port())
	newTestCaller(b).getUntilSuccess(address)
	var through, direct time.Duration
	for b.Loop() {
		_, t := runClosedLoop(b, address, callers, requests)
		_, d := runClosedLoop(b, backend, callers, requests)
		through, direct = through+t, direct+d
	}
	cost := float64((through - direct).Nanoseconds()) / float64(b.N)
	b.ReportMetric(cost, "cpu-ns/request")
	b.ReportMetric(4e9/cost, "datagrams/core-s")
}

// BenchmarkAddedLatency sends requests at half of the maximum rate of the
// instance on this machine, alternately through the instance and directly to a
// backend server. It reports both latencies and their difference.
func BenchmarkAddedLatency(b *testing.B) {
	const callers, requests = 16, 8000
	s := newTestSite(b, 64)
	backend := netip.MustParseAddrPort(s.startBackend())
	r := s.startDaemon(1)
	address := netip.AddrPortFrom(r.ip, s.serviceAddress.Port())
	newTestCaller(b).getUntilSuccess(address)
	timePerRequest, _ := runClosedLoop(b, address, 32, requests)
	// In each pairInterval, every caller sends a pair of requests, one by each
	// route.
	pairInterval := 2 * timePerRequest * callers
	var mu sync.Mutex
	latency := [2]*hdrhistogram.Histogram{hdrhistogram.New(1000, 5e9, 3), hdrhistogram.New(1000, 5e9, 3)}
	for b.Loop() {
		var wg sync.WaitGroup
		for k := range callers {
			c := newTestCaller(b)
			wg.Go(func() {
				next := time.Now().Add(pairInterval * time.Duration(k) / callers)
				for range requests / callers {
					time.Sleep(time.Until(next))
					next = next.Add(pairInterval)
					for route, to := range [2]netip.AddrPort{address, backend} {
						begin := time.Now()
						m, ok := c.request(to, message.GET, nil, 4*time.Second)
						elapsed := time.Since(begin)
						if !ok || m.Code != message.Content {
							b.Errorf("no response from %s", to)
							return
						}
						mu.Lock()
						_ = latency[route].RecordValue(elapsed.Nanoseconds())
						mu.Unlock()
					}
				}
			})
		}
		wg.Wait()
	}
	b.ReportMetric(1/(2*timePerRequest).Seconds(), "requests/s")
	for _, q := range []float64{50, 99} {
		name := map[float64]string{50: "p50", 99: "p99"}[q]
		through, direct := latency[0].ValueAtQuantile(q), latency[1].ValueAtQuantile(q)
		b.ReportMetric(float64(through)/1e3, name+"-through-µs")
		b.ReportMetric(float64(direct)/1e3, name+"-direct-µs")
		b.ReportMetric(float64(through-direct)/1e3, name+"-added-µs")
	}
}
