package core

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/spread"
	"gotest.tools/v3/assert"
)

// Guards against a request that is lost, answered twice, or answered by
// another instance than the one that serves it.
func TestIdempotentRequestAtEveryInstance(t *testing.T) {
	w := newWorld(t, 3, resolved("s", 6))
	for i := range 3 {
		w.reset()
		w.send(i, callerA, get(uint16(i+1)))
		w.advance(100 * time.Millisecond)
		got := w.finals(callerA)
		assert.Equal(t, len(got), 1)
		assert.Equal(t, got[0].m.Code, message.Content)
		assert.Equal(t, got[0].m.Type, message.Acknowledgement)
		assert.Equal(t, got[0].m.ID, uint16(i+1))
		assert.Equal(t, len(w.executions(message.GET)), 1)
		assert.Equal(t, got[0].core, w.executions(message.GET)[0].core)
	}
}

// Guards against a second execution when repeats arrive at several instances
// while the request runs and after it has finished, from a new endpoint too.
func TestNonIdempotentRunsOnce(t *testing.T) {
	w := newWorld(t, 3, resolved("s", 6))
	w.run = 500 * time.Millisecond
	d := post(7, "claim")
	d.echo = w.grant(0, callerA, d)
	assert.Equal(t, len(w.executions(message.POST)), 0)
	for i := range 3 {
		w.send(i, callerA, d)
		w.advance(20 * time.Millisecond)
	}
	w.advance(time.Second)
	w.send(1, callerN(9), d)
	w.send(2, callerA, d)
	w.advance(100 * time.Millisecond)
	assert.Equal(t, len(w.executions(message.POST)), 1)
	assert.Assert(t, w.executions(message.POST)[0].m.Echo == nil, "the token reached the backend server")
	for _, r := range w.finals(callerA)[1:] {
		assert.Equal(t, r.m.Code, message.Content)
	}
	assert.Equal(t, w.finals(callerN(9))[0].m.Code, message.Content)
}

// Guards against a response that reaches another caller, or is delivered after
// the request has ended.
func TestLateAndCrossedResponsesAreDropped(t *testing.T) {
	w := newWorld(t, 2, resolved("s", 4))
	w.serve = func(received) *message.Outgoing { return nil }
	w.send(0, callerA, get(1))
	w.advance(50 * time.Millisecond)
	sent := w.executions(message.GET)
	assert.Equal(t, len(sent), 1)
	core, target := sent[0].core, sent[0].target
	o := &message.Outgoing{Type: message.Confirmable, Code: message.Content, ID: 5, Token: sent[0].m.Token}
	from, other := ids.Endpoint{}, ids.Endpoint{}
	for _, x := range w.cores[0].services["s"].config.Service.Targets {
		if x.Name == target {
			from = x.Address
		} else {
			other = x.Address
		}
	}
	w.fromBackend(core, other, o)
	assert.Equal(t, len(w.finals(callerA)), 0)
	w.advance(5 * time.Second)
	got := len(w.finals(callerA))
	w.fromBackend(core, from, o)
	assert.Equal(t, len(w.finals(callerA)), got)
	resets := w.executions(message.Empty)
	assert.Equal(t, resets[len(resets)-1].m.Type, message.Reset)
	assert.Equal(t, w.cores[core].counts.LateResponses, uint64(2))
	assert.Equal(t, len(w.cores[core].upstreams)+len(w.cores[core].exchanges)+len(w.cores[core].requests), 0)
}

// Guards against a separate response whose message id, chosen by the backend
// server, equals that of another request in flight there: only the token counts.
func TestResponseIsMatchedByToken(t *testing.T) {
	w := newWorld(t, 1, resolved("s", 1))
	w.serve = func(received) *message.Outgoing { return nil }
	w.send(0, callerN(1), get(1))
	w.send(0, callerN(2), get(2))
	sent := w.executions(message.GET)
	assert.Equal(t, len(sent), 2)
	w.fromBackend(0, w.cores[0].services["s"].config.Service.Targets[0].Address, &message.Outgoing{
		Type: message.Confirmable, Code: message.Content, ID: sent[1].m.ID, Token: sent[0].m.Token})
	assert.Equal(t, len(w.finals(callerN(1))), 1)
	assert.Equal(t, len(w.finals(callerN(2))), 0)
}

