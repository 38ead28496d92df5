package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxyMode is what a proxy does to connections.
type proxyMode int32

const (
	passAll   proxyMode = iota // all data is forwarded
	slow                       // each read is delayed by slowDelay
	refuse                     // connections are reset, and new ones closed at once
	silent                     // no data is forwarded, and no connection is closed
	oneWay                     // only data of the dialling side is forwarded
	modeCount                  // number of modes
)

// slowDelay is the delay of a slow proxy in each direction.
const slowDelay = 120 * time.Millisecond

// proxy is a TCP proxy on loopback in front of one address.
type proxy struct {
	listener net.Listener
	upstream string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
	// muted holds the connections on which no more data is forwarded.
	muted map[net.Conn]bool
}

func newProxy(address, upstream string) (*proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, upstream: upstream, conns: map[net.Conn]bool{}, muted: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		if proxyMode(p.mode.Load()) == refuse {
			reset(client)
			continue
		}
		server, err := net.Dial("tcp4", p.upstream)
		if err != nil {
			reset(client)
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = true, true
		p.mu.Unlock()
		go p.copy(server, client, true)
		go p.copy(client, server, false)
	}
}

// copy forwards bytes from one side to the other according to the mode.
func (p *proxy) copy(to, from net.Conn, forward bool) {
	defer p.closeConns(to, from)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		for m := proxyMode(p.mode.Load()); m == silent || (m == oneWay && !forward) || p.isMuted(from); m = proxyMode(p.mode.Load()) {
			time.Sleep(20 * time.Millisecond)
			if p.closed(from) {
				return
			}
		}
		if proxyMode(p.mode.Load()) == slow {
			time.Sleep(slowDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) isMuted(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.muted[c]
}

func (p *proxy) closed(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.conns[c]
}

func (p *proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		delete(p.muted, c)
		_ = c.Close()
	}
}

// setMode changes the mode. The mode refuse resets the open connections.
func (p *proxy) setMode(m proxyMode) {
	p.mode.Store(int32(m))
	if m == refuse {
		p.resetOpen()
	}
}

func (p *proxy) resetOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// muteOpen stops forwarding on the open connections for good; new ones work.
func (p *proxy) muteOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.muted[c] = true
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetOpen()
}

// reset closes a connection with RST in place of FIN.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
