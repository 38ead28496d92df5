//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Retransmission of a target and of a client, as on the protocol page.
const (
	retransmitMin = 200 * time.Millisecond
	retransmitMax = 1600 * time.Millisecond
	targetRetries = 8
	// loneAck is the time after which an end acknowledges a single packet.
	loneAck = 40 * time.Millisecond
)

// target is one incarnation of a backend server. It runs as many requests at a time as it
// has slots, in the order in which they came; a health check takes a slot like a request.
type target struct {
	w                 *world
	id, service, zone string
	born              int64
	conn              *net.UDPConn
	health            *http.Server
	slots             chan struct{}

	mu      sync.Mutex
	flows   map[netip.AddrPort]*targetFlow
	jobs    []func() // waiting for a slot, in order
	running int
	maxJobs int
	seq     int64
	state   string
	runs    map[string]int
	stopped bool
	mute    bool // the target does not reach the store
}

type targetFlow struct {
	seq, expected uint32
	echo          uint32
	open          bool
	ended         bool
	unacked       *packet
	tries         int
	ackTimer      *time.Timer
	opened        time.Time
}

func (w *world) newTarget(id, service, zone string, slots int) *target {
	conn, listener := w.listenBoth()
	t := &target{w: w, id: id, service: service, zone: zone, born: time.Now().UnixMilli(), conn: conn, maxJobs: slots + 8,
		flows: map[netip.AddrPort]*targetFlow{}, runs: map[string]int{}, state: "ready"}
	t.slots = make(chan struct{}, slots)
	t.health = &http.Server{Handler: http.HandlerFunc(t.serveHealth)}
	go func() { _ = t.health.Serve(listener) }()
	go t.serve()
	return t
}

func (t *target) address() string { return t.conn.LocalAddr().String() }

func (t *target) number() uint64 {
	n, err := strconv.ParseUint(strings.TrimPrefix(t.id, "i-"), 16, 64)
	if err != nil {
		panic(err)
	}
	return n
}

// entry is what the target says of itself in the store.
func (t *target) entry() map[string]any {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	cold := max(2000-(time.Now().UnixMilli()-t.born), 0)
	return map[string]any{"service": t.service, "address": t.address(), "zone": t.zone, "version": "v1", "slots": cap(t.slots),
		"state": t.state, "cold-remaining-ms": cold, "seq": t.seq, "born": t.born}
}

// drain reports draining; the target goes on serving.
func (t *target) drain() {
	t.mu.Lock()
	t.state = "draining"
	t.mu.Unlock()
	t.w.store.beat(t)
	t.w.logf("store confirmed: target %s is draining", t.id)
}

// startJob runs f when a slot is free. It returns false if the target is full.
func (t *target) startJob(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running+len(t.jobs) >= t.maxJobs {
		return false
	}
	t.jobs = append(t.jobs, f)
	t.next()
	return true
}

func (t *target) next() {
	for t.running < cap(t.slots) && len(t.jobs) > 0 {
		f := t.jobs[0]
		t.jobs = t.jobs[1:]
		t.running++
		go func() {
			f()
			t.mu.Lock()
			t.running--
			t.next()
			t.mu.Unlock()
		}()
	}
}

func (t *target) serveHealth(w http.ResponseWriter, r *http.Request) {
	done := make(chan struct{})
	begin := time.Now()
	if !t.startJob(func() { time.Sleep(time.Millisecond); close(done) }) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	<-done
	w.Header().Set("Instance-Id", t.id)
	t.w.logf("target %s answers a health check after %d ms", t.id, time.Since(begin).Milliseconds())
	t.mu.Lock()
	leaving := t.state != "ready"
	t.mu.Unlock()
	if leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *target) stop() {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	_ = t.conn.Close()
	_ = t.health.Close()
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
		if to := binary.BigEndian.Uint64(buffer); to != 0 && to != t.number() {
			continue
		}
		if p, ok := decode(buffer[8:n]); ok && p.signed {
			t.mu.Lock()
			t.handle(&p)
			t.mu.Unlock()
		}
	}
}