// Guards against work that goes on after the caller has cancelled it.
func TestCancelledRequestIsCancelledAtBackend(t *testing.T) {
	w := newWorld(t, 1, resolved("s", 2))
	w.run = time.Second
	w.send(0, callerA, get(1))
	w.empty(0, callerA, message.Reset, 1)
	sent := w.executions(message.GET)[0]
	reset := w.executions(message.Empty)[0]
	assert.Equal(t, reset.m.ID, sent.m.ID)
	assert.Equal(t, w.pool(0).Free(spread.Short), 4)
	w.advance(2 * time.Second)
	assert.Equal(t, len(w.finals(callerA)), 0)
}

// Guards against a caller that retransmits while a request runs, and against a
// lost ACK of a separate response: it may arrive at any instance.
func TestSeparateResponseIsConfirmed(t *testing.T) {
	w := newWorld(t, 3, resolved("s", 6))
	w.run = 1700 * time.Millisecond
	for n := range 8 {
		caller := callerN(n)
		w.reset()
		w.send(n%3, caller, get(1))
		w.advance(1550 * time.Millisecond)
		assert.Equal(t, w.replies[0].m.Type, message.Acknowledgement)
		assert.Equal(t, w.replies[0].m.Code, message.Empty)
		w.send(n%3, caller, get(1)) // retransmission
		w.advance(1900 * time.Millisecond)
		got := w.finals(caller)
		assert.Equal(t, len(got), 2, "the response is retransmitted until its ACK")
		assert.Equal(t, got[0].m.Type, message.Confirmable)
		assert.Equal(t, got[0].m.ID, got[1].m.ID)
		w.empty((n+1)%3, caller, message.Acknowledgement, got[0].m.ID)
		w.advance(20 * time.Second)
		assert.Equal(t, len(w.finals(caller)), 2)
		assert.Equal(t, len(w.executions(message.GET)), 1)
	}
}

// Guards against a refusal that is held back, and against a queue that exceeds
// the time limit.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t, 1, resolved("s", 2))
	w.run = 200 * time.Millisecond
	w.acks = true
	for n := range 200 {
		w.send(0, callerN(n), get(1))
	}
	refused := 0
	for _, r := range w.replies {
		assert.Equal(t, r.m.Code, message.ServiceUnavailable)
		assert.Assert(t, !bytes.HasSuffix(r.m.Raw, notRun), "another instance may have run an idempotent request")
		assert.Assert(t, r.m.MaxAge >= 1)
		refused++
	}
	assert.Equal(t, refused, 200-4-100)
	w.advance(6 * time.Second)
	finals := map[ids.Endpoint]int{}
	for n := range 200 {
		finals[callerN(n)] = len(w.finals(callerN(n)))
		assert.Equal(t, finals[callerN(n)], 1)
	}
	assert.Equal(t, len(w.cores[0].live)+w.cores[0].services["s"].backlog(), 0)
}

// Guards against an idempotent request that fails with its backend server, and
// against retries beyond the budget.
func TestFailedBackendIsRetriedWithinBudget(t *testing.T) {
	w := newWorld(t, 1, resolved("s", 3))
	w.serve = func(b received) *message.Outgoing {
		if b.target == "t0" {
			return &message.Outgoing{Type: message.Reset, ID: b.m.ID}
		}
		return &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: b.m.ID, Token: b.m.Token}
	}
	for range 20 {
		w.cores[0].services["s"].budget.Deposit()
	}
	for n := range 40 {
		w.send(0, callerN(n), get(1))
		w.advance(30 * time.Millisecond)
		code := w.finals(callerN(n))[0].m.Code
		assert.Assert(t, n > 2 || code == message.Content, "%d: %x", n, code)
	}
	c := w.cores[0].counts
	assert.Assert(t, c.Retries >= 1 && c.Retries <= 6, "%d retries", c.Retries)
}

