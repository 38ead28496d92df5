package daemon

import (
	"log/slog"
	"net/netip"
	"time"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/ring"
	"arbutusdock.example/arbutusdock/internal/telemetry"
)

const (
	// closeAfter is the time for which the socket of a removed service stays
	// open, so that requests under way get their responses.
	closeAfter = 10 * time.Second
	// reopenAfter is the time after which a failed bind is repeated.
	reopenAfter = time.Second
)

// listeners holds the service sockets. It belongs to the core goroutine.
type listeners struct {
	ip      netip.Addr // for services that name no address
	in      *ring.Ring[*packet]
	writes  int
	log     *slog.Logger
	metrics *telemetry.Registry
	counts  socketCounts

	open      map[netip.AddrPort]*listener
	byService map[ids.Service]*listener
	retryAt   time.Time
}

type listener struct {
	at      netip.AddrPort
	service ids.Service
	socket  *socket
	unused  time.Time // since when no service uses it; zero while in use
}

func newListeners(ip netip.Addr, in *ring.Ring[*packet], writes int, log *slog.Logger, metrics *telemetry.Registry) *listeners {
	return &listeners{
		ip: ip, in: in, writes: writes, log: log, metrics: metrics,
		counts:    newSocketCounts(metrics, "caller"),
		open:      make(map[netip.AddrPort]*listener),
		byService: make(map[ids.Service]*listener),
	}
}

// address returns where callers reach s.
func (l *listeners) address(s *config.Service) netip.AddrPort {
	ip := s.Address
	if !ip.IsValid() || ip.IsUnspecified() {
		ip = l.ip
	}
	return netip.AddrPortFrom(ip, s.Port)
}

// apply opens and closes sockets so that each of services has one. When two
// services name the same address the first in order of name has it; datagrams
// must never reach the other one. It reports whether a bind is to be repeated.
func (l *listeners) apply(now time.Time, services []config.Service) {
	l.retryAt = time.Time{}
	wanted := make(map[netip.AddrPort]ids.Service, len(services))
	for i := range services {
		s := &services[i]
		at := l.address(s)
		if first, taken := wanted[at]; taken {
			l.log.Error("service_address_conflict", "service", s.Name, "address", at, "used_by", first)
			continue
		}
		wanted[at] = s.Name
	}
	clear(l.byService)
	for at, o := range l.open {
		if _, used := wanted[at]; !used && o.unused.IsZero() {
			o.unused = now
			l.byService[o.service] = o // responses under way leave from here
		}
	}
	for at, service := range wanted {
		l.use(now, at, service)
	}
}

func (l *listeners) use(now time.Time, at netip.AddrPort, service ids.Service) {
	o := l.open[at]
	if o == nil {
		s, err := openSocket(at, &service, l.in, l.writes, l.counts)
		if err != nil {
			l.log.Error("service_socket_failed", "service", service, "address", at, "error", err)
			l.retryAt = now.Add(reopenAfter)
			return
		}
		o = &listener{at: at, socket: s}
		l.open[at] = o
		l.metrics.Ring(ringName(at), s.out.Stats)
		l.log.Info("service_socket_opened", "service", service, "address", at)
	}
	o.service, o.unused = service, time.Time{}
	o.socket.service.Store(&service)
	l.byService[service] = o
}

func ringName(at netip.AddrPort) string { return "write_service_" + at.String() }

// expire closes the sockets that are no longer used and reports whether apply
// is to be called again for a bind that failed.
func (l *listeners) expire(now time.Time) (again bool) {
	for at, o := range l.open {
		if !o.unused.IsZero() && now.Sub(o.unused) >= closeAfter {
			l.remove(at, o)
		}
	}
	return !l.retryAt.IsZero() && now.After(l.retryAt)
}

func (l *listeners) remove(at netip.AddrPort, o *listener) {
	delete(l.open, at)
	if l.byService[o.service] == o {
		delete(l.byService, o.service)
	}
	l.metrics.RemoveRing(ringName(at))
	go o.socket.close() // waits for its goroutines
	l.log.Info("service_socket_closed", "service", o.service, "address", at)
}

// send sends p from the address of its service. It reports false when the
// service has no socket.
func (l *listeners) send(p *packet) bool {
	o := l.byService[p.service]
	if o == nil {
		return false
	}
	o.socket.send(p)
	return true
}

// close writes what is queued and closes all sockets.
func (l *listeners) close() {
	for _, o := range l.open {
		o.socket.close()
	}
}
