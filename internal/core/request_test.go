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

// Guards against a request that is lost, answered twice, or answered by an
// instance other than the one that serves it.
func TestIdempotentRequestAtEveryInstance(t *testing.T) {
	tc := newTestCluster(t, 3, testService("s", 6))
	for i := range 3 {
		tc.clearRecords()
		tc.send(i, callerA, get(uint16(i+1)))
		tc.advance(100 * time.Millisecond)
		got := tc.responses(callerA)
		assert.Equal(t, len(got), 1)
		assert.Equal(t, got[0].m.Code, message.Content)
		assert.Equal(t, got[0].m.Type, message.Acknowledgement)
		assert.Equal(t, got[0].m.ID, uint16(i+1))
		assert.Equal(t, len(tc.receivedByBackends(message.GET)), 1)
		assert.Equal(t, got[0].core, tc.receivedByBackends(message.GET)[0].core)
	}
}

// Guards against a second execution when retransmissions arrive at several
// instances, while the request runs and after it has finished, also from a new
// endpoint.
func TestNonIdempotentRunsOnce(t *testing.T) {
	tc := newTestCluster(t, 3, testService("s", 6))
	tc.backendRunTime = 500 * time.Millisecond
	d := post(7, "claim")
	d.echo = tc.requestToken(0, callerA, d)
	assert.Equal(t, len(tc.receivedByBackends(message.POST)), 0)
	for i := range 3 {
		tc.send(i, callerA, d)
		tc.advance(20 * time.Millisecond)
	}
	tc.advance(time.Second)
	tc.send(1, callerN(9), d)
	tc.send(2, callerA, d)
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.receivedByBackends(message.POST)), 1)
	assert.Assert(t, tc.receivedByBackends(message.POST)[0].m.Echo == nil, "the token reached the backend server")
	for _, r := range tc.responses(callerA)[1:] {
		assert.Equal(t, r.m.Code, message.Content)
	}
	assert.Equal(t, tc.responses(callerN(9))[0].m.Code, message.Content)
}

// Guards against a response that reaches another caller, or is delivered after
// the request has ended.
func TestLateAndMisaddressedResponsesAreDropped(t *testing.T) {
	tc := newTestCluster(t, 2, testService("s", 4))
	tc.backendResponse = func(backendMessage) *message.Outgoing { return nil }
	tc.send(0, callerA, get(1))
	tc.advance(50 * time.Millisecond)
	sent := tc.receivedByBackends(message.GET)
	assert.Equal(t, len(sent), 1)
	core, target := sent[0].core, sent[0].target
	o := &message.Outgoing{Type: message.Confirmable, Code: message.Content, ID: 5, Token: sent[0].m.Token}
	from, other := ids.Endpoint{}, ids.Endpoint{}
	for _, x := range tc.cores[0].services["s"].config.Service.Targets {
		if x.Name == target {
			from = x.Address
		} else {
			other = x.Address
		}
	}
	tc.fromBackend(core, other, o)
	assert.Equal(t, len(tc.responses(callerA)), 0)
	tc.advance(5 * time.Second)
	got := len(tc.responses(callerA))
	tc.fromBackend(core, from, o)
	assert.Equal(t, len(tc.responses(callerA)), got)
	resets := tc.receivedByBackends(message.Empty)
	assert.Equal(t, resets[len(resets)-1].m.Type, message.Reset)
	assert.Equal(t, tc.cores[core].counters.LateResponses, uint64(2))
	assert.Equal(t, len(tc.cores[core].upstreams)+len(tc.cores[core].upstreamTokens)+len(tc.cores[core].requestsByKey), 0)
}

