package daemon

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/ring"
	"arbutusdock.example/arbutusdock/internal/telemetry"
)

const (
	// socketBuffer is asked for in each direction; the kernel may grant less.
	// It covers bursts while the reader goroutine is not scheduled.
	socketBuffer = 4 << 20
	// closeGrace bounds a write that blocks while the socket closes.
	closeGrace = 500 * time.Millisecond
	// readPause bounds the rate of repeated read errors.
	readPause = 10 * time.Millisecond
)

// socket is one UDP socket with a reader and a writer goroutine.
type socket struct {
	conn    *net.UDPConn
	service atomic.Pointer[ids.Service] // of arriving datagrams; nil for backend servers
	in      *ring.Ring[*packet]
	out     *ring.Ring[*packet]
	counts  socketCounts
	tasks   sync.WaitGroup
	written chan struct{} // closed when the writer has ended
	cancel  context.CancelFunc
}

type socketCounts struct{ received, sent, receivedBytes, sentBytes, malformed, readErrors, writeErrors *expvar.Int }

func newSocketCounts(r *telemetry.Registry, name string) socketCounts {
	return socketCounts{
		received:      r.Counter(name + "_received_datagrams_total"),
		sent:          r.Counter(name + "_sent_datagrams_total"),
		receivedBytes: r.Counter(name + "_received_bytes_total"),
		sentBytes:     r.Counter(name + "_sent_bytes_total"),
		malformed:     r.Counter(name + "_malformed_dropped_total"),
		readErrors:    r.Counter(name + "_read_errors_total"),
		writeErrors:   r.Counter(name + "_write_errors_total"),
	}
}

// openSocket binds a UDP socket and starts its goroutines. Datagrams that
// decode are pushed to in.
func openSocket(at netip.AddrPort, service *ids.Service, in *ring.Ring[*packet], writes int, counts socketCounts) (*socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, eris.Wrapf(err, "open UDP socket %s", at)
	}
	// The kernel's limit may be lower; smaller buffers only lose more bursts.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	ctx, cancel := context.WithCancel(context.Background())
	s := &socket{conn: conn, in: in, out: ring.New[*packet](writes), counts: counts, cancel: cancel, written: make(chan struct{})}
	s.service.Store(service)
	s.tasks.Go(s.read)
	s.tasks.Go(func() { s.write(ctx) })
	return s, nil
}

func (s *socket) read() {
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.counts.readErrors.Add(1)
			time.Sleep(readPause)
			continue
		}
		s.counts.received.Add(1)
		s.counts.receivedBytes.Add(int64(n))
		s.accept(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (s *socket) accept(data []byte, from ids.Endpoint) {
	p := newPacket()
	p.data = append(p.data, data...)
	p.peer = from
	if service := s.service.Load(); service != nil {
		p.service = *service
	}
	if err := message.Decode(p.data, &p.message); err != nil {
		s.counts.malformed.Add(1)
		p.release()
		return
	}
	if !s.in.Push(p) {
		p.release()
	}
}

// send queues p and releases it in the end.
func (s *socket) send(p *packet) {
	if !s.out.Push(p) {
		p.release()
	}
}

func (s *socket) write(ctx context.Context) {
	defer close(s.written)
	for {
		select {
		case p := <-s.out.Out():
			s.writeOne(p)
		case <-ctx.Done():
			for s.out.Stats().Depth > 0 {
				s.writeOne(<-s.out.Out())
			}
			return
		}
	}
}

func (s *socket) writeOne(p *packet) {
	if _, err := s.conn.WriteToUDPAddrPort(p.data, p.peer); err != nil {
		s.counts.writeErrors.Add(1)
	} else {
		s.counts.sent.Add(1)
		s.counts.sentBytes.Add(int64(len(p.data)))
	}
	p.release()
}

// close writes what is queued and closes the socket.
func (s *socket) close() {
	_ = s.conn.SetWriteDeadline(time.Now().Add(closeGrace))
	s.cancel()
	<-s.written
	_ = s.conn.Close()
	s.tasks.Wait()
}