// Guards against a request that waits at one instance while another has a free
// slot.
func TestFreeSlotTakesQueuedRequestOfAnotherInstance(t *testing.T) {
	w := newWorld(t, 2, resolved("s", 4))
	busy := w.cores[0]
	w.run = time.Hour
	for n := 0; w.pool(0).Free(spread.Short) > 0; n++ {
		w.send(0, callerN(n), get(1))
	}
	a := arrival{exchange: exchange{svc: busy.services["s"], caller: callerN(99)}, hops: 0}
	m := get(1).encode(t)
	a.m, a.kind, a.id, a.token = &m, m.Type, m.ID, m.Token
	w.call(0, func(c *Core, out *Effects) {
		c.begin(w.now, out)
		c.enqueue(c.newRequest(&a), spread.Short)
	})
	w.run = 10 * time.Millisecond
	w.advance(70 * time.Millisecond) // the backlog becomes known
	for n := 50; len(w.finals(callerN(99))) == 0; n++ {
		assert.Assert(t, n < 60, "the queued request was not taken over")
		w.send(1, callerN(n), get(1)) // its end frees a slot
		w.advance(50 * time.Millisecond)
	}
	assert.Equal(t, w.finals(callerN(99))[0].core, 1)
}

// Guards against a retry that is relayed: the next instance does not know that a
// backend server may have run the request, and grants it all attempts again.
func TestRetryIsNotRelayed(t *testing.T) {
	w := newWorld(t, 2, resolved("s", 4))
	a := arrival{exchange: exchange{svc: w.cores[0].services["s"], caller: callerA}}
	m := get(1).encode(t)
	a.m, a.kind, a.id, a.token = &m, m.Type, m.ID, m.Token
	w.call(0, func(c *Core, out *Effects) {
		c.begin(w.now, out)
		c.refresh(a.svc)
		r := c.newRequest(&a)
		r.attempts, r.mayHaveRun = 1, true
		c.enqueue(r, spread.Short)
		c.slotFree("i1", &peerwire.SlotFree{Service: "s", Count: 1})
		assert.Equal(t, c.counts.Relayed, uint64(0))
		assert.Equal(t, a.svc.backlog(), 1)
	})
}

// Guards against a partner that asks for ten times its share taking more than
// its share of the slots.
func TestPartnersKeepTheirSplit(t *testing.T) {
	r := resolved("s", 6)
	r.Profile.Partners = []config.Partner{
		{Name: "a", Weight: 3, Networks: []netip.Prefix{netip.MustParsePrefix("192.0.2.0/25")}},
		{Name: "b", Weight: 1, Networks: []netip.Prefix{netip.MustParsePrefix("192.0.2.128/25")}},
	}
	w := newWorld(t, 3, r)
	w.run = 20 * time.Millisecond // capacity: 600 requests a second
	w.acks = true
	port := uint16(0)
	request := func(host byte) {
		port++
		w.send(int(port)%3, netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, host}), port), get(1))
	}
	for n := range 700 { // a: 600 a second, b: 6,000 a second
		if n == 200 {
			w.replies = nil
		}
		for range 3 {
			request(1)
		}
		for range 30 {
			request(200)
		}
		w.advance(5 * time.Millisecond)
	}
	served := map[bool]int{}
	for _, x := range w.replies {
		if x.m.Code == message.Content {
			served[x.caller.Addr().As4()[3] < 128]++
		}
	}
	share := float64(served[true]) / float64(served[true]+served[false])
	assert.Assert(t, share > 0.7125 && share < 0.7875, "share of a is %.3f", share)
	assert.Assert(t, served[true]+served[false] > 1425, "%d served of 1500", served[true]+served[false])
	t.Logf("share of a %.3f, %d served", share, served[true]+served[false])
}

// Guards against the blocks of one transfer coming from different backend
// servers.
func TestFollowUpBlocksGoToSameTarget(t *testing.T) {
	w := newWorld(t, 3, resolved("s", 6))
	for n := range 6 {
		w.reset()
		for num := range byte(6) {
			d := get(uint16(num))
			m := d.encode(t)
			if num > 0 {
				m = withBlock2(t, m.Raw, num<<4|2)
			}
			w.serve = func(b received) *message.Outgoing {
				raw := withBlock2(t, []byte{0x60, byte(message.Content), 0, 0}, num<<4|8|2).Raw
				return &message.Outgoing{Template: raw, Type: message.Acknowledgement, ID: b.m.ID, Token: b.m.Token}
			}
			w.sendMessage((n+int(num))%3, callerN(n), &m)
			w.advance(50 * time.Millisecond)
		}
		sent := w.executions(message.GET)
		assert.Equal(t, len(sent), 6)
		for _, b := range sent {
			assert.Equal(t, b.target, sent[0].target)
		}
	}
}

