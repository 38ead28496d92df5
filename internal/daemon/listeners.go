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
	// removedSocketLinger is the time for which the socket of a removed service
	// stays open, so that requests in progress get their responses.
	removedSocketLinger = 10 * time.Second
	// rebindInterval is the time after which a failed bind is retried.
	rebindInterval = time.Second
)

// serviceListeners holds the service sockets. Only the core goroutine may use
// it.
type serviceListeners struct {
	defaultIP    netip.Addr // used by services without a configured address
	receiveQueue *ring.Ring[*packet]
	writers      []*writer
	log          *slog.Logger
	counts       socketCounts

	byAddress map[netip.AddrPort]*serviceListener
	byService map[ids.Service]*serviceListener
	rebindAt  time.Time
}

type serviceListener struct {
	address     netip.AddrPort
	service     ids.Service
	socket      *socket
	unusedSince time.Time // time at which its service was removed; zero while in use
}

// callerWriterCount is the number of goroutines that send to callers. With more
// than one, a socket whose send buffer is full does not block all the others.
const callerWriterCount = 4

func newServiceListeners(ip netip.Addr, receiveQueue *ring.Ring[*packet], writerCapacity int, log *slog.Logger, metrics *telemetry.Registry) *serviceListeners {
	l := &serviceListeners{
		defaultIP: ip, receiveQueue: receiveQueue, log: log,
		counts:    newSocketCounts(metrics, "caller"),
		byAddress: make(map[netip.AddrPort]*serviceListener),
		byService: make(map[ids.Service]*serviceListener),
	}
	for i := range callerWriterCount {
		w := newWriter(writerCapacity)
		l.writers = append(l.writers, w)
		metrics.RegisterRing("write_caller_"+strconv.Itoa(i), w.queue.Stats)
	}
	return l
}

// address returns the address on which s receives datagrams from callers.
func (l *serviceListeners) address(s *config.Service) netip.AddrPort {
	ip := s.Address
	if !ip.IsValid() || ip.IsUnspecified() {
		ip = l.defaultIP
	}
	return netip.AddrPortFrom(ip, s.Port)
}

// apply opens a socket for each of services, and marks the sockets that no
// service uses any more, so that closeUnused closes them.
func (l *serviceListeners) apply(now time.Time, services []config.Service) {
	l.rebindAt = time.Time{}
	wanted := l.resolve(services)
	clear(l.byService)
	for address, listener := range l.byAddress {
		if _, used := wanted[address]; !used && listener.unusedSince.IsZero() {
			listener.unusedSince = now
			l.byService[listener.service] = listener // responses in progress are still sent from this socket
		}
	}
	for address, service := range wanted {
		l.assign(now, address, service)
	}
}

// resolve returns the service of each address. When several services are
// configured with the same address, the service that already uses the address
// keeps it. If none of them does, the address is not served: another instance
// may serve it for any of the services, and a datagram sent to the address must
// not reach a different service at this instance.
func (l *serviceListeners) resolve(services []config.Service) map[netip.AddrPort]ids.Service {
	namesByAddress := make(map[netip.AddrPort][]ids.Service, len(services))
	for i := range services {
		address := l.address(&services[i])
		namesByAddress[address] = append(namesByAddress[address], services[i].Name)
	}
	wanted := make(map[netip.AddrPort]ids.Service, len(namesByAddress))
	for address, names := range namesByAddress {
		if len(names) == 1 {
			wanted[address] = names[0]
			continue
		}
		served := "none"
		if listener := l.byAddress[address]; listener != nil && listener.unusedSince.IsZero() && slices.Contains(names, listener.service) {
			wanted[address] = listener.service
			served = string(listener.service)
		}
		l.log.Error("service-address-conflict", "address", address, "services", names, "served", served)
	}
	return wanted
}

func (l *serviceListeners) assign(now time.Time, address netip.AddrPort, service ids.Service) {
	listener := l.byAddress[address]
	if listener == nil {
		writer := l.writers[ids.HashEndpoint(address)%callerWriterCount]
		socket, err := openSocket(address, &service, l.receiveQueue, writer, l.counts)
		if err != nil {
			l.log.Error("service-socket-failed", "service", service, "address", address, "error", err)
			l.rebindAt = now.Add(rebindInterval)
			return
		}
		listener = &serviceListener{address: address, socket: socket}
		l.byAddress[address] = listener
		l.log.Info("service-socket-opened", "service", service, "address", address)
	}
	listener.service, listener.unusedSince = service, time.Time{}
	listener.socket.service.Store(&service)
	l.byService[service] = listener
}

// closeUnused closes the sockets that have been unused for removedSocketLinger.
// It reports whether the caller must call apply again to retry a failed bind.
func (l *serviceListeners) closeUnused(now time.Time) (retryBind bool) {
	for address, listener := range l.byAddress {
		if !listener.unusedSince.IsZero() && now.Sub(listener.unusedSince) >= removedSocketLinger {
			l.closeListener(address, listener)
		}
	}
	return !l.rebindAt.IsZero() && now.After(l.rebindAt)
}

func (l *serviceListeners) closeListener(address netip.AddrPort, listener *serviceListener) {
	delete(l.byAddress, address)
	if l.byService[listener.service] == listener {
		delete(l.byService, listener.service)
	}
	listener.socket.close()
	l.log.Info("service-socket-closed", "service", listener.service, "address", address)
}

// send queues p to be sent from the address of its service. It returns false
// when the service has no socket.
func (l *serviceListeners) send(p *packet) bool {
	listener := l.byService[p.service]
	if listener == nil {
		return false
	}
	listener.socket.send(p)
	return true
}

// close sends the queued datagrams and closes all sockets.
func (l *serviceListeners) close() {
	for _, w := range l.writers {
		w.close()
	}
	for _, listener := range l.byAddress {
		listener.socket.close()
	}
}
