package core

import (
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/spread"
	"gotest.tools/v3/assert"
)

// assertResponse checks the code of the last response to callerA and returns it.
func assertResponse(t *testing.T, tc *testCluster, want message.Code) callerReply {
	t.Helper()
	got := tc.responses(callerA)
	assert.Assert(t, len(got) > 0, "no response")
	last := got[len(got)-1]
	assert.Equal(t, last.m.Code, want)
	return last
}

// Guards against a second execution after the instance that admitted the
// request has failed.
func TestFailedOwnerIsOutcomeUnknown(t *testing.T) {
	tc := newTestCluster(t, 3, testService("s", 6))
	d := post(7, "claim")
	d.echo = tc.requestToken(0, callerA, d)
	owner := tc.tokenIssuer(d.echo)
	tc.send(owner, callerA, d)
	tc.paused[owner] = true
	tc.advance(7 * time.Second)
	tc.send((owner+1)%3, callerA, d)
	tc.advance(10 * time.Millisecond)
	got := assertResponse(t, tc, message.GatewayTimeout)
	assert.Assert(t, len(tc.receivedByBackends(message.POST)) <= 1)
	assert.Assert(t, string(got.m.Raw[len(got.m.Raw)-len(outcomeUnknownPayload):]) == string(outcomeUnknownPayload))
}

// Guards against a planned stop that interrupts a request, loses its outcome or
// lets the successor run it again.
func TestPlannedStopHandsAdmissionsOver(t *testing.T) {
	tc := newTestCluster(t, 3, testService("s", 6))
	tc.backendRunTime = 900 * time.Millisecond
	d, unused := post(7, "claim"), post(8, "other")
	d.echo = tc.requestToken(0, callerA, d)
	owner := tc.tokenIssuer(d.echo)
	unused.echo = tc.requestToken(owner, callerA, unused)
	assert.Equal(t, tc.tokenIssuer(unused.echo), owner)
	tc.send(owner, callerA, d)
	tc.advance(10 * time.Millisecond)
	tc.callCore(owner, func(c *Core, out *Effects) { c.Stop(tc.now, out) })
	tc.advance(time.Second)
	assertResponse(t, tc, message.Content) // completed although the instance is stopping
	tc.advance(10 * time.Second)
	assert.Assert(t, tc.exited[owner])
	for _, i := range []int{(owner + 1) % 3, (owner + 2) % 3} {
		tc.send(i, callerA, d)
		tc.advance(20 * time.Millisecond)
		assertResponse(t, tc, message.Content)
		tc.send(i, callerA, unused)
		tc.advance(20 * time.Millisecond)
		assertResponse(t, tc, message.Unauthorized) // the successor has the record that it has not run
	}
	assert.Equal(t, len(tc.receivedByBackends(message.POST)), 1)
}

// Guards against a handover that ends when the successor does not respond.
func TestHandoverTriesAnotherSuccessor(t *testing.T) {
	tc := newTestCluster(t, 3, testService("s", 6))
	tc.dropPeerMessage = func(from, to ids.Instance, m *peerwire.Message) bool { return m.AdmissionMove != nil && to == "i1" }
	tc.callCore(0, func(c *Core, out *Effects) { c.Stop(tc.now, out) })
	tc.advance(12 * time.Second)
	assert.Assert(t, tc.exited[0])
	m, ok := tc.cores[1].membership.Lookup(1)
	assert.Assert(t, ok)
	assert.Equal(t, m.ID, instanceID(2))
}

// Guards against an admission table that is lost because the only other
// instance is still joining when this one stops.
func TestHandoverWaitsForJoiningInstance(t *testing.T) {
	tc := newTestCluster(t, 2, testService("s", 4))
	tc.paused[1] = true
	tc.advance(8 * time.Second)
	tc.startInstance(2, 1, testService("s", 4), 77)
	tc.paused[1] = false
	for n := 0; len(tc.cores[0].membership.Members()) != 2 || tc.cores[0].membership.Members()[1].Incarnation != 77; n++ {
		assert.Assert(t, n < 1000)
		tc.advance(10 * time.Millisecond)
	}
	tc.callCore(0, func(c *Core, out *Effects) { c.Stop(tc.now, out) })
	tc.advance(15 * time.Second)
	assert.Assert(t, tc.exited[0])
	m, ok := tc.cores[1].membership.Lookup(1)
	assert.Assert(t, ok && m.Incarnation == 77)
}

// Guards against a token that allows a second, different request to run.
func TestTokenReuseByAnotherRequestDoesNotRun(t *testing.T) {
	tc := newTestCluster(t, 2, testService("s", 4))
	d := post(7, "claim")
	d.echo = tc.requestToken(0, callerA, d)
	tc.send(0, callerA, d)
	tc.advance(50 * time.Millisecond)
	assertResponse(t, tc, message.Content)
	other := post(8, "another")
	other.echo = d.echo
	tc.send(1, callerA, other)
	tc.advance(50 * time.Millisecond)
	got := assertResponse(t, tc, message.Unauthorized)
	assert.Equal(t, len(tc.receivedByBackends(message.POST)), 1)
	other.echo = got.m.Echo
	tc.send(0, callerA, other)
	tc.advance(50 * time.Millisecond)
	assert.Equal(t, len(tc.receivedByBackends(message.POST)), 2)
}

// Guards against accepting a token of unknown origin, and against a "not run"
// response for a token whose key may have been removed.
func TestInvalidTokens(t *testing.T) {
	tc := newTestCluster(t, 2, testService("s", 4))
	d := post(7, "claim")
	d.echo = tc.requestToken(0, callerA, d)
	forged := post(8, "claim")
	forged.echo = append([]byte(nil), d.echo...)
	forged.echo[20] ^= 1
	tc.send(0, callerA, forged)
	assertResponse(t, tc, message.Unauthorized)
	forged.echo[0] = 99
	tc.send(0, callerA, forged)
	assertResponse(t, tc, message.GatewayTimeout)
	assert.Equal(t, len(tc.receivedByBackends(message.POST)), 0)
}

