// Package fabric is the stand-in for the network fabric: it receives callers'
// datagrams at public addresses and sends each one to a random instance that the
// platform lists as not leaving. It also proxies the links between instances and
// injects network faults.
package fabric

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/standin/platform"
)

const (
	maxDatagramSize = 64 << 10
	// socketBufferSize is large enough for bursts of several thousand datagrams,
	// so that datagrams are lost only through the configured faults.
	socketBufferSize = 4 << 20
)

// Options configures a Fabric.
type Options struct {
	PlatformURL  string                // base URL of the platform
	PublicIPs    map[string]netip.Addr // public IP of each data centre
	Ports        []uint16              // UDP port of each service
	Links        []Link                // peer listeners reached through the fabric
	PollInterval time.Duration         // interval at which the instance list is fetched
	IdleTimeout  time.Duration         // time without traffic after which the upstream socket of a caller is closed
	Seed         uint64
	Logger       *slog.Logger
}

// Fabric forwards datagrams between callers and instances.
type Fabric struct {
	opt           Options
	mu            sync.Mutex
	liveInstances map[string][]platform.Instance // not leaving, by data centre
	instanceByIP  map[netip.Addr]platform.Instance
	faults        Faults
	// linkReset is closed and replaced to close the connections between data centres.
	linkReset chan struct{}
	counts    Counts
	rng       *rand.Rand
	routes    map[routeKey]*route
}

// routeKey identifies a caller's endpoint and the public address that it uses.
type routeKey struct {
	caller netip.AddrPort
	public netip.AddrPort
}

// route holds the upstream socket of one caller. Instances see the caller's own
// IP address with one stable port; replies are sent to the caller from the public
// address.
type route struct {
	key      routeKey
	dc       string
	upstream *net.UDPConn
	public   *net.UDPConn
	lastUsed time.Time // guarded by Fabric.mu
}

// New returns a fabric; Run starts it.
func New(opt Options) *Fabric {
	if opt.Logger == nil {
		opt.Logger = slog.Default()
	}
	return &Fabric{
		opt:           opt,
		liveInstances: map[string][]platform.Instance{},
		instanceByIP:  map[netip.Addr]platform.Instance{},
		counts:        Counts{Instances: map[string]int{}},
		linkReset:     make(chan struct{}),
		rng:           rand.New(rand.NewPCG(opt.Seed, opt.Seed)),
		routes:        map[routeKey]*route{},
	}
}

// Run listens on every public address and forwards datagrams until ctx is
// cancelled.
func (f *Fabric) Run(ctx context.Context) error {
	var sockets []*net.UDPConn
	defer func() {
		for _, c := range sockets {
			_ = c.Close()
		}
		f.closeIdleRoutes(time.Now().Add(24 * time.Hour)) // closes all routes
	}()
	for dc, ip := range f.opt.PublicIPs {
		for _, port := range f.opt.Ports {
			c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, port)))
			if err != nil {
				return eris.Wrapf(err, "listen on public address of data centre %s", dc)
			}
			_ = c.SetReadBuffer(socketBufferSize) // the kernel may limit the size
			sockets = append(sockets, c)
			go f.forwardRequests(c, dc)
		}
	}
	for _, l := range f.opt.Links {
		if err := f.serveLink(ctx, l); err != nil {
			return err
		}
	}
	poll := time.NewTicker(f.opt.PollInterval)
	defer poll.Stop()
	for {
		f.refreshInstances(ctx)
		f.closeIdleRoutes(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-poll.C:
		}
	}
}

// refreshInstances fetches the instance list. The previous list stays in use
// while the platform does not respond.
func (f *Fabric) refreshInstances(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.opt.PlatformURL+"/v1/instances", nil)
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var list struct{ Instances []platform.Instance }
	if json.NewDecoder(resp.Body).Decode(&list) != nil {
		return
	}
	live := map[string][]platform.Instance{}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, in := range list.Instances {
		ip, err := netip.ParseAddr(in.CallerIP)
		if err != nil {
			f.opt.Logger.Warn("ignoring instance with invalid caller IP", "instance", in.ID, "caller_ip", in.CallerIP)
			continue
		}
		f.instanceByIP[ip] = in
		if !in.Leaving {
			live[in.DataCentre] = append(live[in.DataCentre], in)
		}
	}
	f.liveInstances = live
}

// forwardRequests forwards the datagrams that callers send to one public address.
func (f *Fabric) forwardRequests(c *net.UDPConn, dc string) {
	public := c.LocalAddr().(*net.UDPAddr).AddrPort()
	buf := make([]byte, maxDatagramSize)
	for {
		n, caller, err := c.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		caller = netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port())
		r, err := f.routeFor(routeKey{caller: caller, public: public}, dc, c)
		if err != nil {
			f.opt.Logger.Error("cannot open upstream socket", "caller", caller, "error", err)
			continue
		}
		f.applyFaults(dc, buf[:n], func(datagram []byte) {
			if in, to, ok := f.pickInstance(dc, public.Port()); ok {
				if _, err := r.upstream.WriteToUDPAddrPort(datagram, to); err == nil {
					f.updateCounts(func(c *Counts) { c.ToInstances++; c.Instances[in.ID]++ })
				}
			}
		})
	}
}

// pickInstance returns a random live instance of the data centre. It returns
// false if there is none or if faults block the chosen one.
func (f *Fabric) pickInstance(dc string, port uint16) (in platform.Instance, to netip.AddrPort, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	live := f.liveInstances[dc]
	if len(live) == 0 {
		f.counts.NoInstance++
		return in, to, false
	}
	in = live[f.rng.IntN(len(live))]
	if f.faults.blocks(in) {
		f.counts.Blocked++
		return in, to, false
	}
	return in, netip.AddrPortFrom(netip.MustParseAddr(in.CallerIP), port), true
}

func (f *Fabric) routeFor(k routeKey, dc string, public *net.UDPConn) (*route, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.routes[k]; ok {
		r.lastUsed = time.Now()
		return r, nil
	}
	up, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(k.caller.Addr(), 0)))
	if err != nil {
		return nil, eris.Wrapf(err, "bind to the IP of caller %s", k.caller)
	}
	r := &route{key: k, dc: dc, upstream: up, public: public, lastUsed: time.Now()}
	f.routes[k] = r
	f.counts.Sockets++
	go f.forwardReplies(r)
	return r, nil
}

// forwardReplies forwards datagrams from instances to the caller of r.
func (f *Fabric) forwardReplies(r *route) {
	buf := make([]byte, maxDatagramSize)
	for {
		n, from, err := r.upstream.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		f.mu.Lock()
		in, known := f.instanceByIP[from.Addr().Unmap()]
		blocked := known && f.faults.blocks(in)
		if !known || from.Port() != r.key.public.Port() {
			f.counts.Stray++
		}
		if blocked {
			f.counts.Blocked++
		}
		r.lastUsed = time.Now()
		f.mu.Unlock()
		if !known || blocked || from.Port() != r.key.public.Port() {
			continue
		}
		f.applyFaults(r.dc, buf[:n], func(datagram []byte) {
			if _, err := r.public.WriteToUDPAddrPort(datagram, r.key.caller); err == nil {
				f.updateCounts(func(c *Counts) { c.ToCallers++ })
			}
		})
	}
}

func (f *Fabric) closeIdleRoutes(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, r := range f.routes {
		if now.Sub(r.lastUsed) > f.opt.IdleTimeout {
			_ = r.upstream.Close()
			delete(f.routes, k)
		}
	}
}

func (f *Fabric) updateCounts(change func(*Counts)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.counts)
}
