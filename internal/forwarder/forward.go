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
	"arbutusdock.example/arbutusdock/internal/coldlimit"
	"arbutusdock.example/arbutusdock/internal/fanout"
	"arbutusdock.example/arbutusdock/internal/follow"
	"arbutusdock.example/arbutusdock/internal/passthrough"
	"arbutusdock.example/arbutusdock/platform"
)

// readErrorDelay is the delay after a read error. It bounds the rate of errors.
const readErrorDelay = 10 * time.Millisecond

// forward reads and handles datagrams until the socket is closed. The core is used only
// by the goroutine that runs forward.
func (f *Forwarder) forward(ctx context.Context) error {
	buffer := make([]byte, platform.MaxDatagram)
	packet := buffer[platform.Headroom:]
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(packet)
		if err == nil {
			f.handlePacket(buffer[:platform.Headroom+n])
			f.core.TakeChecks(func(k passthrough.Check) { f.startCheck(ctx, k) })
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
			f.core.TakeChecks(func(k passthrough.Check) { f.startCheck(ctx, k) })
		default:
			f.metrics.readErrors.Inc()
			f.log.Warn("read-failed", "error", err)
			time.Sleep(readErrorDelay)
		}
	}
}

// runCommands runs all commands that are queued in the ring.
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

// apply passes an update to the core and marks the instance ready once the core has a
// configuration.
func (f *Forwarder) apply(u *follow.Update) {
	now := f.clock.now()
	f.formerAge, f.updatedAt = now.Sub(f.updatedAt), now.Add(-u.Age)
	if u.ApplyTo(now, f.core) {
		f.limitsColdTargets.Store(u.Config.LimitsColdTargets())
	}
	if !u.CurrentAt.IsZero() {
		f.core.ConfirmCurrent(f.clock.at(u.CurrentAt))
	}
	f.core.Tick(now)
	f.isolated.Store(f.core.Isolated()) // before the first probe is answered
	if f.core.Version() != 0 {
		f.fire(chart.InstanceReady)
	}
}

// isolatedTickInterval is the interval at which the core of an isolated instance, which may
// get no packets, is called.
const isolatedTickInterval = 100 * time.Millisecond

// tickWhileIsolated calls the core of an isolated instance until ctx ends, so that it checks
// whether a target answers again.
func (f *Forwarder) tickWhileIsolated(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.isolationBegan:
		}
		for f.isolated.Load() && f.submit(ctx, func() { f.core.Tick(f.clock.now()) }) {
			time.Sleep(isolatedTickInterval)
		}
	}
}

// setMembers passes the members of the fleet to the core.
func (f *Forwarder) setMembers(v *fanout.MembersView) {
	now := f.clock.now()
	view := coldlimit.View{Self: v.Self, Members: v.Members, UpdatedAt: now.Add(-v.Age), Lifetime: v.Lifetime}
	if v.Listed > 0 {
		view.ListedAt = now.Add(-v.Listed)
	}
	f.core.SetMembers(view)
}

// handlePacket processes one datagram. Its first Headroom bytes are reserved for the
// identity of the target; the packet follows.
func (f *Forwarder) handlePacket(datagram []byte) {
	now := f.clock.now()
	f.lastPacket.Store(int64(now))
	f.received.Add(1)
	packet := datagram[platform.Headroom:]
	var p passthrough.Packet
	if err := platform.ParsePacket(packet, &p); err != nil {
		f.metrics.malformed.Inc()
		return
	}
	if f.settings.ExtraOpenings > 0 && p.Flags.Has(passthrough.SYN) {
		p.Raw = packet
	}
	f.core.Tick(now)
	f.core.TakeExtraOpenings(f.sendExtraOpening)
	d := f.core.HandlePacket(now, &p)
	switch d.Verdict {
	case passthrough.Forward:
		if d.Reason != passthrough.KnownCookie {
			platform.SetCookie(packet, d.Cookie)
		}
		platform.SetIdentity(datagram, d.Identity)
		f.send(datagram, d.Address.AddrPort())
	case passthrough.Reset:
		destination := netip.AddrPortFrom(netip.AddrFrom4(p.Flow.Caller.IP), f.settings.Listen.Port())
		f.send(platform.AppendReset(datagram[:0], &p), destination)
	}
	f.metrics.record(&d, f.clock.now().Sub(now))
	f.logDecision(now, &p, &d)
	f.trace(&p, &d)
	f.logEvents()
}

// sendExtraOpening sends an opening packet to a second target.
func (f *Forwarder) sendExtraOpening(o *passthrough.ExtraOpening) {
	datagram := append(make([]byte, platform.Headroom, platform.Headroom+passthrough.MaxOpeningBytes), o.Packet...)
	platform.SetCookie(datagram[platform.Headroom:], o.Decision.Cookie)
	platform.SetIdentity(datagram, o.Decision.Identity)
	f.send(datagram, o.Decision.Address.AddrPort())
	f.metrics.packets[o.Decision.Reason].Inc()
	f.logDecision(f.clock.now(), &passthrough.Packet{Flow: o.Flow}, &o.Decision)
}

func (f *Forwarder) send(datagram []byte, to netip.AddrPort) {
	if _, err := f.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		f.metrics.writeErrors.Inc()
	}
}
