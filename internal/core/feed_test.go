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

func observeRequest(id uint16) testRequest {
	return testRequest{code: message.GET, id: id, token: 5, observe: 0, path: "alarm"}
}

// openFeed opens a feed for callerA through core i and returns the index of its
// home instance.
func (w *testCluster) openFeed(i int) int {
	w.send(i, callerA, observeRequest(1))
	w.advance(50 * time.Millisecond)
	for k, c := range w.cores {
		if c.feeds.Len() > 0 {
			return k
		}
	}
	assert.Assert(w.t, false, "no feed")
	return -1
}

func (w *testCluster) findFeed(i int) *flow.Feed {
	var k flow.Key
	k.Caller, k.Service, k.Token = callerA, "s", message.Token{Bytes: [8]byte{5}, Len: 1}
	return w.cores[i].feeds.Get(k)
}

// notifyFeed sends a confirmable notification under the active registration.
func (w *testCluster) notifyFeed(home int, observe uint32) {
	up := w.findFeed(home).Active
	w.fromBackend(home, up.Endpoint, &message.Outgoing{Type: message.Confirmable, Code: message.Content,
		ID: uint16(observe), Token: encodeUpstreamToken(up.Token), SetObserve: true, Observe: observe, Payload: []byte("reading")})
}

// deregistrations returns the deregistrations that backend servers received.
func (w *testCluster) deregistrations() (list []backendMessage) {
	for _, b := range w.receivedByBackends(message.GET) {
		if b.m.HasObserve && b.m.Observe == 1 {
			list = append(list, b)
		}
	}
	return list
}

// Guards against a feed that is not at its home instance, notifications out of
// order, and an ACK that is lost because it arrives at another instance.
func TestFeedNotifiesInOrder(t *testing.T) {
	w := newTestCluster(t, 3, testService("s", 6))
	home := w.openFeed(0)
	h, _ := w.cores[0].homeInstance(w.cores[0].services["s"], ids.HashEndpoint(callerA))
	assert.Equal(t, h, instanceID(home))
	first := assertResponse(t, w, message.Content)
	assert.Equal(t, first.m.Type, message.Acknowledgement)
	assert.Assert(t, first.m.HasObserve)
	base := w.observeValue()
	for _, v := range []uint32{base + 1, base + 3, base + 2, base + 3} {
		w.notifyFeed(home, v)
	}
	got := w.responses(callerA)
	assert.Equal(t, len(got), 3)
	for i := 1; i < 3; i++ {
		assert.Equal(t, got[i].m.Type, message.Confirmable)
		assert.Equal(t, got[i].m.Observe, got[i-1].m.Observe+1)
	}
	assert.Assert(t, got[1].m.ID != got[2].m.ID)
	for _, r := range got[1:] {
		w.sendEmpty((home+1)%3, callerA, message.Acknowledgement, r.m.ID)
	}
	w.advance(5 * time.Second)
	assert.Equal(t, len(w.responses(callerA)), 3, "retransmitted after the ACK")
}

// Guards against a feed that ends because of one lost ACK, and against a feed
// that never ends although its caller no longer exists.
func TestLostAcksEndFeedOnlyAfterThreeFailures(t *testing.T) {
	w := newTestCluster(t, 2, testService("s", 4))
	home := w.openFeed(0)
	base := w.observeValue()
	for n := range uint32(3) {
		assert.Assert(t, w.findFeed(home) != nil, "ended after %d failures", n)
		w.notifyFeed(home, base+n+1)
		w.advance(50 * time.Second)
	}
	assert.Assert(t, w.findFeed(home) == nil)
	assert.Equal(t, len(w.deregistrations()), 1)
}

// Guards against a feed that remains after the caller has reset or deregistered
// it.
func TestResetAndDeregistrationEndFeed(t *testing.T) {
	w := newTestCluster(t, 2, testService("s", 4))
	home := w.openFeed(0)
	w.notifyFeed(home, w.observeValue()+1)
	got := w.responses(callerA)
	w.sendEmpty(1-home, callerA, message.Reset, got[len(got)-1].m.ID)
	w.advance(10 * time.Millisecond)
	assert.Assert(t, w.findFeed(home) == nil)

	home = w.openFeed(1)
	d := observeRequest(2)
	d.observe = 1
	w.send(1-home, callerA, d)
	w.advance(50 * time.Millisecond)
	assert.Assert(t, w.findFeed(home) == nil)
	got = w.responses(callerA)
	assert.Equal(t, got[len(got)-1].m.ID, uint16(2))
}