// Guards against the short run times of follow-up blocks making every first
// block of a transfer look long.
func TestFollowUpBlocksDoNotChangeTheClass(t *testing.T) {
	w := newWorld(t, 1, resolved("s", 2))
	for n := range 20 {
		for num := range byte(10) {
			w.run = time.Millisecond
			d := get(uint16(n*10 + int(num)))
			m := d.encode(t)
			if num > 0 {
				m = withBlock2(t, m.Raw, num<<4|2)
			} else {
				w.run = 20 * time.Millisecond
			}
			w.sendMessage(0, callerA, &m)
			w.advance(40 * time.Millisecond)
		}
	}
	s, d := w.cores[0].services["s"], get(1)
	m := d.encode(t)
	assert.Equal(t, s.pool.Classify(s.contentKey(&m)), spread.Short)
	assert.Assert(t, s.pool.RunTime() > 15*time.Millisecond, s.pool.RunTime())
}

// withBlock2 appends a Block2 option to a message whose last option is
// Uri-Path, or that has none.
func withBlock2(t assert.TestingT, raw []byte, v byte) message.Message {
	delta := byte(23 - 11)
	if len(raw) == 4 {
		raw, delta = append(raw, 0xd1, 23-13), 0
	} else {
		raw = append(append([]byte(nil), raw...), delta<<4|1)
	}
	raw = append(raw, v)
	var m message.Message
	assert.NilError(t, message.Decode(raw, &m))
	return m
}

// Guards against instances with different membership lists relaying a request
// in a loop.
func TestRelaysAreBounded(t *testing.T) {
	w := newWorld(t, 3, resolved("s", 6))
	for i, c := range w.cores { // each believes that the slots belong to the others
		var others []ids.Instance
		for k := range w.cores {
			if k != i {
				others = append(others, instanceID(k))
			}
		}
		c.table.SetInstances(w.now, others)
		c.generation++
	}
	for n := range 20 {
		w.send(n%3, callerN(n), get(1))
	}
	w.advance(100 * time.Millisecond)
	relays := uint64(0)
	for _, c := range w.cores {
		relays += c.counts.Relayed
	}
	assert.Assert(t, relays <= 40, "%d relays", relays)
	for n := range 20 {
		assert.Equal(t, len(w.finals(callerN(n))), 1)
	}
}

// Guards against a resumed instance that dispatches requests nobody waits for,
// or calls them not run when they may have been.
func TestResumeAfterPause(t *testing.T) {
	w := newWorld(t, 3, resolved("s", 6))
	w.run = time.Hour
	c := w.cores[0]
	for n := 0; w.pool(0).Free(spread.Short) > 0; n++ {
		w.send(0, callerN(n), get(1))
	}
	d := post(7, "claim")
	w.call(0, func(c *Core, out *Effects) { // a token of this instance, although it is busy
		c.begin(w.now, out)
		m := d.encode(t)
		c.grant(&arrival{exchange: exchange{svc: c.services["s"], caller: callerA}, m: &m}, c.self.ID, c.self.Incarnation)
	})
	d.echo = w.finals(callerA)[0].m.Echo
	w.send(0, callerA, d)
	assert.Equal(t, c.services["s"].backlog(), 1)
	w.paused[0] = true
	w.advance(10 * time.Second)
	w.paused[0] = false
	w.send(0, callerN(60), get(2)) // before the first tick
	code(t, w, message.ServiceUnavailable)
	assert.Equal(t, len(w.executions(message.POST)), 0)
	assert.Equal(t, c.counts.Pauses, uint64(1))
	w.run = 10 * time.Millisecond
	w.advance(6 * time.Second)
	assert.Equal(t, c.view.State(), peerwire.Serving)
	assert.Equal(t, len(c.live), 0)
	w.reset()
	w.send(1, callerA, d)
	w.advance(20 * time.Millisecond)
	assert.Assert(t, bytes.HasSuffix(code(t, w, message.ServiceUnavailable).m.Raw, notRun))
	assert.Equal(t, len(w.executions(message.POST)), 0)
	w.send(0, callerN(61), get(3))
	w.advance(50 * time.Millisecond)
	assert.Equal(t, w.finals(callerN(61))[0].m.Code, message.Content)
}
