//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

var (
	errSystemReset = errors.New("reset by the system")
	errTargetReset = errors.New("reset by the target")
	errTimeout     = errors.New("no answer in time")
)

// resetWindow is the distance from the client's last ack at which a reset of the system is
// valid on an open flow.
const resetWindow = 76_800

// client is a client machine at one address.
type client struct {
	w    *world
	conn *net.UDPConn
	addr netip.Addr

	mu    sync.Mutex
	flows map[uint16]*flow
	port  uint16
}

func (w *world) newClient(addr netip.Addr) *client {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, w.port)))
	w.check(err)
	c := &client{w: w, conn: conn, addr: addr, flows: map[uint16]*flow{}, port: 20000 + uint16(rand.IntN(20000))}
	go c.serve()
	return c
}

func (c *client) serve() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f != nil && f.to == p.src {
			if p.signed && p.flags&flagRST == 0 {
				f.echo.Store(p.echo) // the last one received on the flow
			}
			select {
			case f.in <- p:
			default:
			}
		}
	}
}

// flow is one flow of a client. via returns the instance to which the routers send its
// packets now.
type flow struct {
	c        *client
	from, to netip.AddrPort
	via      func() netip.AddrPort
	in       chan packet
	echo     atomic.Uint32
	seq, ack uint32
	open     bool
	// target is the id of the target that took the opening, for the record.
	target string
}

func (c *client) newFlow(to netip.AddrPort, via func() netip.AddrPort) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &flow{c: c, from: netip.AddrPortFrom(c.addr, c.port), to: to, via: via, in: make(chan packet, 256), seq: rand.Uint32()}
	c.flows[c.port] = f
	return f
}

// openFlow opens a flow. It sends copies of the opening packet after 200 and 600 ms and
// gives up after 1.4 s.
func (c *client) openFlow(to netip.AddrPort, via func() netip.AddrPort) (*flow, error) {
	return c.newFlow(to, via).openNow()
}

func (f *flow) openNow() (*flow, error) {
	start := time.Now()
	for n, until := range []time.Duration{200, 600, 1400} {
		f.send(&packet{flags: flagSYN, seq: f.seq, ack: uint32(n)})
		for {
			p, err := f.receive(start.Add(until * time.Millisecond))
			if errors.Is(err, errTimeout) {
				break
			}
			if err != nil {
				return f, err
			}
			if p.flags == flagSYN|flagACK && p.ack == f.seq+1 {
				f.seq++
				f.ack, f.open = p.seq+1, true
				f.send(&packet{flags: flagACK, seq: f.seq, ack: f.ack})
				f.target = f.c.w.targetOf(f.from)
				return f, nil
			}
		}
	}
	return f, errTimeout
}

// cancelledOpening sends an opening packet and gives up at once.
func (c *client) cancelledOpening(to netip.AddrPort, via func() netip.AddrPort) *flow {
	f := c.newFlow(to, via)
	f.send(&packet{flags: flagSYN, seq: f.seq})
	c.mu.Lock()
	delete(c.flows, f.from.Port())
	c.mu.Unlock()
	return f
}

// request sends a request and returns the response.
func (f *flow) request(id string, work time.Duration, budget time.Duration) (string, error) {
	data := []byte(fmt.Sprintf("GET /item HTTP/1.1\r\nHost: s\r\nRequest-Id: %s\r\nWork: %d\r\n\r\n", id, work.Milliseconds()))
	deadline := time.Now().Add(budget)
	p := &packet{flags: flagACK, seq: f.seq, ack: f.ack, data: data}
	end := f.seq + uint32(len(data))
	f.c.w.logf("client %s sends request %s to %s", f.from, id, f.to)
	f.send(p)
	interval := retransmitMin
	resend, acked := time.Now().Add(interval), false
	for {
		until := deadline
		if !acked && resend.Before(until) {
			until = resend
		}
		in, err := f.receive(until)
		if errors.Is(err, errTimeout) {
			if !time.Now().Before(deadline) {
				return "", errTimeout
			}
			p.ack = f.ack
			f.send(p)
			interval = min(2*interval, retransmitMax)
			resend = time.Now().Add(interval)
			continue
		}
		if err != nil {
			return "", err
		}
		if int32(in.ack-end) >= 0 {
			acked = true
		}
		if len(in.data) > 0 && in.seq == f.ack && in.ack == end {
			f.ack += uint32(len(in.data))
			f.seq = end
			f.send(&packet{flags: flagACK, seq: f.seq, ack: f.ack})
			return string(in.data), nil
		}
	}
}

func (f *flow) close() {
	f.send(&packet{flags: flagFIN | flagACK, seq: f.seq, ack: f.ack})
	f.c.mu.Lock()
	delete(f.c.flows, f.from.Port())
	f.c.mu.Unlock()
}

func (f *flow) receive(until time.Time) (packet, error) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case p := <-f.in:
			if p.flags&flagRST != 0 {
				if d := int32(p.seq - f.ack); f.open && !p.signed && max(d, -d) > resetWindow {
					continue // not valid on an open flow
				}
				if p.signed {
					f.c.w.logf("client %s gets a reset of a target on its flow to %s (open: %v)", f.from, f.to, f.open)
					return p, errTargetReset
				}
				f.c.w.logf("client %s gets a reset of the system on its flow to %s (open: %v)", f.from, f.to, f.open)
				return p, errSystemReset
			}
			if !p.signed {
				continue
			}
			return p, nil
		case <-timer.C:
			return packet{}, errTimeout
		}
	}
}

func (f *flow) send(p *packet) {
	p.src, p.dst, p.echo = f.from, f.to, f.echo.Load()
	if p.flags&flagACK == 0 {
		p.echo = 0
	}
	_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), f.via())
}