// Guards against a response to one request that a caller takes for the response to
// another, since it has used the token again: after it gave up the first one, and after a
// lost ACK of the first response, which is then sent a second time.
func TestTokenUsedAgain(t *testing.T) {
	again := get(2)
	again.token, again.path = get(1).token, "second"
	sameResource := get(2)
	sameResource.token, sameResource.payload = get(1).token, "second"
	for name, second := range map[string]testRequest{"other resource": again, "same resource": sameResource} {
		t.Run(name, func(t *testing.T) {
			tc := newTestCluster(t, 1, testService("s", 4))
			tc.backendRunTime = 2 * time.Second
			tc.backendResponse = func(b backendMessage) *message.Outgoing {
				o := &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: b.m.ID, Token: b.m.Token}
				if bytes.Contains(b.m.Raw, []byte("second")) {
					o.Payload = []byte("for the latter")
				}
				return o
			}
			tc.send(0, callerA, get(1))
			tc.advance(1700 * time.Millisecond) // the response will follow separately
			tc.send(0, callerA, second)
			tc.advance(2500 * time.Millisecond)
			got := tc.responses(callerA)
			assert.Equal(t, len(got), 1)
			assert.Assert(t, bytes.HasSuffix(got[0].m.Raw, []byte("for the latter")))

			tc = newTestCluster(t, 1, testService("s", 4))
			tc.backendRunTime = 2 * time.Second
			tc.send(0, callerA, get(3)) // the response is separate and no ACK arrives
			tc.advance(2100 * time.Millisecond)
			third := again
			third.id, third.token, third.path = 4, get(3).token, "z"
			assert.Equal(t, len(tc.responses(callerA)), 1)
			tc.clearRecords()
			tc.send(0, callerA, third)
			tc.advance(1900 * time.Millisecond)
			for _, r := range tc.responses(callerA) {
				assert.Assert(t, r.m.Token.Bytes[0] != third.token, "a second copy of the earlier response")
			}
		})
	}
}

// Guards against a claim that does not run, or runs twice, because its caller has used
// its token for another request meanwhile; and against its response being taken for the
// response to that one.
func TestTokenOfClaimUsedAgain(t *testing.T) {
	tc := newTestCluster(t, 1, testService("s", 4))
	tc.backendRunTime = 2 * time.Second
	claim := post(1, "claim")
	claim.echo = tc.requestToken(0, callerA, claim)
	tc.clearRecords()
	tc.send(0, callerA, claim)
	tc.advance(1700 * time.Millisecond)
	other := get(2)
	other.token = claim.token
	tc.send(0, callerA, other)
	tc.advance(1900 * time.Millisecond)
	assert.Equal(t, len(tc.responses(callerA)), 0, "the other request still runs")
	assert.Equal(t, len(tc.receivedByBackends(message.POST)), 1)
	claim.id = 9
	tc.send(0, callerA, claim)
	tc.advance(10 * time.Millisecond)
	assert.Equal(t, len(tc.receivedByBackends(message.POST)), 1, "a copy gets the recorded response")
}

// Guards against a separate response whose message ID, chosen by the backend
// server, equals that of another request in flight there: only the token
// identifies the request.
func TestResponseIsMatchedByToken(t *testing.T) {
	tc := newTestCluster(t, 1, testService("s", 1))
	tc.backendResponse = func(backendMessage) *message.Outgoing { return nil }
	tc.send(0, callerN(1), get(1))
	tc.send(0, callerN(2), get(2))
	sent := tc.receivedByBackends(message.GET)
	assert.Equal(t, len(sent), 2)
	tc.fromBackend(0, tc.cores[0].services["s"].config.Service.Targets[0].Address, &message.Outgoing{
		Type: message.Confirmable, Code: message.Content, ID: sent[1].m.ID, Token: sent[0].m.Token})
	assert.Equal(t, len(tc.responses(callerN(1))), 1)
	assert.Equal(t, len(tc.responses(callerN(2))), 0)
}

// Guards against a backend server that keeps working on a request after the
// caller has cancelled it.
func TestCancelledRequestIsCancelledAtBackend(t *testing.T) {
	tc := newTestCluster(t, 1, testService("s", 2))
	tc.backendRunTime = time.Second
	tc.send(0, callerA, get(1))
	tc.sendEmpty(0, callerA, message.Reset, 1)
	sent := tc.receivedByBackends(message.GET)[0]
	reset := tc.receivedByBackends(message.Empty)[0]
	assert.Equal(t, reset.m.ID, sent.m.ID)
	assert.Equal(t, tc.pool(0).Free(spread.Short), 4)
	tc.advance(2 * time.Second)
	assert.Equal(t, len(tc.responses(callerA)), 0)
}

