//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// target is a stand-in of a target. It runs slots requests at a time and queues up to
// queue more; a liveness check occupies a slot like a request. What exceeds the queue is
// answered at once with "not run".
type target struct {
	id, service, zone string
	number            uint64
	lab               *lab
	conn              *net.UDPConn
	health            *http.Server
	address           netip.AddrPort
	slots             chan struct{}
	queue             int
	work              func() time.Duration
	born              time.Time

	mu      sync.Mutex
	flows   map[netip.AddrPort]*targetFlow
	waiting int // requests and checks that wait for a slot
	resets  map[netip.AddrPort]bool
	runs    int
	shed    int
	// openings are the times at which opening packets of new flows arrived.
	openings []time.Time
	draining bool // closes each flow with its next answer
}

type targetFlow struct {
	first       uint32 // own sequence number of the SYN+ACK
	seq, expect uint32
	echo        uint32
	open        bool
	openedAt    time.Time
	src, dst    netip.AddrPort
	answers     map[uint32]*packet // by the sequence number of the request
	running     map[uint32]bool
}

func newTarget(l *lab, number uint64, service, zone string, ip netip.Addr, slots, queue int, work func() time.Duration) (*target, error) {
	t := &target{id: fmt.Sprintf("i-%010x", number), service: service, zone: zone, number: number, lab: l, slots: make(chan struct{}, slots),
		queue: queue, work: work, born: time.Now(), flows: map[netip.AddrPort]*targetFlow{}, resets: map[netip.AddrPort]bool{}}
	for n := 0; ; n++ {
		listener, err := net.Listen("tcp4", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			return nil, err
		}
		t.address = listener.Addr().(*net.TCPAddr).AddrPort()
		if t.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.address)); err != nil {
			_ = listener.Close()
			if n < 10 {
				continue
			}
			return nil, err
		}
		_ = t.conn.SetReadBuffer(4 << 20)
		t.health = &http.Server{Handler: http.HandlerFunc(t.serveHealth)}
		go func() { _ = t.health.Serve(listener) }()
		break
	}
	go t.serve()
	return t, nil
}

// occupy waits for a slot and holds it for d. It returns false if the queue is full.
func (t *target) occupy(d func() time.Duration) bool {
	select {
	case t.slots <- struct{}{}:
	default:
		t.mu.Lock()
		if t.waiting >= t.queue {
			t.shed++
			t.mu.Unlock()
			return false
		}
		t.waiting++
		t.mu.Unlock()
		t.slots <- struct{}{}
		t.mu.Lock()
		t.waiting--
		t.mu.Unlock()
	}
	time.Sleep(d())
	<-t.slots
	return true
}

func (t *target) serveHealth(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	ok := t.occupy(func() time.Duration { return time.Millisecond })
	t.lab.recordf("check   target=%s from=%s answered=%v after=%s", t.id, r.RemoteAddr, ok, time.Since(start).Round(time.Millisecond))
	w.Header().Set("Instance-Id", t.id)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *target) serve() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if to := binary.BigEndian.Uint64(buffer); to != 0 && to != t.number {
			continue
		}
		if p, valid := decode(buffer[8:n]); valid {
			t.mu.Lock()
			t.handle(&p)
			t.mu.Unlock()
		}
	}
}

func (t *target) handle(p *packet) {
	f := t.flows[p.src]
	switch {
	case p.flags&flagSYN != 0 && p.flags&flagACK != 0:
	case p.flags&flagSYN != 0:
		if f == nil {
			first := rand.Uint32()
			f = &targetFlow{first: first, seq: first + 1, expect: p.seq + 1, src: p.dst, dst: p.src, answers: map[uint32]*packet{}, running: map[uint32]bool{}}
			t.flows[p.src] = f
			t.openings = append(t.openings, time.Now())
		}
		f.echo = p.echo
		t.send(&packet{flags: flagSYN | flagACK, src: p.dst, dst: p.src, echo: f.echo, seq: f.first, ack: f.expect})
	case p.flags&flagRST != 0:
		delete(t.flows, p.src)
	case f == nil || !f.open && p.ack != f.first+1:
		t.resets[p.src] = true
		t.send(&packet{flags: flagRST, src: p.dst, dst: p.src, echo: p.echo, seq: p.ack})
	default:
		if !f.open {
			f.open, f.openedAt = true, time.Now()
		}
		f.echo = p.echo
		t.handleOpen(f, p)
	}
}

func (t *target) handleOpen(f *targetFlow, p *packet) {
	if p.flags&flagFIN != 0 {
		delete(t.flows, p.src)
		t.send(&packet{flags: flagFIN | flagACK, src: p.dst, dst: p.src, echo: f.echo, seq: f.seq, ack: p.seq + 1})
		return
	}
	if len(p.data) == 0 {
		return
	}
	if answer := f.answers[p.seq]; answer != nil {
		answer.echo = f.echo
		t.send(answer)
		return
	}
	if f.running[p.seq] || p.seq == f.expect {
		t.send(&packet{flags: flagACK, src: p.dst, dst: p.src, echo: f.echo, seq: f.seq, ack: p.seq + uint32(len(p.data))})
	}
	if f.running[p.seq] || p.seq != f.expect {
		return
	}
	f.running[p.seq] = true
	f.expect += uint32(len(p.data))
	seq, body, expect := p.seq, string(p.data), f.expect
	go func() {
		text := "200 "
		if !t.occupy(t.work) {
			text = "503 not run "
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		if strings.HasPrefix(text, "200") {
			t.runs++
		}
		answer := &packet{flags: flagACK, src: f.src, dst: f.dst, echo: f.echo, seq: f.seq, ack: expect, data: []byte(text + t.id + " " + body)}
		f.seq += uint32(len(answer.data))
		if t.draining {
			answer.flags |= flagFIN
			f.seq++
		}
		f.answers[seq] = answer
		t.send(answer)
	}()
}

// send sends a packet to a client directly.
func (t *target) send(p *packet) {
	_, _ = t.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.dst.Addr(), t.lab.ports.datagram))
}

// flowState reports whether the target lives with the flow of a client open, since when,
// and whether it has itself reset the flow.
func (t *target) flowState(client netip.AddrPort) (open bool, since time.Time, reset bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[client]
	if f == nil {
		return false, time.Time{}, t.resets[client]
	}
	return f.open, f.openedAt, t.resets[client]
}

func (t *target) close() {
	_ = t.conn.Close()
	_ = t.health.Close()
}
