package daemon

import (
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/ring"
	"arbutusdock.example/arbutusdock/internal/telemetry"
)

// BenchmarkSocketPath sends requests through a service socket, its reader, the
// queue of caller packets, an encoder in place of the core, the write queue and
// the writer, back to the sender, with at most 64 datagrams in flight.
func BenchmarkSocketPath(b *testing.B) {
	const maxInFlight = 64
	receiveQueue, service := ring.New[*packet](4096), ids.Service("counter")
	address := netip.AddrPortFrom(loopback, freePort(b))
	s, err := openSocket(address, &service, receiveQueue, newWriter(4096), newSocketCounts(telemetry.NewRegistry(), "caller"))
	assert.NilError(b, err)
	defer s.close()
	go func() {
		for {
			select {
			case p := <-receiveQueue.Out():
				out := newPacket()
				out.data, _ = message.Encode(out.data, &message.Outgoing{Template: p.data, Type: message.Acknowledgement,
					Code: message.Content, ID: p.message.ID, Token: p.message.Token, DeadlineMS: 300})
				out.peer = p.peer
				p.release()
				s.send(out)
			case <-s.readerDone:
				return
			}
		}
	}()
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(address))
	assert.NilError(b, err)
	defer func() { _ = c.Close() }()
	request, err := message.Encode(nil, &message.Outgoing{Code: message.GET, ID: 1,
		Token: message.Token{Bytes: [8]byte{1, 2, 3, 4}, Len: 4}, Payload: make([]byte, 64)})
	assert.NilError(b, err)
	inFlight, received := make(chan struct{}, maxInFlight), make(chan struct{})
	go func() {
		defer close(received)
		buf := make([]byte, 2048)
		for range b.N {
			_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
			if _, err := c.Read(buf); err != nil {
				b.Errorf("datagram lost: %v", err)
				return
			}
			<-inFlight
		}
	}()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		inFlight <- struct{}{}
		_, err := c.Write(request)
		assert.NilError(b, err)
	}
	<-received
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "datagrams/s")
}

// BenchmarkInstance sends idempotent requests through one complete instance to
// a backend server that responds immediately, with at most 32 requests in
// flight. Callers, backend server and instance share this process, so the
// reported CPU time is the sum of all three.
func BenchmarkInstance(b *testing.B) {
	const maxInFlight = 32
	s := newTestSite(b, 64)
	r := s.startDaemon(1)
	address := netip.AddrPortFrom(r.ip, s.serviceAddress.Port())
	newTestCaller(b).getUntilSuccess(address)
	b.ReportAllocs()
	b.ResetTimer()
	start := cpuTime(b)
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var wg sync.WaitGroup
	var failed atomic.Int64
	for range maxInFlight {
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
	b.StopTimer()
	p := r.daemon.loop.published.Load()
	assert.Equal(b, failed.Load(), int64(0))
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64((cpuTime(b)-start).Nanoseconds())/float64(b.N), "cpu-ns/request")
	b.Logf("requests %d, answered %d, refused %d; decisions of the last second: p50 %d ns, p99 %d ns",
		p.counts.Requests, p.counts.Answered, p.counts.Refused, p.p50, p.p99)
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkControlTraffic starts five instances with the default control budget.
// It reports the mean control bytes per second and the CPU use of an idle
// instance, and the largest number of control bytes that any instance sent while
// joining and in the following 10 s.
func BenchmarkControlTraffic(b *testing.B) {
	const instances, period = 5, 10 * time.Second
	for range b.N {
		s := newTestSite(b, 2)
		first := s.startDaemon(1)
		for n := 2; n <= instances; n++ {
			s.startDaemon(n, first.seed())
		}
		sent := func() (sum, most int64) {
			for _, r := range s.daemons {
				v := r.daemon.metrics.Counter("link_control_sent_bytes_total").Value()
				sum, most = sum+v, max(most, v)
			}
			return sum, most
		}
		for _, r := range s.daemons {
			newTestCaller(b).getUntilSuccess(netip.AddrPortFrom(r.ip, s.serviceAddress.Port()))
		}
		time.Sleep(period)
		bytesBefore, joinBytes := sent()
		cpu := cpuTime(b)
		time.Sleep(period)
		after, _ := sent()
		b.ReportMetric(float64((cpuTime(b)-cpu).Nanoseconds())/instances/float64(period.Nanoseconds())*100, "%core/instance")
		b.ReportMetric(float64(after-bytesBefore)/instances/period.Seconds(), "control-B/s/instance")
		b.ReportMetric(float64(joinBytes), "B-joining-and-10s")
		dropped := int64(0)
		for _, r := range s.daemons {
			dropped += r.daemon.metrics.Counter("link_control_budget_dropped_total").Value()
		}
		b.ReportMetric(float64(dropped), "heartbeats-over-budget")
	}
}

// BenchmarkServiceSockets reports the heap and stack memory of one open, idle
// service socket.
func BenchmarkServiceSockets(b *testing.B) {
	const sockets = 500
	memoryInUse := func() int64 {
		runtime.GC()
		runtime.GC() // a sync.Pool releases its buffers only in the second collection
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc + m.StackInuse)
	}
	for range b.N {
		l := newServiceListeners(loopback, ring.New[*packet](8), 4096, slog.New(slog.DiscardHandler), telemetry.NewRegistry())
		services := make([]config.Service, sockets)
		for i := range services {
			services[i] = config.Service{Name: ids.Service(fmt.Sprint("s", i)), Port: freePort(b)}
		}
		before := memoryInUse()
		l.apply(time.Now(), services)
		time.Sleep(200 * time.Millisecond)
		b.ReportMetric(float64(memoryInUse()-before)/float64(len(l.byAddress)), "B/socket")
		l.close()
	}
}
