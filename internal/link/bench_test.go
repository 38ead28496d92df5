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

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkDataMessages sends relay messages with a 128-byte datagram over one
// data lane. Both ends run in this process, so the reported CPU time includes
// encoding, sending, receiving and decoding.
func BenchmarkDataMessages(b *testing.B) {
	f := newTestFleet(b)
	var received atomic.Int64
	f.startManager("b", func(c *Config) { c.Receive = func(*peerwire.Message) { received.Add(1) } })
	a, _ := f.startManager("a", nil)
	m := relayMessage("a", 0)
	m.Relay.Datagram = make([]byte, 128)
	a.Send("b", m)
	for received.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	b.ReportAllocs()
	start, want := cpuTime(b), received.Load()
	for b.Loop() {
		for !a.Send("b", m) { // the queue is full because the sender is the bottleneck
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

// measureLinkMemory opens a data lane from one manager to each of n peers, and
// returns the memory that one end of a connection uses. mapAddress converts the
// address of a listener to the address that is dialled.
func measureLinkMemory(b *testing.B, n int, mapAddress func(address string) string) (bytesPerEnd int64) {
	b.StopTimer()
	defer b.StartTimer()
	f := newTestFleet(b)
	credentials := f.credentials("a")
	discardMessages := func(c *Config) { c.QueueCapacity, c.Receive = 1024, func(*peerwire.Message) {} }
	var receivers []*Manager
	for i := range n {
		m, _ := f.startManager(ids.Instance(fmt.Sprint("p", i)), discardMessages)
		receivers = append(receivers, m)
		address, _ := f.address(m.config.Self)
		f.setAddress(m.config.Self, mapAddress(address))
	}
	a, _ := f.startManager("hub", func(c *Config) { discardMessages(c); c.Self, c.Credentials = "a", credentials })
	bytesBefore := memoryInUse()
	for _, m := range receivers {
		a.Send(m.config.Self, relayMessage("a", 1))
	}
	for a.counts.sent[peerwire.Data].Value() < int64(n) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	return (memoryInUse() - bytesBefore) / int64(n) / 2
}

// BenchmarkLinkMemory reports the heap and stack memory of one end of an open
// connection, including a queue of the default size.
func BenchmarkLinkMemory(b *testing.B) {
	for range b.N {
		bytesPerEnd := measureLinkMemory(b, 50, func(address string) string { return address })
		b.ReportMetric(float64(bytesPerEnd), "B/connection-end")
	}
}

// BenchmarkDialBytes reports the bytes on the wire for opening a connection and
// sending one small message over it.
func BenchmarkDialBytes(b *testing.B) {
	for range b.N {
		var sent, received atomic.Int64
		measureLinkMemory(b, 20, func(address string) string { return countingProxy(b, address, &sent, &received) })
		b.ReportMetric(float64(sent.Load())/20, "B-sent/dial")
		b.ReportMetric(float64(received.Load())/20, "B-received/dial")
	}
}

func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// countingProxy forwards TCP connections to target and counts the bytes in each
// direction.
func countingProxy(b *testing.B, target string, sent, received *atomic.Int64) string {
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
			go forward(in, out, sent)
			go forward(out, in, received)
		}
	}()
	return l.Addr().String()
}
