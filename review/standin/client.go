//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// client is a client machine in a zone. All its flows share one socket.
type client struct {
	lab  *lab
	zone string
	ip   netip.Addr
	conn *net.UDPConn
	// loseEvery is the number of packets of which one is lost; 0 for none.
	loss float64

	mu    sync.Mutex
	flows map[uint16]*flow
	port  uint16
}

func newClient(l *lab, zone string, ip netip.Addr) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, l.ports.datagram)))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20)
	c := &client{lab: l, zone: zone, ip: ip, conn: conn, flows: map[uint16]*flow{}, port: 1024}
	go c.serve()
	return c, nil
}

func (c *client) serve() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, valid := decode(buffer[:n])
		own := p.flags == flagRST && p.sum == 0 && len(p.data) == 0 // a reset of the system
		if !valid && !own {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f != nil && f.to == p.src {
			select {
			case f.packets <- p:
			default:
			}
		}
	}
}

var (
	errReset   = errors.New("reset")
	errTimeout = errors.New("no answer in time")
)

// flow is one flow of a client.
type flow struct {
	c        *client
	from, to netip.AddrPort
	packets  chan packet
	echo     uint32
	seq, ack uint32
	open     bool
	closed   bool   // the target has closed it with an answer
	target   string // from the answers
	via      string // node to which the last packet went
	resetSum uint32 // sum of the reset that ended the flow
}

// dial opens a flow: a SYN, copies after 200 ms and 600 ms, given up after 1.4 s.
func (c *client) dial(to netip.AddrPort) (*flow, error) {
	c.mu.Lock()
	for {
		c.port++
		if c.port < 1024 {
			c.port = 1024
		}
		if c.flows[c.port] == nil {
			break
		}
	}
	f := &flow{c: c, from: netip.AddrPortFrom(c.ip, c.port), to: to, packets: make(chan packet, 64), seq: rand.Uint32()}
	c.flows[c.port] = f
	c.mu.Unlock()
	start := time.Now()
	for n, next := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		f.send(&packet{flags: flagSYN, seq: f.seq, ack: uint32(n)})
		p, err := f.receive(start.Add(next), func(p *packet) bool { return p.flags == flagSYN|flagACK && p.ack == f.seq+1 })
		switch {
		case err == nil:
			f.seq++
			f.ack = p.seq + 1
			f.open = true
			f.send(&packet{flags: flagACK, seq: f.seq, ack: f.ack})
			return f, nil
		case errors.Is(err, errReset):
			f.remove()
			return nil, err
		}
	}
	f.remove()
	return nil, errTimeout
}

// request sends a request and returns the answer.
func (f *flow) request(data string, budget time.Duration) (string, error) {
	deadline := time.Now().Add(budget)
	want := f.seq + uint32(len(data))
	acked := false
	for interval := 200 * time.Millisecond; ; interval = min(2*interval, 1600*time.Millisecond) {
		if !acked {
			f.send(&packet{flags: flagACK, seq: f.seq, ack: f.ack, data: []byte(data)})
		}
		next := time.Now().Add(interval)
		if acked || next.After(deadline) {
			next = deadline
		}
		p, err := f.receive(next, func(p *packet) bool { return p.ack == want && p.seq == f.ack })
		switch {
		case err == nil && len(p.data) == 0:
			acked = true
			continue
		case err == nil:
			f.seq = want
			f.ack += uint32(len(p.data))
			if p.flags&flagFIN != 0 {
				f.ack++
				f.closed = true
			}
			f.send(&packet{flags: flagACK, seq: f.seq, ack: f.ack})
			if i := strings.Index(string(p.data), "i-"); i >= 0 {
				f.target = string(p.data[i : i+12])
			}
			return string(p.data), nil
		case errors.Is(err, errTimeout) && time.Now().Before(deadline):
			continue
		}
		return "", err
	}
}

func (f *flow) close() {
	f.send(&packet{flags: flagFIN | flagACK, seq: f.seq, ack: f.ack})
	f.remove()
}

func (f *flow) remove() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.from.Port())
}

// receive returns the next packet that belongs to the flow and for which wanted returns
// true. Of the rest only a reset in the window ends it.
func (f *flow) receive(until time.Time, wanted func(*packet) bool) (packet, error) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case p := <-f.packets:
			if p.flags&flagRST != 0 {
				if d := int32(p.seq - f.ack); f.open && (d > 76800 || d < -76800) {
					continue
				}
				f.resetSum = p.sum
				return p, errReset
			}
			if wanted(&p) {
				f.echo = p.echo
				return p, nil
			}
		case <-timer.C:
			return packet{}, errTimeout
		}
	}
}

// awaitReset waits for a reset during a pause between two requests.
func (f *flow) pause(d time.Duration) error {
	_, err := f.receive(time.Now().Add(d), func(*packet) bool { return false })
	if errors.Is(err, errReset) {
		return err
	}
	return nil
}

func (f *flow) send(p *packet) {
	p.src, p.dst, p.echo = f.from, f.to, f.echo
	if p.flags&flagSYN != 0 {
		p.echo = 0
	}
	n := f.c.lab.choose(f.c.zone, f.from, f.to)
	if n == nil {
		return
	}
	f.via = n.id
	if f.c.loss > 0 && rand.Float64() < f.c.loss {
		return
	}
	_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(n.ip, f.c.lab.ports.datagram))
}

func (f *flow) String() string { return fmt.Sprintf("%s>%s", f.from, f.to) }