// Guards against missed notifications when a feed moves to another backend
// server: the old registration must last until the first notification under the
// new one.
func TestDrainOfBackendServerMovesFeedMakeBeforeBreak(t *testing.T) {
	r := testService("s", 4)
	w := newTestCluster(t, 2, r)
	home := w.openFeed(0)
	old := w.findFeed(home).Active
	drained := *r
	drained.Service.Targets = append([]config.Target(nil), r.Service.Targets...)
	for i := range drained.Service.Targets {
		drained.Service.Targets[i].Draining = drained.Service.Targets[i].Name == old.Target
	}
	w.backendResponse = func(backendMessage) *message.Outgoing { return nil }
	for i := range w.cores {
		w.callCore(i, func(c *Core, out *Effects) { c.begin(w.now, out); c.installService(&drained) })
	}
	w.advance(900 * time.Millisecond)
	f := w.findFeed(home)
	assert.Equal(t, f.Active.Token, old.Token)
	assert.Assert(t, f.Next.Token != 0 && f.Next.Target != old.Target)
	w.notifyFeed(home, w.observeValue()+1)
	before := assertResponse(t, w, message.Content).m.Observe
	assert.Equal(t, len(w.deregistrations()), 0)
	next := f.Next
	w.fromBackend(home, next.Endpoint, &message.Outgoing{Type: message.Acknowledgement, Code: message.Content,
		ID: next.ID, Token: encodeUpstreamToken(next.Token), SetObserve: true, Observe: 1})
	assert.Assert(t, assertResponse(t, w, message.Content).m.Observe > before)
	ended := w.deregistrations()
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].m.Token, encodeUpstreamToken(old.Token))
	w.fromBackend(home, old.Endpoint, &message.Outgoing{Type: message.Confirmable, Code: message.Content,
		ID: 99, Token: encodeUpstreamToken(old.Token), SetObserve: true, Observe: 60000})
	resets := w.receivedByBackends(message.Empty)
	assert.Equal(t, resets[len(resets)-1].m.Type, message.Reset)
}

// Guards against a planned stop that loses a feed or a notification, or
// reorders notifications, also when the first handover messages are lost.
func TestPlannedStopMovesFeed(t *testing.T) {
	w := newTestCluster(t, 3, testService("s", 6))
	home := w.openFeed(0)
	lost := 0
	w.dropPeerMessage = func(_, _ ids.Instance, m *peerwire.Message) bool {
		if (m.FeedMove != nil || m.FeedMoved != nil) && lost < 2 {
			lost++
			return true
		}
		return false
	}
	w.callCore(home, func(c *Core, out *Effects) { c.Stop(w.now, out) })
	base := w.observeValue()
	notified := 0
	for n := 0; w.findFeed(home) != nil; n++ {
		assert.Assert(t, n < 100, "the feed did not move")
		w.notifyFeed(home, base+uint32(10*n)+1)
		notified++
		w.advance(200 * time.Millisecond)
		for _, r := range w.responses(callerA) {
			w.sendEmpty(1, callerA, message.Acknowledgement, r.m.ID)
		}
	}
	w.advance(20 * time.Second)
	assert.Assert(t, w.exited[home])
	next := -1
	for i := range w.cores {
		if i != home && w.findFeed(i) != nil {
			next = i
		}
	}
	assert.Assert(t, next >= 0)
	w.notifyFeed(next, w.observeValue()+1)
	seen := map[uint16]bool{}
	last, increasing := uint32(0), 0
	for _, r := range w.responses(callerA) {
		if seen[r.m.ID] {
			continue // retransmission
		}
		seen[r.m.ID] = true
		if r.m.Observe > last {
			last = r.m.Observe
			increasing++
		}
	}
	assert.Assert(t, increasing >= notified+2, "%d of %d notifications were newer than the one before", increasing, notified+2)
	assert.Equal(t, w.responses(callerA)[len(w.responses(callerA))-1].m.Observe, last)
}

// Guards against registrations that remain at a backend server after the only
// instance has stopped.
func TestStopOfLastInstanceDeregisters(t *testing.T) {
	w := newTestCluster(t, 1, testService("s", 2))
	w.openFeed(0)
	w.callCore(0, func(c *Core, out *Effects) { c.Stop(w.now, out) })
	w.advance(10 * time.Second)
	assert.Assert(t, w.exited[0])
	assert.Equal(t, len(w.deregistrations()), 1)
}

// Guards against a feed that gets no more notifications because its backend
// server has failed or lost the registration.
func TestSilentFeedIsRegisteredAgain(t *testing.T) {
	w := newTestCluster(t, 2, testService("s", 4))
	home := w.openFeed(0)
	old := w.findFeed(home).Active
	w.backendResponse = func(backendMessage) *message.Outgoing { return nil }
	w.advance(66 * time.Second)
	f := w.findFeed(home)
	assert.Equal(t, f.Next.Target, old.Target)
	w.backendResponse = func(b backendMessage) *message.Outgoing {
		if b.target == old.Target {
			return nil
		}
		return &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: b.m.ID, Token: b.m.Token,
			SetObserve: true, Observe: 1}
	}
	w.advance(12 * time.Second)
	assert.Assert(t, f.Active.Token != old.Token)
	assert.Assert(t, f.Active.Target != old.Target)
	assert.Assert(t, len(w.responses(callerA)) > 1)
}

// Guards against a feed that waits for Max-Age when both its backend server and
// the replacement have failed, although the caller's refresh has revealed the
// failure.
func TestFeedTriesFurtherTargets(t *testing.T) {
	w := newTestCluster(t, 1, testService("s", 4))
	w.ackConfirmables = true
	home := w.openFeed(0)
	first := w.findFeed(home).Active.Target
	second := ids.Target("")
	w.backendResponse = func(b backendMessage) *message.Outgoing {
		if second == "" && b.target != first {
			second = b.target
		}
		if b.target == first || b.target == second {
			return nil
		}
		return &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: b.m.ID, Token: b.m.Token,
			SetObserve: true, Observe: w.observeValue(), Payload: []byte("ok")}
	}
	w.send(0, callerA, observeRequest(2)) // the refresh of a caller that has missed notifications
	w.advance(16 * time.Second)
	up := w.findFeed(home).Active
	assert.Assert(t, second != "" && up.Established && up.Target != first && up.Target != second, "%v", up.Target)
}