func (t *target) handle(p *packet) {
	f := t.flows[p.src]
	if p.flags&flagSYN != 0 && p.flags&flagACK == 0 {
		if f == nil {
			f = &targetFlow{seq: rand.Uint32(), expected: p.seq + 1}
			t.flows[p.src] = f
		}
		f.echo = p.echo
		t.w.logf("target %s (%s) takes the opening packet of %s to %s", t.id, t.service, p.src, p.dst)
		t.w.openings(t, p)
		answer := &packet{flags: flagSYN | flagACK, src: p.dst, dst: p.src, echo: f.echo, seq: f.seq, ack: p.seq + 1}
		t.send(answer)
		if f.unacked == nil {
			f.unacked, f.tries = answer, 0
			t.retransmit(f, answer, retransmitMin)
		}
		return
	}
	if p.flags&flagSYN != 0 {
		return
	}
	if p.flags&flagRST != 0 {
		if f != nil {
			f.unacked = nil
		}
		delete(t.flows, p.src)
		return
	}
	if f == nil || !f.open && p.ack != f.seq+1 {
		t.send(&packet{flags: flagRST, src: p.dst, dst: p.src, echo: p.echo, seq: p.ack})
		return
	}
	if !f.open {
		f.open, f.opened, f.unacked = true, time.Now(), nil
		f.seq++
		t.w.logf("target %s: flow of %s is open", t.id, p.src)
	}
	f.echo = p.echo
	if f.unacked != nil && int32(p.ack-f.seq) >= 0 {
		f.unacked = nil
	}
	if p.flags&flagFIN != 0 {
		t.send(&packet{flags: flagFIN | flagACK, src: p.dst, dst: p.src, echo: f.echo, seq: f.seq, ack: p.seq + 1})
		delete(t.flows, p.src)
		return
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq != f.expected {
		t.send(&packet{flags: flagACK, src: p.dst, dst: p.src, echo: f.echo, seq: f.seq, ack: f.expected})
		return
	}
	f.expected += uint32(len(p.data))
	id, work := parseRequest(p.data)
	client, service := p.src, p.dst
	f.ackTimer = time.AfterFunc(loneAck, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.send(&packet{flags: flagACK, src: service, dst: client, echo: f.echo, seq: f.seq, ack: f.expected})
	})
	job := func() {
		t.mu.Lock()
		t.runs[id]++
		t.w.logf("target %s (%s) begins request %s of %s for %s, %d ms of work", t.id, t.service, id, client, service, work.Milliseconds())
		t.mu.Unlock()
		t.w.ran(t, id)
		time.Sleep(work)
		t.mu.Lock()
		defer t.mu.Unlock()
		body := fmt.Sprintf("%s %s %s", t.service, t.id, id)
		t.respond(f, client, service, fmt.Sprintf("HTTP/1.1 200 OK\r\nResponse-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body))
	}
	t.mu.Unlock()
	ok := t.startJob(job)
	t.mu.Lock()
	if !ok {
		t.respond(f, client, service, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
}

func (t *target) respond(f *targetFlow, client, service netip.AddrPort, text string) {
	if f.ackTimer != nil {
		f.ackTimer.Stop()
	}
	p := &packet{flags: flagACK, src: service, dst: client, seq: f.seq, ack: f.expected, data: []byte(text)}
	f.seq += uint32(len(p.data))
	if t.state == "draining" {
		p.flags |= flagFIN
	}
	f.unacked, f.tries = p, 0
	p.echo = f.echo
	t.send(p)
	t.retransmit(f, p, retransmitMin)
}

func (t *target) retransmit(f *targetFlow, p *packet, after time.Duration) {
	time.AfterFunc(after, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if f.unacked != p || f.tries == targetRetries || t.stopped {
			return
		}
		f.tries++
		p.echo = f.echo
		t.send(p)
		t.retransmit(f, p, min(2*after, retransmitMax))
	})
}

func (t *target) send(p *packet) {
	_, _ = t.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.dst.Addr(), t.w.port))
}

// parseRequest returns the Request-Id of a request and the work that it takes.
func parseRequest(b []byte) (id string, work time.Duration) {
	for line := range strings.SplitSeq(string(b), "\r\n") {
		if v, ok := strings.CutPrefix(line, "Request-Id: "); ok {
			id = v
		}
		if v, ok := strings.CutPrefix(line, "Work: "); ok {
			n, _ := strconv.Atoi(v)
			work = time.Duration(n) * time.Millisecond
		}
	}
	return id, work
}
