package core

import (
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/flow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"gotest.tools/v3/assert"
)

func observe(id uint16) datagram {
	return datagram{code: message.GET, id: id, token: 5, observe: 0, path: "alarm"}
}

// register opens a feed for callerA through core i and returns its home.
func (w *world) register(i int) int {
	w.send(i, callerA, observe(1))
	w.advance(50 * time.Millisecond)
	for k, c := range w.cores {
		if c.feeds.Len() > 0 {
			return k
		}
	}
	assert.Assert(w.t, false, "no feed")
	return -1
}

func (w *world) feed(i int) *flow.Feed {
	var k flow.Key
	k.Caller, k.Service, k.Token = callerA, "s", message.Token{Bytes: [8]byte{5}, Len: 1}
	return w.cores[i].feeds.Get(k)
}

// push sends a confirmable notification under the active registration.
func (w *world) push(home int, observe uint32) {
	up := w.feed(home).Active
	w.fromBackend(home, up.Endpoint, &message.Outgoing{Type: message.Confirmable, Code: message.Content,
		ID: uint16(observe), Token: tokenOf(up.Token), SetObserve: true, Observe: observe, Payload: []byte("reading")})
}

// deregistrations returns the upstream tokens whose registration was ended.
func (w *world) deregistrations() (list []received) {
	for _, b := range w.executions(message.GET) {
		if b.m.HasObserve && b.m.Observe == 1 {
			list = append(list, b)
		}
	}
	return list
}

// Guards against a feed away from its home, notifications out of order, and an
// ACK that is lost because it arrives at another instance.
func TestFeedNotifiesInOrder(t *testing.T) {
	w := newWorld(t, 3, resolved("s", 6))
	home := w.register(0)
	h, _ := w.cores[0].home(w.cores[0].services["s"], ids.HashEndpoint(callerA))
	assert.Equal(t, h, instanceID(home))
	first := code(t, w, message.Content)
	assert.Equal(t, first.m.Type, message.Acknowledgement)
	assert.Assert(t, first.m.HasObserve)
	base := w.observeValue()
	for _, v := range []uint32{base + 1, base + 3, base + 2, base + 3} {
		w.push(home, v)
	}
	got := w.finals(callerA)
	assert.Equal(t, len(got), 3)
	for i := 1; i < 3; i++ {
		assert.Equal(t, got[i].m.Type, message.Confirmable)
		assert.Equal(t, got[i].m.Observe, got[i-1].m.Observe+1)
	}
	assert.Assert(t, got[1].m.ID != got[2].m.ID)
	for _, r := range got[1:] {
		w.empty((home+1)%3, callerA, message.Acknowledgement, r.m.ID)
	}
	w.advance(5 * time.Second)
	assert.Equal(t, len(w.finals(callerA)), 3, "retransmitted after the ACK")
}

// Guards against a feed that ends because of one lost ACK, and against one
// that never ends when the caller has gone.
func TestLostAcksEndFeedOnlyAfterThreeFailures(t *testing.T) {
	w := newWorld(t, 2, resolved("s", 4))
	home := w.register(0)
	base := w.observeValue()
	for n := range uint32(3) {
		assert.Assert(t, w.feed(home) != nil, "ended after %d failures", n)
		w.push(home, base+n+1)
		w.advance(50 * time.Second)
	}
	assert.Assert(t, w.feed(home) == nil)
	assert.Equal(t, len(w.deregistrations()), 1)
}

// Guards against a feed that stays after the caller has reset or deregistered it.
func TestResetAndDeregistrationEndFeed(t *testing.T) {
	w := newWorld(t, 2, resolved("s", 4))
	home := w.register(0)
	w.push(home, w.observeValue()+1)
	got := w.finals(callerA)
	w.empty(1-home, callerA, message.Reset, got[len(got)-1].m.ID)
	w.advance(10 * time.Millisecond)
	assert.Assert(t, w.feed(home) == nil)

	home = w.register(1)
	d := observe(2)
	d.observe = 1
	w.send(1-home, callerA, d)
	w.advance(50 * time.Millisecond)
	assert.Assert(t, w.feed(home) == nil)
	got = w.finals(callerA)
	assert.Equal(t, got[len(got)-1].m.ID, uint16(2))
}