// Guards against a non-idempotent request that is lost after a 5.03 response,
// although it may be sent to another backend server, and against one that runs
// after it was rejected.
func TestRequestRejectedByBackend(t *testing.T) {
	tc := newTestCluster(t, 2, testService("s", 4))
	for _, c := range tc.cores {
		for range 20 {
			c.services["s"].budget.Deposit()
		}
	}
	rejections := 1
	tc.backendResponse = func(b backendMessage) *message.Outgoing {
		o := &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: b.m.ID, Token: b.m.Token}
		if rejections > 0 {
			rejections--
			o.Code = message.ServiceUnavailable
		}
		return o
	}
	d := post(7, "claim")
	d.echo = tc.requestToken(0, callerA, d)
	tc.send(0, callerA, d)
	tc.advance(100 * time.Millisecond)
	assertResponse(t, tc, message.Content)
	sent := tc.receivedByBackends(message.POST)
	assert.Equal(t, len(sent), 2)
	assert.Assert(t, sent[0].target != sent[1].target)

	rejections = 2
	d = post(8, "claim")
	d.echo = tc.requestToken(0, callerA, d)
	tc.send(0, callerA, d)
	tc.advance(100 * time.Millisecond)
	got := assertResponse(t, tc, message.ServiceUnavailable)
	tc.send(1, callerA, d)
	tc.advance(100 * time.Millisecond)
	again := assertResponse(t, tc, message.ServiceUnavailable)
	assert.Equal(t, again.m.MaxAge, got.m.MaxAge)
	assert.Equal(t, len(tc.receivedByBackends(message.POST)), 4)
}

// Guards against a second execution when the response of the backend server is
// lost, and against a backend server that keeps working on a request after its
// deadline.
func TestLostResponseIsOutcomeUnknown(t *testing.T) {
	tc := newTestCluster(t, 2, testService("s", 4))
	tc.backendResponse = func(backendMessage) *message.Outgoing { return nil }
	d := post(7, "claim")
	d.echo = tc.requestToken(0, callerA, d)
	tc.send(0, callerA, d)
	tc.advance(3900 * time.Millisecond)
	assert.Equal(t, len(tc.responses(callerA)), 1)
	tc.advance(200 * time.Millisecond)
	assertResponse(t, tc, message.GatewayTimeout)
	tc.send(1, callerA, d)
	tc.advance(50 * time.Millisecond)
	assertResponse(t, tc, message.GatewayTimeout)
	sent := tc.receivedByBackends(message.POST)
	assert.Equal(t, len(sent), 1)
	resets := tc.receivedByBackends(message.Empty)
	assert.Equal(t, len(resets), 1)
	assert.Equal(t, resets[0].m.Type, message.Reset)
	assert.Equal(t, resets[0].m.ID, sent[0].m.ID)
}

// Guards against tokens that direct requests to a busy instance: the token must
// name one that owns a free slot.
func TestTokenNamesInstanceWithFreeSlot(t *testing.T) {
	tc := newTestCluster(t, 2, testService("s", 4))
	tc.backendRunTime = time.Hour
	c := tc.cores[0]
	free := tc.pool(0).Free(spread.Short)
	for n := range free {
		tc.send(0, callerN(n+10), get(uint16(n+10)))
	}
	assert.Equal(t, tc.pool(0).Free(spread.Short), 0)
	c.services["s"].peers[0].freeSlots, c.services["s"].peers[0].reportedAt = 2, tc.now
	for n := range 2 {
		assert.Equal(t, tc.tokenIssuer(tc.requestToken(0, callerN(n), post(3, "x"))), 1)
	}
}

// Guards against a feed that ends because another instance starts: the refresh
// of its registration reaches that instance, which does not have the membership
// list yet. Found by seed 52 of the soak test in e2e.
func TestJoiningInstanceEndsNoFeed(t *testing.T) {
	tc := newTestCluster(t, 3, testService("s", 6))
	home := tc.openFeed(0)
	tc.clearRecords()
	joining := (home + 1) % 3
	tc.startInstance(3, joining, testService("s", 6), 9)
	refresh := observeRequest(2)
	tc.send(joining, callerA, refresh)
	assert.Equal(t, len(tc.responses(callerA)), 0)
	assert.Equal(t, tc.cores[joining].counters.Unsynced, uint64(1))
	tc.send((home+2)%3, callerA, refresh) // the retransmission
	tc.advance(50 * time.Millisecond)
	assertResponse(t, tc, message.Content)
	assert.Equal(t, tc.cores[home].feeds.Len(), 1)
}

// Guards against "outcome unknown" for a request that has not run, from a
// joining instance that does not have the membership list yet.
func TestJoiningInstanceDoesNotAnswerForOthers(t *testing.T) {
	tc := newTestCluster(t, 3, testService("s", 6))
	d := post(7, "claim")
	d.echo = tc.requestToken(0, callerA, d)
	owner := tc.tokenIssuer(d.echo)
	joining := (owner + 1) % 3
	tc.startInstance(3, joining, testService("s", 6), 9)
	tc.clearRecords()
	tc.send(joining, callerA, d)
	assert.Equal(t, len(tc.responses(callerA)), 0)
	tc.send(owner, callerA, d)
	tc.advance(50 * time.Millisecond)
	assertResponse(t, tc, message.Content)
	assert.Equal(t, len(tc.receivedByBackends(message.POST)), 1)
}
