package daemon

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/ring"
	"arbutusdock.example/arbutusdock/internal/telemetry"
)

// BenchmarkSocketPath sends requests through a service socket, its reader, the
// caller ring, an encoder in place of the core, the write ring and the writer,
// back to the sender, with at most 64 datagrams under way.
func BenchmarkSocketPath(b *testing.B) {
	const window = 64
	in, service := ring.New[*packet](4096), ids.Service("counter")
	at := netip.AddrPortFrom(loopback, freePort(b))
	s, err := openSocket(at, &service, in, 4096, newSocketCounts(telemetry.NewRegistry(), "caller"))
	assert.NilError(b, err)
	defer s.close()
	go func() {
		for {
			select {
			case p := <-in.Out():
				out := newPacket()
				out.data, _ = message.Encode(out.data, &message.Outgoing{Template: p.data, Type: message.Acknowledgement,
					Code: message.Content, ID: p.message.ID, Token: p.message.Token, DeadlineMS: 300})
				out.peer = p.peer
				p.release()
				s.send(out)
			case <-s.written:
				return
			}
		}
	}()
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(at))
	assert.NilError(b, err)
	defer func() { _ = c.Close() }()
	request, err := message.Encode(nil, &message.Outgoing{Code: message.GET, ID: 1,
		Token: message.Token{Bytes: [8]byte{1, 2, 3, 4}, Len: 4}, Payload: make([]byte, 64)})
	assert.NilError(b, err)
	slots, received := make(chan struct{}, window), make(chan struct{})
	go func() {
		defer close(received)
		buf := make([]byte, 2048)
		for range b.N {
			_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
			if _, err := c.Read(buf); err != nil {
				b.Errorf("datagram lost: %v", err)
				return
			}
			<-slots
		}
	}()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		slots <- struct{}{}
		_, err := c.Write(request)
		assert.NilError(b, err)
	}
	<-received
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "datagrams/s")
}
