package link

import (
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

// cpuTime returns the processor time of this process.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkDataMessages sends relays of a 128-byte datagram over one data
// lane. Both ends run in this process, so that the CPU time is that of
// encoding, sending, receiving and decoding together.
func BenchmarkDataMessages(b *testing.B) {
	f := newFleet(b)
	var received atomic.Int64
	f.start("b", func(c *Config) { c.Receive = func(*peerwire.Message) { received.Add(1) } })
	a, _ := f.start("a", nil)
	m := relay("a", 0)
	m.Relay.Datagram = make([]byte, 128)
	a.Send("b", m)
	for received.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	b.ReportAllocs()
	start, want := cpuTime(b), received.Load()
	for b.Loop() {
		for !a.Send("b", m) { // the queue is full: the sender is the bottleneck
			time.Sleep(50 * time.Microsecond)
		}
		want++
	}
	for deadline := time.Now().Add(10 * time.Second); received.Load() < want && time.Now().Before(deadline); {
		time.Sleep(50 * time.Microsecond)
	}
	assert.Equal(b, received.Load(), want)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "messages/s")
	b.ReportMetric(float64((cpuTime(b)-start).Nanoseconds())/float64(b.N), "cpu-ns/message")
}

// openLinks opens a data lane from one manager to each of n peers.
func openLinks(b *testing.B, n int, route func(address string) string) (perEnd int64) {
	b.StopTimer()
	defer b.StartTimer()
	f := newFleet(b)
	credentials := f.credentials("a")
	quiet := func(c *Config) { c.QueueCapacity, c.Receive = 1024, func(*peerwire.Message) {} }
	var receivers []*Manager
	for i := range n {
		m, _ := f.start(ids.Instance(fmt.Sprint("p", i)), quiet)
		receivers = append(receivers, m)
		address, _ := f.address(m.config.Self)
		f.set(m.config.Self, route(address))
	}
	a, _ := f.start("hub", func(c *Config) { quiet(c); c.Self, c.Credentials = "a", credentials })
	before := memory()
	for _, m := range receivers {
		a.Send(m.config.Self, relay("a", 1))
	}
	for a.counts.sent[peerwire.Data].Value() < int64(n) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	return (memory() - before) / int64(n) / 2
}

// BenchmarkLinkMemory reports the heap and stack of one end of an open
// connection, the default queue included.
func BenchmarkLinkMemory(b *testing.B) {
	for range b.N {
		perEnd := openLinks(b, 50, func(address string) string { return address })
		b.ReportMetric(float64(perEnd), "B/connection-end")
	}
}

// BenchmarkDialBytes reports the bytes on the wire of opening a connection and
// sending one small message over it.
func BenchmarkDialBytes(b *testing.B) {
	for range b.N {
		var up, down atomic.Int64
		openLinks(b, 20, func(address string) string { return countingProxy(b, address, &up, &down) })
		b.ReportMetric(float64(up.Load())/20, "B-sent/dial")
		b.ReportMetric(float64(down.Load())/20, "B-received/dial")
	}
}

func memory() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// countingProxy forwards TCP to target and counts the bytes of each direction.
func countingProxy(b *testing.B, target string, up, down *atomic.Int64) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	b.Cleanup(func() { _ = l.Close() })
	forward := func(from, to net.Conn, count *atomic.Int64) {
		buf := make([]byte, 4<<10)
		for {
			n, err := from.Read(buf)
			if err != nil {
				_ = to.Close()
				return
			}
			count.Add(int64(n))
			_, _ = to.Write(buf[:n])
		}
	}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			go forward(in, out, up)
			go forward(out, in, down)
		}
	}()
	return l.Addr().String()
}
