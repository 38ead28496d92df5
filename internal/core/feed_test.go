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
func (tc *testCluster) openFeed(i int) int {
	tc.send(i, callerA, observeRequest(1))
	tc.advance(50 * time.Millisecond)
	for k, c := range tc.cores {
		if c.feeds.Len() > 0 {
			return k
		}
	}
	assert.Assert(tc.t, false, "no feed")
	return -1
}

func (tc *testCluster) findFeed(i int) *flow.Feed {
	var k flow.Key
	k.Caller, k.Service, k.Token = callerA, "s", message.Token{Bytes: [8]byte{5}, Len: 1}
	return tc.cores[i].feeds.Get(k)
}

// notifyFeed sends a confirmable notification under the active registration.
func (tc *testCluster) notifyFeed(home int, observe uint32) {
	up := tc.findFeed(home).Active
	tc.fromBackend(home, up.Endpoint, &message.Outgoing{Type: message.Confirmable, Code: message.Content,
		ID: uint16(observe), Token: encodeUpstreamToken(up.Token), SetObserve: true, Observe: observe, Payload: []byte("reading")})
}

// deregistrations returns the deregistrations that backend servers received.
func (tc *testCluster) deregistrations() (list []backendMessage) {
	for _, b := range tc.receivedByBackends(message.GET) {
		if b.m.HasObserve && b.m.Observe == 1 {
			list = append(list, b)
		}
	}
	return list
}

// Guards against a feed that is not at its home instance, notifications out of
// order, and an ACK that is lost because it arrives at another instance.
func TestFeedNotifiesInOrder(t *testing.T) {
	tc := newTestCluster(t, 3, testService("s", 6))
	home := tc.openFeed(0)
	h, _ := tc.cores[0].homeInstance(tc.cores[0].services["s"], ids.HashEndpoint(callerA))
	assert.Equal(t, h, instanceID(home))
	first := assertResponse(t, tc, message.Content)
	assert.Equal(t, first.m.Type, message.Acknowledgement)
	assert.Assert(t, first.m.HasObserve)
	base := tc.observeValue()
	for _, v := range []uint32{base + 1, base + 3, base + 2, base + 3} {
		tc.notifyFeed(home, v)
	}
	got := tc.responses(callerA)
	assert.Equal(t, len(got), 3)
	for i := 1; i < 3; i++ {
		assert.Equal(t, got[i].m.Type, message.Confirmable)
		assert.Equal(t, got[i].m.Observe, got[i-1].m.Observe+1)
	}
	assert.Assert(t, got[1].m.ID != got[2].m.ID)
	for _, r := range got[1:] {
		tc.sendEmpty((home+1)%3, callerA, message.Acknowledgement, r.m.ID)
	}
	tc.advance(5 * time.Second)
	assert.Equal(t, len(tc.responses(callerA)), 3, "retransmitted after the ACK")
}

// Guards against a feed that ends because of one lost ACK, and against a feed
// that never ends although its caller no longer exists.
func TestLostAcksEndFeedOnlyAfterThreeFailures(t *testing.T) {
	tc := newTestCluster(t, 2, testService("s", 4))
	home := tc.openFeed(0)
	base := tc.observeValue()
	for n := range uint32(3) {
		assert.Assert(t, tc.findFeed(home) != nil, "ended after %d failures", n)
		tc.notifyFeed(home, base+n+1)
		tc.advance(50 * time.Second)
	}
	assert.Assert(t, tc.findFeed(home) == nil)
	assert.Equal(t, len(tc.deregistrations()), 1)
}

// Guards against a feed that remains after the caller has reset or deregistered
// it.
func TestResetAndDeregistrationEndFeed(t *testing.T) {
	tc := newTestCluster(t, 2, testService("s", 4))
	home := tc.openFeed(0)
	tc.notifyFeed(home, tc.observeValue()+1)
	got := tc.responses(callerA)
	tc.sendEmpty(1-home, callerA, message.Reset, got[len(got)-1].m.ID)
	tc.advance(10 * time.Millisecond)
	assert.Assert(t, tc.findFeed(home) == nil)

	home = tc.openFeed(1)
	d := observeRequest(2)
	d.observe = 1
	tc.send(1-home, callerA, d)
	tc.advance(50 * time.Millisecond)
	assert.Assert(t, tc.findFeed(home) == nil)
	got = tc.responses(callerA)
	assert.Equal(t, got[len(got)-1].m.ID, uint16(2))
}

