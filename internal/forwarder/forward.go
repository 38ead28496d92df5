package forwarder

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/chart"
	"arbutusdock.example/arbutusdock/internal/follow"
	"arbutusdock.example/arbutusdock/internal/passthrough"
	"arbutusdock.example/arbutusdock/platform"
)

// readPause bounds the rate of repeated read errors.
const readPause = 10 * time.Millisecond

// forward reads and decides until the socket is closed. It alone uses the core.
func (f *Forwarder) forward(ctx context.Context) error {
	buffer := make([]byte, platform.MaxDatagram)
	packet := buffer[platform.Headroom:]
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(packet)
		if err == nil {
			f.packet(buffer[:platform.Headroom+n])
			f.core.TakeChecks(func(k passthrough.Check) { f.check(ctx, k) })
			continue
		}
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			if err := f.conn.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, net.ErrClosed) {
				return eris.Wrap(err, "reset read deadline")
			}
			f.runCommands()
		default:
			f.metrics.readErrors.Inc()
			f.log.Warn("read-failed", "error", err)
			time.Sleep(readPause)
		}
	}
}

// runCommands runs everything that waits in the ring.
func (f *Forwarder) runCommands() {
	for {
		select {
		case command := <-f.commands.Out():
			command()
		default:
			f.logEvents()
			return
		}
	}
}

// apply passes an update to the core.
func (f *Forwarder) apply(u *follow.Update) {
	now := f.clock.now()
	f.updatedAt = now.Add(-u.Age)
	if u.AfterOutage {
		f.core.PlatformRecovered(now)
	}
	if u.Config != nil {
		f.core.ApplyConfig(u.Config)
	}
	var present []*passthrough.TargetRecord // of a complete update
	for _, t := range u.Targets {
		switch {
		case t.Unreadable:
			f.core.RemoveUnreadable(now, t.Name)
		case t.Removed:
			f.core.RemoveTarget(now, t.Name)
		case u.Complete:
			present = append(present, &t.Record)
		default:
			f.core.PutTarget(now, &t.Record)
		}
	}
	if u.Complete {
		f.core.ReplaceTargets(now, present)
	}
	f.core.Tick(now)
	if f.core.Version() != 0 {
		f.fire(chart.InstanceReady)
	}
}

// packet decides about one datagram, whose first Headroom bytes are free.
func (f *Forwarder) packet(datagram []byte) {
	now := f.clock.now()
	f.lastPacket.Store(int64(now))
	f.received.Add(1)
	packet := datagram[platform.Headroom:]
	var p passthrough.Packet
	if err := platform.ParsePacket(packet, &p); err != nil {
		f.metrics.malformed.Inc()
		return
	}
	f.core.Tick(now)
	d := f.core.HandlePacket(now, &p)
	switch d.Verdict {
	case passthrough.Forward:
		if d.Reason != passthrough.KnownCookie {
			platform.SetCookie(packet, d.Cookie)
		}
		platform.SetIdentity(datagram, d.Identity)
		f.send(datagram, d.Address.AddrPort())
	case passthrough.Reset:
		at := netip.AddrPortFrom(netip.AddrFrom4(p.Flow.Caller.IP), f.settings.Listen.Port())
		f.send(platform.AppendReset(datagram[:0], &p), at)
	}
	f.metrics.record(&d, f.clock.now().Sub(now))
	f.logDecision(now, &p, &d)
	f.trace(&p, &d)
	f.logEvents()
}

func (f *Forwarder) send(datagram []byte, to netip.AddrPort) {
	if _, err := f.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		f.metrics.writeErrors.Inc()
	}
}