// Guards against a caller that retransmits while a request runs, and against a
// lost ACK of a separate response: it may arrive at any instance.
func TestSeparateResponseIsConfirmed(t *testing.T) {
	tc := newTestCluster(t, 3, testService("s", 6))
	tc.backendRunTime = 1700 * time.Millisecond
	for n := range 8 {
		caller := callerN(n)
		tc.clearRecords()
		tc.send(n%3, caller, get(1))
		tc.advance(1550 * time.Millisecond)
		assert.Equal(t, tc.replies[0].m.Type, message.Acknowledgement)
		assert.Equal(t, tc.replies[0].m.Code, message.Empty)
		tc.send(n%3, caller, get(1)) // retransmission
		tc.advance(1900 * time.Millisecond)
		got := tc.responses(caller)
		assert.Equal(t, len(got), 2, "the response is retransmitted until its ACK")
		assert.Equal(t, got[0].m.Type, message.Confirmable)
		assert.Equal(t, got[0].m.ID, got[1].m.ID)
		tc.sendEmpty((n+1)%3, caller, message.Acknowledgement, got[0].m.ID)
		tc.advance(20 * time.Second)
		assert.Equal(t, len(tc.responses(caller)), 2)
		assert.Equal(t, len(tc.receivedByBackends(message.GET)), 1)
	}
}

// Guards against a rejection that is delayed, and against a queue that exceeds
// the time limit.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	tc := newTestCluster(t, 1, testService("s", 2))
	tc.backendRunTime = 200 * time.Millisecond
	tc.ackConfirmables = true
	for n := range 200 {
		tc.send(0, callerN(n), get(1))
	}
	refused := 0
	for _, r := range tc.replies {
		assert.Equal(t, r.m.Code, message.ServiceUnavailable)
		assert.Assert(t, !bytes.HasSuffix(r.m.Raw, notRunPayload), "another instance may have run an idempotent request")
		assert.Assert(t, r.m.MaxAge >= 1)
		refused++
	}
	assert.Equal(t, refused, 200-4-100)
	tc.advance(6 * time.Second)
	finals := map[ids.Endpoint]int{}
	for n := range 200 {
		finals[callerN(n)] = len(tc.responses(callerN(n)))
		assert.Equal(t, finals[callerN(n)], 1)
	}
	assert.Equal(t, len(tc.cores[0].liveRequests)+tc.cores[0].services["s"].backlog(), 0)
}

// Guards against an idempotent request that fails when its backend server
// fails, and against retries beyond the budget.
func TestFailedBackendIsRetriedWithinBudget(t *testing.T) {
	tc := newTestCluster(t, 1, testService("s", 3))
	tc.backendResponse = func(b backendMessage) *message.Outgoing {
		if b.target == "t0" {
			return &message.Outgoing{Type: message.Reset, ID: b.m.ID}
		}
		return &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: b.m.ID, Token: b.m.Token}
	}
	for range 20 {
		tc.cores[0].services["s"].budget.Deposit()
	}
	for n := range 40 {
		tc.send(0, callerN(n), get(1))
		tc.advance(30 * time.Millisecond)
		code := tc.responses(callerN(n))[0].m.Code
		assert.Assert(t, n > 2 || code == message.Content, "%d: %x", n, code)
	}
	c := tc.cores[0].counters
	assert.Assert(t, c.Retries >= 1 && c.Retries <= 6, "%d retries", c.Retries)
}