// Guards against a gap at a change of backend server: the old registration
// must last until the new one has notified.
func TestDrainOfBackendServerMovesFeedMakeBeforeBreak(t *testing.T) {
	r := resolved("s", 4)
	w := newWorld(t, 2, r)
	home := w.register(0)
	old := w.feed(home).Active
	drained := *r
	drained.Service.Targets = append([]config.Target(nil), r.Service.Targets...)
	for i := range drained.Service.Targets {
		drained.Service.Targets[i].Draining = drained.Service.Targets[i].Name == old.Target
	}
	w.serve = func(received) *message.Outgoing { return nil }
	for i := range w.cores {
		w.call(i, func(c *Core, out *Effects) { c.begin(w.now, out); c.install(&drained) })
	}
	w.advance(900 * time.Millisecond)
	f := w.feed(home)
	assert.Equal(t, f.Active.Token, old.Token)
	assert.Assert(t, f.Next.Token != 0 && f.Next.Target != old.Target)
	w.push(home, w.observeValue()+1)
	before := code(t, w, message.Content).m.Observe
	assert.Equal(t, len(w.deregistrations()), 0)
	next := f.Next
	w.fromBackend(home, next.Endpoint, &message.Outgoing{Type: message.Acknowledgement, Code: message.Content,
		ID: next.ID, Token: tokenOf(next.Token), SetObserve: true, Observe: 1})
	assert.Assert(t, code(t, w, message.Content).m.Observe > before)
	ended := w.deregistrations()
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].m.Token, tokenOf(old.Token))
	w.fromBackend(home, old.Endpoint, &message.Outgoing{Type: message.Confirmable, Code: message.Content,
		ID: 99, Token: tokenOf(old.Token), SetObserve: true, Observe: 60000})
	resets := w.executions(message.Empty)
	assert.Equal(t, resets[len(resets)-1].m.Type, message.Reset)
}

// Guards against a planned stop that loses a feed, a notification, or the
// order of notifications, also when the first handover message is lost.
func TestPlannedStopMovesFeed(t *testing.T) {
	w := newWorld(t, 3, resolved("s", 6))
	home := w.register(0)
	lost := 0
	w.cut = func(_, _ ids.Instance, m *peerwire.Message) bool {
		if (m.FeedMove != nil || m.FeedMoved != nil) && lost < 2 {
			lost++
			return true
		}
		return false
	}
	w.call(home, func(c *Core, out *Effects) { c.Stop(w.now, out) })
	base := w.observeValue()
	pushed := 0
	for n := 0; w.feed(home) != nil; n++ {
		assert.Assert(t, n < 100, "the feed did not move")
		w.push(home, base+uint32(10*n)+1)
		pushed++
		w.advance(200 * time.Millisecond)
		for _, r := range w.finals(callerA) {
			w.empty(1, callerA, message.Acknowledgement, r.m.ID)
		}
	}
	w.advance(20 * time.Second)
	assert.Assert(t, w.exits[home])
	next := -1
	for i := range w.cores {
		if i != home && w.feed(i) != nil {
			next = i
		}
	}
	assert.Assert(t, next >= 0)
	w.push(next, w.observeValue()+1)
	seen := map[uint16]bool{}
	last, fresh := uint32(0), 0
	for _, r := range w.finals(callerA) {
		if seen[r.m.ID] {
			continue // retransmission
		}
		seen[r.m.ID] = true
		if r.m.Observe > last {
			last = r.m.Observe
			fresh++
		}
	}
	assert.Assert(t, fresh >= pushed+2, "%d of %d notifications were newer than the one before", fresh, pushed+2)
	assert.Equal(t, w.finals(callerA)[len(w.finals(callerA))-1].m.Observe, last)
}

// Guards against registrations that stay at a backend server after the only
// instance has stopped.
func TestStopOfLastInstanceDeregisters(t *testing.T) {
	w := newWorld(t, 1, resolved("s", 2))
	w.register(0)
	w.call(0, func(c *Core, out *Effects) { c.Stop(w.now, out) })
	w.advance(10 * time.Second)
	assert.Assert(t, w.exits[0])
	assert.Equal(t, len(w.deregistrations()), 1)
}

// Guards against a feed that stays silent because its connection has died.
func TestSilentFeedIsRegisteredAgain(t *testing.T) {
	w := newWorld(t, 2, resolved("s", 4))
	home := w.register(0)
	old := w.feed(home).Active
	w.serve = func(received) *message.Outgoing { return nil }
	w.advance(66 * time.Second)
	f := w.feed(home)
	assert.Equal(t, f.Next.Target, old.Target)
	w.serve = func(b received) *message.Outgoing {
		if b.target == old.Target {
			return nil
		}
		return &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: b.m.ID, Token: b.m.Token,
			SetObserve: true, Observe: 1}
	}
	w.advance(12 * time.Second)
	assert.Assert(t, f.Active.Token != old.Token)
	assert.Assert(t, f.Active.Target != old.Target)
	assert.Assert(t, len(w.finals(callerA)) > 1)
}

// Guards against a feed that waits for Max-Age when both its backend server and
// the one that should replace it have failed: the caller's refresh has shown it.
func TestFeedTriesFurtherTargets(t *testing.T) {
	w := newWorld(t, 1, resolved("s", 4))
	w.acks = true
	home := w.register(0)
	first := w.feed(home).Active.Target
	second := ids.Target("")
	w.serve = func(b received) *message.Outgoing {
		if second == "" && b.target != first {
			second = b.target
		}
		if b.target == first || b.target == second {
			return nil
		}
		return &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: b.m.ID, Token: b.m.Token,
			SetObserve: true, Observe: w.observeValue(), Payload: []byte("ok")}
	}
	w.send(0, callerA, observe(2)) // the refresh of a caller that misses notifications
	w.advance(16 * time.Second)
	up := w.feed(home).Active
	assert.Assert(t, second != "" && up.Established && up.Target != first && up.Target != second, "%v", up.Target)
}
