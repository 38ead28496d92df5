package daemon

import (
	"errors"
	"expvar"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
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
	// idleAfter is the time without a datagram after which a socket gives its
	// buffer back. It is long against the pauses of a socket that is in use.
	idleAfter = time.Second
	// readPause bounds the rate of repeated read errors.
	readPause = 10 * time.Millisecond
)

// socket is one UDP socket with a reader goroutine. Its writer is shared.
type socket struct {
	conn    *net.UDPConn
	service atomic.Pointer[ids.Service] // of arriving datagrams; nil for backend servers
	in      *ring.Ring[*packet]
	writer  *writer
	counts  socketCounts
	done    chan struct{} // closed when the reader has ended
}

type socketCounts struct {
	received, sent, receivedBytes, sentBytes     *expvar.Int
	malformed, oversize, readErrors, writeErrors *expvar.Int
}

func newSocketCounts(r *telemetry.Registry, name string) socketCounts {
	return socketCounts{
		received:      r.Counter(name + "_received_datagrams_total"),
		sent:          r.Counter(name + "_sent_datagrams_total"),
		receivedBytes: r.Counter(name + "_received_bytes_total"),
		sentBytes:     r.Counter(name + "_sent_bytes_total"),
		malformed:     r.Counter(name + "_malformed_dropped_total"),
		oversize:      r.Counter(name + "_oversize_dropped_total"),
		readErrors:    r.Counter(name + "_read_errors_total"),
		writeErrors:   r.Counter(name + "_write_errors_total"),
	}
}

// openSocket binds a UDP socket and starts its reader. Datagrams that decode
// are pushed to in.
func openSocket(at netip.AddrPort, service *ids.Service, in *ring.Ring[*packet], w *writer, counts socketCounts) (*socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, eris.Wrapf(err, "open UDP socket %s", at)
	}
	// The kernel's limit may be lower; smaller buffers only lose more bursts.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	raw, err := conn.SyscallConn()
	if err != nil {
		_ = conn.Close() // it was never used
		return nil, eris.Wrapf(err, "open UDP socket %s", at)
	}
	s := &socket{conn: conn, in: in, writer: w, counts: counts, done: make(chan struct{})}
	s.service.Store(service)
	go s.read(raw)
	return s, nil
}

// read passes on what arrives. A socket without datagrams for idleAfter holds no
// buffer: an instance has thousands, most of them idle.
func (s *socket) read(raw syscall.RawConn) {
	defer close(s.done)
	var p *packet
	var renewed time.Time // when the deadline was last set
	for {
		if p == nil {
			if err := awaitDatagram(raw); err != nil {
				return // closed
			}
			p = newPacket()
		}
		if now := time.Now(); now.Sub(renewed) > idleAfter/2 {
			renewed = now
			_ = s.conn.SetReadDeadline(now.Add(idleAfter)) // a closed socket shows in the read
		}
		n, from, err := s.conn.ReadFromUDPAddrPort(p.data[:cap(p.data)])
		switch {
		case errors.Is(err, net.ErrClosed):
			p.release()
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			p.release()
			p, renewed = nil, time.Time{}
			_ = s.conn.SetReadDeadline(time.Time{}) // a closed socket shows in the wait
			continue
		case err != nil:
			s.counts.readErrors.Add(1)
			time.Sleep(readPause)
			continue
		}
		s.counts.received.Add(1)
		s.counts.receivedBytes.Add(int64(n))
		p.data, p.peer = p.data[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if s.accept(p) {
			p = newPacket()
		}
	}
}

// awaitDatagram waits until a datagram, or an error, can be read. Its own error
// tells that the socket is closed.
func awaitDatagram(raw syscall.RawConn) error {
	return raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), nil, syscall.MSG_PEEK)
		return err != syscall.EAGAIN
	})
}

// accept passes p to the core and reports whether it did.
func (s *socket) accept(p *packet) bool {
	if len(p.data) > maxDatagram { // the rest was cut off
		s.counts.oversize.Add(1)
		return false
	}
	if err := message.Decode(p.data, &p.message); err != nil {
		s.counts.malformed.Add(1)
		return false
	}
	if service := s.service.Load(); service != nil {
		p.service = *service
	}
	return s.in.Push(p)
}

// send queues p and releases it in the end.
func (s *socket) send(p *packet) {
	if !s.writer.ring.Push(outbound{socket: s, packet: p}) {
		p.release()
	}
}

// close closes the socket and waits for its reader. What its writer has not
// sent yet is lost.
func (s *socket) close() {
	_ = s.conn.Close()
	<-s.done
}

// outbound is a datagram and the socket that it leaves from.
type outbound struct {
	socket *socket
	packet *packet
}

// writer sends the datagrams of several sockets in one goroutine. Sharing it
// keeps an idle service socket small.
type writer struct {
	ring *ring.Ring[outbound]
	stop chan struct{}
	done chan struct{}
}

func newWriter(capacity int) *writer {
	w := &writer{ring: ring.New[outbound](capacity), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *writer) run() {
	defer close(w.done)
	for {
		select {
		case o := <-w.ring.Out():
			o.write()
		case <-w.stop:
			for w.ring.Stats().Depth > 0 {
				o := <-w.ring.Out()
				o.write()
			}
			return
		}
	}
}

func (o outbound) write() {
	counts := &o.socket.counts
	if _, err := o.socket.conn.WriteToUDPAddrPort(o.packet.data, o.packet.peer); err != nil {
		counts.writeErrors.Add(1)
	} else {
		counts.sent.Add(1)
		counts.sentBytes.Add(int64(len(o.packet.data)))
	}
	o.packet.release()
}

// close sends what is queued. Nothing may be queued afterwards.
func (w *writer) close() {
	close(w.stop)
	<-w.done
}
