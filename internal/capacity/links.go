package capacity

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/keys"
	"arbutusdock.example/arbutusdock/internal/link"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/telemetry"
)

func linkMeasures() []Measure {
	return []Measure{
		{Name: "memory-peer", Unit: "B", SizeName: "connections", Sizes: []float64{8, 16, 32, 64}, Run: measureLinkMemory,
			Note: "both ends of one data lane over TLS; a peer at one instance takes half"},
		{Name: "processor-peer-message", Unit: "µs", SizeName: "peer messages", Sizes: []float64{5_000, 10_000, 20_000, 40_000},
			Run: measurePeerMessageCPU, Note: "relay of 128 B over TLS, both ends together"},
	}
}

// linkNetwork is a set of link managers on loopback addresses: a hub and the
// peers that it sends to.
type linkNetwork struct {
	dir       string
	ca        *keys.CA
	mu        sync.Mutex
	addresses map[ids.Instance]string
	managers  []*link.Manager
	received  atomic.Int64
}

func newLinkNetwork() *linkNetwork {
	dir, err := os.MkdirTemp("", "capacity")
	panicOnError(err)
	l := &linkNetwork{dir: dir, addresses: map[ids.Instance]string{}}
	l.ca, err = keys.CreateCA(dir, "fleet", time.Hour)
	panicOnError(err)
	return l
}

// panicOnError panics if err is not nil. It is for errors of the loopback
// sockets and the temporary directory, without which nothing can be measured.
func panicOnError(err error) {
	if err != nil {
		panic(fmt.Sprint("capacity: ", err))
	}
}

func (l *linkNetwork) start(id ids.Instance) *link.Manager {
	panicOnError(l.ca.Issue(l.dir, id, time.Hour))
	credentials, err := link.LoadCredentials(id, filepath.Join(l.dir, "ca.crt"),
		filepath.Join(l.dir, string(id)+".crt"), filepath.Join(l.dir, string(id)+".key"))
	panicOnError(err)
	m := link.New(link.Config{Self: id, Credentials: credentials, ControlBytesPerSecond: 1 << 20, QueueCapacity: 1024, DataIdleTimeout: time.Minute,
		Log: slog.New(slog.DiscardHandler), Metrics: telemetry.NewRegistry(),
		LookupAddress: func(id ids.Instance) (string, bool) {
			l.mu.Lock()
			defer l.mu.Unlock()
			a, ok := l.addresses[id]
			return a, ok
		},
		Receive: func(*peerwire.Message) { l.received.Add(1) }})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	panicOnError(err)
	l.mu.Lock()
	l.addresses[id] = listener.Addr().String()
	l.mu.Unlock()
	go func() { _ = m.Serve(listener) }()
	l.managers = append(l.managers, m)
	return m
}

func (l *linkNetwork) close() {
	for _, m := range l.managers {
		m.Close()
	}
	_ = os.RemoveAll(l.dir)
}

// awaitReceived waits until count messages have been received and panics if
// this takes more than 10 s.
func (l *linkNetwork) awaitReceived(count int64) {
	for deadline := time.Now().Add(10 * time.Second); l.received.Load() < count; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			panic(fmt.Sprintf("capacity: %d of %d peer messages arrived", l.received.Load(), count))
		}
	}
}

func relayMessage() *peerwire.Message {
	return &peerwire.Message{From: "hub", Relay: &peerwire.Relay{Service: "s", Caller: "127.0.0.1:1", Datagram: make([]byte, 128), Hops: 1}}
}

func measureLinkMemory(x float64) float64 {
	l := newLinkNetwork()
	defer l.close()
	hub := l.start("hub")
	for i := range int(x) {
		l.start(instanceName(i))
	}
	return retainedBytes(func() any {
		for i := range int(x) {
			hub.Send(instanceName(i), relayMessage())
		}
		l.awaitReceived(int64(x))
		time.Sleep(100 * time.Millisecond) // lets the goroutines of the handshakes end
		return hub
	})
}

func measurePeerMessageCPU(x float64) float64 {
	l := newLinkNetwork()
	defer l.close()
	hub := l.start("hub")
	l.start("peer")
	hub.Send("peer", relayMessage())
	l.awaitReceived(1)
	return leastCPUTime(func() {
		expected := l.received.Load() + int64(x)
		for range int(x) {
			for !hub.Send("peer", relayMessage()) { // the send queue is full
				time.Sleep(200 * time.Microsecond)
			}
		}
		l.awaitReceived(expected)
	})
}