// Guards against missed notifications when a feed moves to another backend
// server: the old registration must last until the first notification under the
// new one.
func TestDrainOfBackendServerMovesFeedMakeBeforeBreak(t *testing.T) {
	r := testService("s", 4)
	tc := newTestCluster(t, 2, r)
	home := tc.openFeed(0)
	old := tc.findFeed(home).Active
	drained := *r
	drained.Service.Targets = append([]config.Target(nil), r.Service.Targets...)
	for i := range drained.Service.Targets {
		drained.Service.Targets[i].Draining = drained.Service.Targets[i].Name == old.Target
	}
	tc.backendResponse = func(backendMessage) *message.Outgoing { return nil }
	for i := range tc.cores {
		tc.callCore(i, func(c *Core, out *Effects) { c.begin(tc.now, out); c.installService(&drained) })
	}
	tc.advance(900 * time.Millisecond)
	f := tc.findFeed(home)
	assert.Equal(t, f.Active.Token, old.Token)
	assert.Assert(t, f.Next.Token != 0 && f.Next.Target != old.Target)
	tc.notifyFeed(home, tc.observeValue()+1)
	before := assertResponse(t, tc, message.Content).m.Observe
	assert.Equal(t, len(tc.deregistrations()), 0)
	next := f.Next
	tc.fromBackend(home, next.Endpoint, &message.Outgoing{Type: message.Acknowledgement, Code: message.Content,
		ID: next.ID, Token: encodeUpstreamToken(next.Token), SetObserve: true, Observe: 1})
	assert.Assert(t, assertResponse(t, tc, message.Content).m.Observe > before)
	ended := tc.deregistrations()
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].m.Token, encodeUpstreamToken(old.Token))
	tc.fromBackend(home, old.Endpoint, &message.Outgoing{Type: message.Confirmable, Code: message.Content,
		ID: 99, Token: encodeUpstreamToken(old.Token), SetObserve: true, Observe: 60000})
	resets := tc.receivedByBackends(message.Empty)
	assert.Equal(t, resets[len(resets)-1].m.Type, message.Reset)
}

// Guards against a planned stop that loses a feed or a notification, or
// reorders notifications, also when the first handover messages are lost.
func TestPlannedStopMovesFeed(t *testing.T) {
	tc := newTestCluster(t, 3, testService("s", 6))
	home := tc.openFeed(0)
	lost := 0
	tc.dropPeerMessage = func(_, _ ids.Instance, m *peerwire.Message) bool {
		if (m.FeedMove != nil || m.FeedMoved != nil) && lost < 2 {
			lost++
			return true
		}
		return false
	}
	tc.callCore(home, func(c *Core, out *Effects) { c.Stop(tc.now, out) })
	base := tc.observeValue()
	notified := 0
	for n := 0; tc.findFeed(home) != nil; n++ {
		assert.Assert(t, n < 100, "the feed did not move")
		tc.notifyFeed(home, base+uint32(10*n)+1)
		notified++
		tc.advance(200 * time.Millisecond)
		for _, r := range tc.responses(callerA) {
			tc.sendEmpty(1, callerA, message.Acknowledgement, r.m.ID)
		}
	}
	tc.advance(20 * time.Second)
	assert.Assert(t, tc.exited[home])
	next := -1
	for i := range tc.cores {
		if i != home && tc.findFeed(i) != nil {
			next = i
		}
	}
	assert.Assert(t, next >= 0)
	tc.notifyFeed(next, tc.observeValue()+1)
	seen := map[uint16]bool{}
	last, increasing := uint32(0), 0
	for _, r := range tc.responses(callerA) {
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
	assert.Equal(t, tc.responses(callerA)[len(tc.responses(callerA))-1].m.Observe, last)
}

// Guards against registrations that remain at a backend server after the only
// instance has stopped.
func TestStopOfLastInstanceDeregisters(t *testing.T) {
	tc := newTestCluster(t, 1, testService("s", 2))
	tc.openFeed(0)
	tc.callCore(0, func(c *Core, out *Effects) { c.Stop(tc.now, out) })
	tc.advance(10 * time.Second)
	assert.Assert(t, tc.exited[0])
	assert.Equal(t, len(tc.deregistrations()), 1)
}

// Guards against a feed that gets no more notifications because its backend
// server has failed or lost the registration.
func TestSilentFeedIsRegisteredAgain(t *testing.T) {
	tc := newTestCluster(t, 2, testService("s", 4))
	home := tc.openFeed(0)
	old := tc.findFeed(home).Active
	tc.backendResponse = func(backendMessage) *message.Outgoing { return nil }
	tc.advance(66 * time.Second)
	f := tc.findFeed(home)
	assert.Equal(t, f.Next.Target, old.Target)
	tc.backendResponse = func(b backendMessage) *message.Outgoing {
		if b.target == old.Target {
			return nil
		}
		return &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: b.m.ID, Token: b.m.Token,
			SetObserve: true, Observe: 1}
	}
	tc.advance(12 * time.Second)
	assert.Assert(t, f.Active.Token != old.Token)
	assert.Assert(t, f.Active.Target != old.Target)
	assert.Assert(t, len(tc.responses(callerA)) > 1)
}

// Guards against a feed that waits for Max-Age when both its backend server and
// the replacement have failed, although the caller's refresh has revealed the
// failure.
func TestFeedTriesFurtherTargets(t *testing.T) {
	tc := newTestCluster(t, 1, testService("s", 4))
	tc.ackConfirmables = true
	home := tc.openFeed(0)
	first := tc.findFeed(home).Active.Target
	second := ids.Target("")
	tc.backendResponse = func(b backendMessage) *message.Outgoing {
		if second == "" && b.target != first {
			second = b.target
		}
		if b.target == first || b.target == second {
			return nil
		}
		return &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: b.m.ID, Token: b.m.Token,
			SetObserve: true, Observe: tc.observeValue(), Payload: []byte("ok")}
	}
	tc.send(0, callerA, observeRequest(2)) // the refresh of a caller that has missed notifications
	tc.advance(16 * time.Second)
	up := tc.findFeed(home).Active
	assert.Assert(t, second != "" && up.Established && up.Target != first && up.Target != second, "%v", up.Target)
}
