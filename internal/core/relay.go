package core

import (
	"encoding/binary"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// relay hands the datagram of a over to another instance, which responds to
// the caller directly.
func (c *Core) relay(a *arrival, to ids.Instance) {
	c.forward(&a.exchange, a.m.Raw, a.age, a.hops, a.trace, to)
}

func (c *Core) forward(x *exchange, datagram []byte, age time.Duration, hops uint8, trace uint64, to ids.Instance) {
	s := x.svc
	b := c.peer(s)
	binary.BigEndian.PutUint64(b.trace[:], trace)
	b.relay = peerwire.Relay{
		Service: s.name, Caller: b.address(x.caller), Datagram: datagram, Hops: hops + 1, Trace: b.trace[:],
		AgeMS: uint32(age / time.Millisecond), Acked: x.acked,
	}
	b.message.Relay = &b.relay
	if p := s.peer(to); p != nil && p.free > 0 {
		p.free-- // until the next report, so that one free slot is not used twice
	}
	c.send(to, b)
	c.counts.Relayed++
	c.span(Relayed, s, trace, c.now)
}

// offerSlots tells the co-owner with the longest known backlog about free
// slots that nothing waits for here.
func (c *Core) offerSlots(s *service) {
	if !c.accepting() || s.queues[spread.Short].Len() > 0 {
		return
	}
	free := s.pool.Free(spread.Short)
	if free <= 0 {
		return
	}
	var best *peer
	for i := range s.peers {
		p := &s.peers[i]
		if p.backlog > 0 && c.now.Sub(p.heard) <= loadReportTTL && (best == nil || p.backlog > best.backlog) {
			best = p
		}
	}
	if best == nil {
		return
	}
	count := min(free, best.backlog)
	best.backlog -= count
	b := c.peer(s)
	b.slotFree = peerwire.SlotFree{Service: s.name, Count: uint16(count)}
	b.message.SlotFree = &b.slotFree
	c.send(best.id, b)
}

// slotFree relays queued requests to an instance that has free slots. Admitted
// requests stay: only the incarnation that their token names may run them.
func (c *Core) slotFree(from ids.Instance, m *peerwire.SlotFree) {
	s := c.services[m.Service]
	if s == nil {
		return
	}
	left := int(m.Count)
	s.queues[spread.Short].RemoveIf(func(r *request) bool {
		if left == 0 || !c.relayable(r) {
			return false
		}
		left--
		return true
	}, func(r *request) { c.forwardQueued(r, from) })
}

// relayable reports whether a queued request may be relayed. An admitted one may
// run here only; one that was sent to a backend server stays, as the next
// instance would not know of it and count its attempts anew.
func (c *Core) relayable(r *request) bool {
	return !r.isAdmitted && r.attempts == 0 && r.hops < maxHops && c.now < r.deadline
}

// forwardQueued relays a request that was taken out of its queue.
func (c *Core) forwardQueued(r *request, to ids.Instance) {
	r.svc.partners[r.partner].queued[r.class]--
	c.forward(&r.exchange, r.raw, c.now.Sub(r.arrived), r.hops, r.trace, to)
	c.drop(r)
}

// reportLoads reports the load of this instance to instances that would otherwise
// rely on an old report: those that relay to it while it has no free slot, and
// while requests wait some that may have free slots.
func (c *Core) reportLoads(s *service) {
	if c.now.Sub(s.loadReported) < loadReportInterval || len(s.peers) == 0 || s.owned() == 0 {
		return
	}
	free, backlog := s.pool.Free(spread.Short), s.backlog()
	if free > 0 && backlog == 0 {
		return
	}
	sent, start := 0, c.rng.IntN(len(s.peers))
	for i := range min(len(s.peers), scanPeers) {
		p := &s.peers[(start+i)%len(s.peers)]
		relays := c.now.Sub(p.relayed) < 2*loadReportInterval && p.relayed != 0
		waits := p.backlog > 0 && c.now.Sub(p.heard) <= loadReportTTL
		if sent == maxLoadReports || !relays && (backlog == 0 || waits) {
			continue
		}
		c.reportLoad(s, p.id)
		sent++
	}
	if sent > 0 {
		s.loadReported = c.now
	}
}
