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
	// socketBufferBytes is the size requested for the receive and the send buffer
	// of each socket; the kernel may grant less. The receive buffer absorbs
	// bursts that arrive while the reader goroutine is not scheduled.
	socketBufferBytes = 4 << 20
	// idleTimeout is the time without a datagram after which a socket releases
	// its packet buffer. It is much longer than the gaps between datagrams on an
	// active socket.
	idleTimeout = time.Second
	// readErrorDelay limits the rate of repeated read errors.
	readErrorDelay = 10 * time.Millisecond
)

// socket is one UDP socket with its own reader goroutine and a writer that it
// may share with other sockets.
type socket struct {
	conn         *net.UDPConn
	service      atomic.Pointer[ids.Service] // service of received datagrams; nil for the socket to backend servers
	receiveQueue *ring.Ring[*packet]
	writer       *writer
	counts       socketCounts
	readerDone   chan struct{} // closed when the reader goroutine has ended
}

type socketCounts struct {
	received, sent, receivedBytes, sentBytes     *expvar.Int
	malformed, oversize, readErrors, writeErrors *expvar.Int
}

func newSocketCounts(registry *telemetry.Registry, name string) socketCounts {
	return socketCounts{
		received:      registry.Counter(name + "_received_datagrams_total"),
		sent:          registry.Counter(name + "_sent_datagrams_total"),
		receivedBytes: registry.Counter(name + "_received_bytes_total"),
		sentBytes:     registry.Counter(name + "_sent_bytes_total"),
		malformed:     registry.Counter(name + "_malformed_dropped_total"),
		oversize:      registry.Counter(name + "_oversize_dropped_total"),
		readErrors:    registry.Counter(name + "_read_errors_total"),
		writeErrors:   registry.Counter(name + "_write_errors_total"),
	}
}

// openSocket binds a UDP socket and starts its reader, which pushes valid
// datagrams to receiveQueue.
func openSocket(address netip.AddrPort, service *ids.Service, receiveQueue *ring.Ring[*packet], writer *writer, counts socketCounts) (*socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, eris.Wrapf(err, "open UDP socket %s", address)
	}
	// The kernel may refuse or reduce the size. Smaller buffers only drop more
	// datagrams in bursts.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	raw, err := conn.SyscallConn()
	if err != nil {
		_ = conn.Close() // nothing was sent or received yet
		return nil, eris.Wrapf(err, "open UDP socket %s", address)
	}
	s := &socket{conn: conn, receiveQueue: receiveQueue, writer: writer, counts: counts, readerDone: make(chan struct{})}
	s.service.Store(service)
	go s.read(raw)
	return s, nil
}

// read receives datagrams and delivers them to the core. A socket that has
// received no datagram for idleTimeout holds no buffer, because an instance has
// thousands of sockets, most of them idle.
func (s *socket) read(raw syscall.RawConn) {
	defer close(s.readerDone)
	var p *packet
	var deadlineSetAt time.Time // when the deadline was last set
	for {
		if p == nil {
			if err := awaitDatagram(raw); err != nil {
				return // the socket is closed
			}
			p = newPacket()
		}
		if now := time.Now(); now.Sub(deadlineSetAt) > idleTimeout/2 {
			deadlineSetAt = now
			_ = s.conn.SetReadDeadline(now.Add(idleTimeout)) // if the socket is closed, the read below returns an error
		}
		n, from, err := s.conn.ReadFromUDPAddrPort(p.data[:cap(p.data)])
		switch {
		case errors.Is(err, net.ErrClosed):
			p.release()
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			p.release()
			p, deadlineSetAt = nil, time.Time{}
			_ = s.conn.SetReadDeadline(time.Time{}) // if the socket is closed, awaitDatagram returns an error
			continue
		case err != nil:
			s.counts.readErrors.Add(1)
			time.Sleep(readErrorDelay)
			continue
		}
		s.counts.received.Add(1)
		s.counts.receivedBytes.Add(int64(n))
		p.data, p.peer = p.data[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if s.deliver(p) {
			p = newPacket()
		}
	}
}

// awaitDatagram waits until a datagram or a socket error can be read. It
// returns an error only when the socket is closed.
func awaitDatagram(raw syscall.RawConn) error {
	return raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), nil, syscall.MSG_PEEK)
		return err != syscall.EAGAIN
	})
}

// deliver decodes p and queues it for the core. It reports whether p was queued.
func (s *socket) deliver(p *packet) bool {
	if len(p.data) > maxDatagram { // longer than the read buffer, so that the datagram was truncated
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
	return s.receiveQueue.Push(p)
}

// send queues p for the writer, which releases it after sending. If the queue is
// full, p is dropped.
func (s *socket) send(p *packet) {
	if !s.writer.queue.Push(outboundPacket{socket: s, packet: p}) {
		p.release()
	}
}

// close closes the socket and waits for its reader. Datagrams that the writer
// has not sent yet are lost.
func (s *socket) close() {
	_ = s.conn.Close()
	<-s.readerDone
}

// outboundPacket is a packet and the socket from which it is sent.
type outboundPacket struct {
	socket *socket
	packet *packet
}

// writer sends the datagrams of one or more sockets in a single goroutine. It is
// shared to reduce the memory of idle service sockets.
type writer struct {
	queue         *ring.Ring[outboundPacket]
	stopRequested chan struct{}
	done          chan struct{}
}

func newWriter(capacity int) *writer {
	w := &writer{queue: ring.New[outboundPacket](capacity), stopRequested: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *writer) run() {
	defer close(w.done)
	for {
		select {
		case o := <-w.queue.Out():
			o.write()
		case <-w.stopRequested:
			for w.queue.Stats().Depth > 0 {
				o := <-w.queue.Out()
				o.write()
			}
			return
		}
	}
}

func (o outboundPacket) write() {
	counts := &o.socket.counts
	if _, err := o.socket.conn.WriteToUDPAddrPort(o.packet.data, o.packet.peer); err != nil {
		counts.writeErrors.Add(1)
	} else {
		counts.sent.Add(1)
		counts.sentBytes.Add(int64(len(o.packet.data)))
	}
	o.packet.release()
}

// close sends the queued datagrams and stops the writer. No packet may be queued
// afterwards.
func (w *writer) close() {
	close(w.stopRequested)
	<-w.done
}