// Guards against a request that is queued at one instance while another has a
// free slot.
func TestFreeSlotTakesQueuedRequestOfAnotherInstance(t *testing.T) {
	tc := newTestCluster(t, 2, testService("s", 4))
	busy := tc.cores[0]
	tc.backendRunTime = time.Hour
	for n := 0; tc.pool(0).Free(spread.Short) > 0; n++ {
		tc.send(0, callerN(n), get(1))
	}
	a := callerDatagram{callerExchange: callerExchange{svc: busy.services["s"], caller: callerN(99)}, hops: 0}
	m := get(1).encode(t)
	a.msg, a.messageType, a.messageID, a.token = &m, m.Type, m.ID, m.Token
	tc.callCore(0, func(c *Core, out *Effects) {
		c.begin(tc.now, out)
		c.enqueue(c.newRequest(&a), spread.Short)
	})
	tc.backendRunTime = 10 * time.Millisecond
	tc.advance(70 * time.Millisecond) // the load report with the backlog arrives
	for n := 50; len(tc.responses(callerN(99))) == 0; n++ {
		assert.Assert(t, n < 60, "the queued request was not taken over")
		tc.send(1, callerN(n), get(1)) // when it completes, a slot becomes free
		tc.advance(50 * time.Millisecond)
	}
	assert.Equal(t, tc.responses(callerN(99))[0].core, 1)
}

// Guards against a retry that is relayed: the other instance has no record that
// a backend server may have run the request, and would allow it all attempts
// again.
func TestRetryIsNotRelayed(t *testing.T) {
	tc := newTestCluster(t, 2, testService("s", 4))
	a := callerDatagram{callerExchange: callerExchange{svc: tc.cores[0].services["s"], caller: callerA}}
	m := get(1).encode(t)
	a.msg, a.messageType, a.messageID, a.token = &m, m.Type, m.ID, m.Token
	tc.callCore(0, func(c *Core, out *Effects) {
		c.begin(tc.now, out)
		c.refreshOwnership(a.svc)
		r := c.newRequest(&a)
		r.attempts, r.mayHaveRun = 1, true
		c.enqueue(r, spread.Short)
		c.handleSlotFree("i1", &peerwire.SlotFree{Service: "s", Count: 1})
		assert.Equal(t, c.counters.Relayed, uint64(0))
		assert.Equal(t, a.svc.backlog(), 1)
	})
}

// Guards against a partner that sends ten times its share of requests and gets
// more than its share of the slots.
func TestPartnersGetTheirWeightedShare(t *testing.T) {
	r := testService("s", 6)
	r.Profile.Partners = []config.Partner{
		{Name: "a", Weight: 3, Networks: []netip.Prefix{netip.MustParsePrefix("192.0.2.0/25")}},
		{Name: "b", Weight: 1, Networks: []netip.Prefix{netip.MustParsePrefix("192.0.2.128/25")}},
	}
	tc := newTestCluster(t, 3, r)
	tc.backendRunTime = 20 * time.Millisecond // capacity: 600 requests a second
	tc.ackConfirmables = true
	port := uint16(0)
	request := func(host byte) {
		port++
		tc.send(int(port)%3, netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, host}), port), get(1))
	}
	for n := range 700 { // a: 600 a second, b: 6,000 a second
		if n == 200 {
			tc.replies = nil
		}
		for range 3 {
			request(1)
		}
		for range 30 {
			request(200)
		}
		tc.advance(5 * time.Millisecond)
	}
	served := map[bool]int{}
	for _, x := range tc.replies {
		if x.m.Code == message.Content {
			served[x.caller.Addr().As4()[3] < 128]++
		}
	}
	share := float64(served[true]) / float64(served[true]+served[false])
	assert.Assert(t, share > 0.7125 && share < 0.7875, "share of a is %.3f", share)
	assert.Assert(t, served[true]+served[false] > 1425, "%d served of 1500", served[true]+served[false])
	t.Logf("partner a got a share of %.3f; %d requests were served", share, served[true]+served[false])
}

// Guards against the blocks of one transfer coming from different backend
// servers.
func TestFollowUpBlocksGoToSameTarget(t *testing.T) {
	tc := newTestCluster(t, 3, testService("s", 6))
	for n := range 6 {
		tc.clearRecords()
		for num := range byte(6) {
			d := get(uint16(num))
			m := d.encode(t)
			if num > 0 {
				m = withBlock2(t, m.Raw, num<<4|2)
			}
			tc.backendResponse = func(b backendMessage) *message.Outgoing {
				raw := withBlock2(t, []byte{0x60, byte(message.Content), 0, 0}, num<<4|8|2).Raw
				return &message.Outgoing{Template: raw, Type: message.Acknowledgement, ID: b.m.ID, Token: b.m.Token}
			}
			tc.sendMessage((n+int(num))%3, callerN(n), &m)
			tc.advance(50 * time.Millisecond)
		}
		sent := tc.receivedByBackends(message.GET)
		assert.Equal(t, len(sent), 6)
		for _, b := range sent {
			assert.Equal(t, b.target, sent[0].target)
		}
	}
}

