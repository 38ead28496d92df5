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
// established by a first notification, and reports the heap memory per feed.
func BenchmarkFeedMemory(b *testing.B) {
	const feeds = 200_000
	for b.Loop() {
		r := testService("s", 15)
		r.Profile.Protect.MaxFeeds = feeds
		tc := newTestCluster(b, 1, r)
		c, now, out := tc.cores[0], tc.now, new(Effects)
		m := observeRequest(1).encode(b)
		before := heapInUse()
		for n := range feeds {
			caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 5683)
			now += 20_000
			c.lastTick = now
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
		b.ReportMetric(float64(heapInUse()-before)/feeds, "B/feed")
		runtime.KeepAlive(c)
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
