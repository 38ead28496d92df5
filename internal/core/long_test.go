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

// newLongRequestCluster returns 5 instances with 8 slots, whose backend servers
// take 500 ms for path "l" and 10 ms for others. One instance has served a
// request for path "l".
func newLongRequestCluster(t *testing.T) *testCluster {
	tc := newTestCluster(t, 5, testService("s", 4))
	tc.ackConfirmables = true
	long := message.HashPath("/l")
	tc.backendResponse = func(b backendMessage) *message.Outgoing {
		tc.backendRunTime = 10 * time.Millisecond
		if b.m.PathHash == long {
			tc.backendRunTime = 500 * time.Millisecond
		}
		return &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: b.m.ID, Token: b.m.Token}
	}
	for n := range 120 {
		tc.send(n%5, callerN(n), get(uint16(n)))
		tc.advance(20 * time.Millisecond)
	}
	tc.send(0, callerA, longGet(1000))
	tc.advance(time.Second)
	tc.reportLoads()
	tc.clearRecords()
	return tc
}

// reportLoads sends the load of each instance to all others.
func (tc *testCluster) reportLoads() {
	for i := range tc.cores {
		tc.callCore(i, func(c *Core, out *Effects) {
			c.begin(tc.now, out)
			for k := range tc.cores {
				if k != i {
					c.reportLoad(c.services["s"], instanceID(k))
				}
			}
		})
	}
	tc.advance(2 * time.Millisecond)
}

func longGet(id uint16) testRequest {
	d := get(id)
	d.path = "l"
	return d
}

func (tc *testCluster) longRequests() (n int) {
	for i := range tc.cores {
		n += tc.pool(i).LongInUse()
	}
	return n
}

// Guards against owners that each treat a long request as short at first,
// although another owner has already learned its run time.
func TestCoOwnersLearnLongRunTimes(t *testing.T) {
	tc := newLongRequestCluster(t)
	d := longGet(1).encode(t)
	for i, c := range tc.cores {
		if tc.pool(i) != nil {
			assert.Equal(t, tc.pool(i).Classify(c.services["s"].contentKey(&d)), spread.Long, "%d", i)
		}
	}
}

// Guards against long requests that leave too few slots to short ones because
// each owner may run one, and against long requests that are lost because of
// the limit. The limit holds exactly for starts that are further apart than a
// report takes.
func TestLongLimitOverAllOwners(t *testing.T) {
	tc := newLongRequestCluster(t)
	for n := range 12 {
		tc.send(n%5, callerN(n), longGet(uint16(2000+n)))
		tc.advance(5 * time.Millisecond)
	}
	maxLongRequests := 0
	for range 150 { // less than the 250 ms after which the limit may be exceeded
		tc.advance(time.Millisecond)
		maxLongRequests = max(maxLongRequests, tc.longRequests())
	}
	assert.Equal(t, maxLongRequests, 4, "60%% of 8 slots, rounded down")
	tc.advance(4 * time.Second)
	for n := range 12 {
		got := tc.responses(callerN(n))
		assert.Equal(t, len(got), 1)
		assert.Equal(t, got[0].m.Code, message.Content)
	}
}

// Guards against a long request that starves because reports show that
// co-owners use the whole limit, for example when membership lists differ.
func TestLongRequestDoesNotStarve(t *testing.T) {
	tc := newLongRequestCluster(t)
	s := tc.cores[0].services["s"]
	tc.dropPeerMessage = func(from, to ids.Instance, _ *peerwire.Message) bool {
		return from == instanceID(0) || to == instanceID(0)
	}
	reportFullLimit := func() {
		for _, p := range s.peers {
			tc.cores[0].recordLoad(p.id, &peerwire.Load{Service: "s", Slots: 1, Long: 50})
		}
	}
	reportFullLimit()
	tc.callCore(0, func(c *Core, out *Effects) {
		c.begin(tc.now, out)
		d := longGet(3000).encode(t)
		c.enqueue(c.newRequest(&callerDatagram{callerExchange: callerExchange{svc: s, caller: callerA, messageID: d.ID, token: d.Token}, msg: &d}), spread.Long)
	})
	overdueAfter := s.limiter.MaxQueueTime / longOverdueDivisor
	for range overdueAfter/time.Millisecond - 20 {
		tc.advance(time.Millisecond)
		reportFullLimit()
	}
	assert.Equal(t, tc.pool(0).LongInUse(), 0)
	for range 50 {
		tc.advance(time.Millisecond)
		reportFullLimit()
	}
	assert.Equal(t, tc.pool(0).LongInUse(), 1)
}

// Guards against a short request that waits for the end of a long one at an
// owner whose only slot the long one holds.
func TestShortRequestIsRelayedFromOwnerWithLongRequest(t *testing.T) {
	tc := newLongRequestCluster(t)
	owner := -1
	for i := range tc.cores {
		if tc.pool(i) != nil && tc.pool(i).Usable() == 1 {
			owner = i
		}
	}
	assert.Assert(t, owner >= 0, "no instance owns a single slot")
	tc.send(owner, callerA, longGet(4000))
	assert.Equal(t, tc.pool(owner).LongInUse(), 1)
	tc.reportLoads()
	tc.callCore(owner, func(c *Core, out *Effects) {
		c.begin(tc.now, out)
		d := get(4001).encode(t)
		a := callerDatagram{callerExchange: callerExchange{svc: c.services["s"], caller: callerN(1), messageID: d.ID, token: d.Token}, msg: &d}
		c.enqueue(c.newRequest(&a), spread.Short)
	})
	tc.advance(100 * time.Millisecond)
	assert.Equal(t, len(tc.responses(callerN(1))), 1)
}

// Guards against three faults when a queued request is relayed to another
// instance: an empty ACK after the caller has already retransmitted, a deadline
// that starts again, and a piggybacked response after an empty ACK.
func TestRelayKeepsArrivalAndDeadline(t *testing.T) {
	for _, acked := range []bool{false, true} {
		tc := newLongRequestCluster(t)
		tc.ackConfirmables = false
		owner, other := tc.cores[0], tc.cores[1]
		tc.callCore(0, func(c *Core, out *Effects) {
			c.begin(tc.now, out)
			d := longGet(5000).encode(t)
			s := c.services["s"]
			a := callerDatagram{callerExchange: callerExchange{svc: s, caller: callerA, messageID: d.ID, token: d.Token, acked: acked}, msg: &d}
			r := c.newRequest(&a)
			r.arrived, r.deadline = r.arrived.Add(-1300*time.Millisecond), r.deadline.Add(-1300*time.Millisecond)
			s.partners[r.partner].queued[r.class]++
			c.forwardQueued(r, other.self.ID)
		})
		assert.Equal(t, len(owner.liveRequests), 0)
		tc.advance(3 * time.Millisecond)
		live := 0
		for _, c := range tc.cores {
			for _, r := range c.liveRequests {
				live++
				assert.Equal(t, r.deadline.Sub(r.arrived), 4*time.Second)
				assert.Assert(t, tc.now.Sub(r.arrived) >= 1300*time.Millisecond)
			}
		}
		assert.Equal(t, live, 1)
		tc.advance(300 * time.Millisecond)
		acks := 0
		for _, r := range tc.replies {
			if r.m.Code == message.Empty {
				acks++
			}
		}
		assert.Equal(t, acks, map[bool]int{false: 1, true: 0}[acked])
		tc.advance(400 * time.Millisecond)
		assert.Equal(t, tc.responses(callerA)[0].m.Type, message.Confirmable)
	}
}
