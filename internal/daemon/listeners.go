package daemon

import (
	"log/slog"
	"net/netip"
	"slices"
	"strconv"
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
	writers []*writer
	log     *slog.Logger
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

// serviceWriters is the number of goroutines that send to callers. More than
// one keeps a socket whose send buffer is full from holding up all others.
const serviceWriters = 4

func newListeners(ip netip.Addr, in *ring.Ring[*packet], writes int, log *slog.Logger, metrics *telemetry.Registry) *listeners {
	l := &listeners{
		ip: ip, in: in, log: log,
		counts:    newSocketCounts(metrics, "caller"),
		open:      make(map[netip.AddrPort]*listener),
		byService: make(map[ids.Service]*listener),
	}
	for i := range serviceWriters {
		w := newWriter(writes)
		l.writers = append(l.writers, w)
		metrics.RegisterRing("write_caller_"+strconv.Itoa(i), w.ring.Stats)
	}
	return l
}

// address returns where callers reach s.
func (l *listeners) address(s *config.Service) netip.AddrPort {
	ip := s.Address
	if !ip.IsValid() || ip.IsUnspecified() {
		ip = l.ip
	}
	return netip.AddrPortFrom(ip, s.Port)
}

// apply opens and closes sockets so that each of services has one.
func (l *listeners) apply(now time.Time, services []config.Service) {
	l.retryAt = time.Time{}
	wanted := l.resolve(services)
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

// resolve returns the service of each address. When several services name one
// address, the one that holds it keeps it; if none does, none gets it: another
// instance may serve the address for any of them, and its datagrams must not
// reach a different service here.
func (l *listeners) resolve(services []config.Service) map[netip.AddrPort]ids.Service {
	claims := make(map[netip.AddrPort][]ids.Service, len(services))
	for i := range services {
		at := l.address(&services[i])
		claims[at] = append(claims[at], services[i].Name)
	}
	wanted := make(map[netip.AddrPort]ids.Service, len(claims))
	for at, names := range claims {
		if len(names) == 1 {
			wanted[at] = names[0]
			continue
		}
		served := "none"
		if o := l.open[at]; o != nil && o.unused.IsZero() && slices.Contains(names, o.service) {
			wanted[at] = o.service
			served = string(o.service)
		}
		l.log.Error("service-address-conflict", "address", at, "services", names, "served", served)
	}
	return wanted
}

func (l *listeners) use(now time.Time, at netip.AddrPort, service ids.Service) {
	o := l.open[at]
	if o == nil {
		writer := l.writers[ids.HashEndpoint(at)%serviceWriters]
		s, err := openSocket(at, &service, l.in, writer, l.counts)
		if err != nil {
			l.log.Error("service-socket-failed", "service", service, "address", at, "error", err)
			l.retryAt = now.Add(reopenAfter)
			return
		}
		o = &listener{at: at, socket: s}
		l.open[at] = o
		l.log.Info("service-socket-opened", "service", service, "address", at)
	}
	o.service, o.unused = service, time.Time{}
	o.socket.service.Store(&service)
	l.byService[service] = o
}

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
	o.socket.close()
	l.log.Info("service-socket-closed", "service", o.service, "address", at)
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
	for _, w := range l.writers {
		w.close()
	}
	for _, o := range l.open {
		o.socket.close()
	}
}
