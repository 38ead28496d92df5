package core

import (
	"net/netip"
	"runtime"
	"testing"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"gotest.tools/v3/assert"
)

// BenchmarkFeedMemory opens 200,000 feeds, each from its own caller and
// established by a first notification, and reports the heap that one takes.
func BenchmarkFeedMemory(b *testing.B) {
	const feeds = 200_000
	for b.Loop() {
		r := resolved("s", 15)
		r.Profile.Protect.MaxFeeds = feeds
		w := newWorld(b, 1, r)
		c, now, out := w.cores[0], w.now, new(Effects)
		m := observe(1).encode(b)
		before := heap()
		for n := range feeds {
			caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 5683)
			now += 20_000
			c.tick = now
			m.ID = uint16(n)
			out.Reset()
			c.HandleCaller(now, &CallerEvent{Service: "s", Caller: caller, Message: &m}, out)
			var from ids.Endpoint
			reply := message.Message{Type: message.Acknowledgement, Code: message.Content, HasObserve: true, Observe: 1, MaxAge: 3600}
			for i := range out.List {
				if e := &out.List[i]; e.Kind == ToBackend {
					from, reply.ID, reply.Token, reply.Raw = e.Endpoint, e.Datagram.ID, e.Datagram.Token, e.Datagram.Template
				}
			}
			out.Reset()
			c.HandleBackend(now, &BackendEvent{From: from, Message: &reply}, out)
		}
		assert.Equal(b, c.feeds.Len(), feeds)
		b.ReportMetric(float64(heap()-before)/feeds, "B/feed")
		runtime.KeepAlive(c)
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