// Guards against a prediction that includes the short run times of follow-up
// blocks: every first block of a transfer would then be classified as long.
func TestFollowUpBlocksDoNotChangeTheClass(t *testing.T) {
	tc := newTestCluster(t, 1, testService("s", 2))
	for n := range 20 {
		for num := range byte(10) {
			tc.backendRunTime = time.Millisecond
			d := get(uint16(n*10 + int(num)))
			m := d.encode(t)
			if num > 0 {
				m = withBlock2(t, m.Raw, num<<4|2)
			} else {
				tc.backendRunTime = 20 * time.Millisecond
			}
			tc.sendMessage(0, callerA, &m)
			tc.advance(40 * time.Millisecond)
		}
	}
	s, d := tc.cores[0].services["s"], get(1)
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
	tc := newTestCluster(t, 3, testService("s", 6))
	for i, c := range tc.cores { // by the list of each instance the slots belong to the others
		var others []ids.Instance
		for k := range tc.cores {
			if k != i {
				others = append(others, instanceID(k))
			}
		}
		c.slotTable.SetInstances(tc.now, others)
		c.generation++
	}
	for n := range 20 {
		tc.send(n%3, callerN(n), get(1))
	}
	tc.advance(100 * time.Millisecond)
	relays := uint64(0)
	for _, c := range tc.cores {
		relays += c.counters.Relayed
	}
	assert.Assert(t, relays <= 40, "%d relays", relays)
	for n := range 20 {
		assert.Equal(t, len(tc.responses(callerN(n))), 1)
	}
}

// Guards against a resumed instance that dispatches requests whose deadline has
// passed, or responds "not run" to requests that may have run.
func TestResumeAfterPause(t *testing.T) {
	tc := newTestCluster(t, 3, testService("s", 6))
	tc.backendRunTime = time.Hour
	c := tc.cores[0]
	for n := 0; tc.pool(0).Free(spread.Short) > 0; n++ {
		tc.send(0, callerN(n), get(1))
	}
	d := post(7, "claim")
	tc.callCore(0, func(c *Core, out *Effects) { // a token that names this instance, although it is busy
		c.begin(tc.now, out)
		m := d.encode(t)
		c.grant(&callerDatagram{callerExchange: callerExchange{svc: c.services["s"], caller: callerA}, msg: &m}, c.self.ID, c.self.Incarnation)
	})
	d.echo = tc.responses(callerA)[0].m.Echo
	tc.send(0, callerA, d)
	assert.Equal(t, c.services["s"].backlog(), 1)
	tc.paused[0] = true
	tc.advance(10 * time.Second)
	tc.paused[0] = false
	tc.send(0, callerN(60), get(2)) // before the first tick
	assertResponse(t, tc, message.ServiceUnavailable)
	assert.Equal(t, len(tc.receivedByBackends(message.POST)), 0)
	assert.Equal(t, c.counters.Pauses, uint64(1))
	tc.backendRunTime = 10 * time.Millisecond
	tc.advance(6 * time.Second)
	assert.Equal(t, c.membership.State(), peerwire.Serving)
	assert.Equal(t, len(c.liveRequests), 0)
	tc.clearRecords()
	tc.send(1, callerA, d)
	tc.advance(20 * time.Millisecond)
	assert.Assert(t, bytes.HasSuffix(assertResponse(t, tc, message.ServiceUnavailable).m.Raw, notRunPayload))
	assert.Equal(t, len(tc.receivedByBackends(message.POST)), 0)
	tc.send(0, callerN(61), get(3))
	tc.advance(50 * time.Millisecond)
	assert.Equal(t, tc.responses(callerN(61))[0].m.Code, message.Content)
}
