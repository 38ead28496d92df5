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

// newLongWorld returns 5 instances with 8 slots, whose backend servers take
// 500 ms for path "l" and 10 ms for others. One instance has run path "l".
func newLongWorld(t *testing.T) *world {
	w := newWorld(t, 5, resolved("s", 4))
	w.acks = true
	long := message.HashPath("/l")
	w.serve = func(b received) *message.Outgoing {
		w.run = 10 * time.Millisecond
		if b.m.Path == long {
			w.run = 500 * time.Millisecond
		}
		return &message.Outgoing{Type: message.Acknowledgement, Code: message.Content, ID: b.m.ID, Token: b.m.Token}
	}
	for n := range 120 {
		w.send(n%5, callerN(n), get(uint16(n)))
		w.advance(20 * time.Millisecond)
	}
	w.send(0, callerA, longGet(1000))
	w.advance(time.Second)
	w.reportLoads()
	w.reset()
	return w
}

// reportLoads makes the load of each instance known to all others.
func (w *world) reportLoads() {
	for i := range w.cores {
		w.call(i, func(c *Core, out *Effects) {
			c.begin(w.now, out)
			for k := range w.cores {
				if k != i {
					c.reportLoad(c.services["s"], instanceID(k))
				}
			}
		})
	}
	w.advance(2 * time.Millisecond)
}

func longGet(id uint16) datagram {
	d := get(id)
	d.path = "l"
	return d
}

func (w *world) longs() (n int) {
	for i := range w.cores {
		n += w.pool(i).LongInUse()
	}
	return n
}

// Guards against owners that each first run a long request as a short one,
// although another owner knows its run time.
func TestLongRequestsAreKnownToCoOwners(t *testing.T) {
	w := newLongWorld(t)
	d := longGet(1).encode(t)
	for i, c := range w.cores {
		if w.pool(i) != nil {
			assert.Equal(t, w.pool(i).Classify(c.services["s"].contentKey(&d)), spread.Long, "%d", i)
		}
	}
}

// Guards against long requests that leave too few slots to short ones, as each
// owner may run one, and against long requests that are lost by the limit. The
// limit holds exactly for starts that are further apart than a report takes.
func TestLongLimitOverAllOwners(t *testing.T) {
	w := newLongWorld(t)
	for n := range 12 {
		w.send(n%5, callerN(n), longGet(uint16(2000+n)))
		w.advance(5 * time.Millisecond)
	}
	most := 0
	for range 150 { // less than the expected of 250 ms
		w.advance(time.Millisecond)
		most = max(most, w.longs())
	}
	assert.Equal(t, most, 4, "60%% of 8 slots, rounded down")
	w.advance(4 * time.Second)
	for n := range 12 {
		got := w.finals(callerN(n))
		assert.Equal(t, len(got), 1)
		assert.Equal(t, got[0].m.Code, message.Content)
	}
}

// Guards against a long request that starves because reports claim that
// co-owners hold the whole limit, for example when lists disagree.
func TestLongRequestDoesNotStarve(t *testing.T) {
	w := newLongWorld(t)
	s := w.cores[0].services["s"]
	w.cut = func(from, to ids.Instance, _ *peerwire.Message) bool {
		return from == instanceID(0) || to == instanceID(0)
	}
	claim := func() {
		for _, p := range s.peers {
			w.cores[0].heard(p.id, &peerwire.Load{Service: "s", Slots: 1, Long: 50})
		}
	}
	claim()
	w.call(0, func(c *Core, out *Effects) {
		c.begin(w.now, out)
		d := longGet(3000).encode(t)
		c.enqueue(c.newRequest(&arrival{exchange: exchange{svc: s, caller: callerA, id: d.ID, token: d.Token}, m: &d}), spread.Long)
	})
	step := s.limiter.MaxQueueTime / longOverdueDivisor
	for range step/time.Millisecond - 20 {
		w.advance(time.Millisecond)
		claim()
	}
	assert.Equal(t, w.pool(0).LongInUse(), 0)
	for range 50 {
		w.advance(time.Millisecond)
		claim()
	}
	assert.Equal(t, w.pool(0).LongInUse(), 1)
}

// Guards against a short request that waits for the end of a long one in an
// owner whose only slot it holds.
func TestShortRequestLeavesOwnerOfLongOnes(t *testing.T) {
	w := newLongWorld(t)
	owner := -1
	for i := range w.cores {
		if w.pool(i) != nil && w.pool(i).Usable() == 1 {
			owner = i
		}
	}
	assert.Assert(t, owner >= 0, "no instance owns a single slot")
	w.send(owner, callerA, longGet(4000))
	assert.Equal(t, w.pool(owner).LongInUse(), 1)
	w.reportLoads()
	w.call(owner, func(c *Core, out *Effects) {
		c.begin(w.now, out)
		d := get(4001).encode(t)
		a := arrival{exchange: exchange{svc: c.services["s"], caller: callerN(1), id: d.ID, token: d.Token}, m: &d}
		c.enqueue(c.newRequest(&a), spread.Short)
	})
	w.advance(100 * time.Millisecond)
	assert.Equal(t, len(w.finals(callerN(1))), 1)
}

// Guards against an empty ACK that comes after the caller has retransmitted, a
// deadline that starts again, and a piggybacked response after an empty ACK,
// when a queued request is relayed to another instance.
func TestRelayKeepsTimesOfRequest(t *testing.T) {
	for _, acked := range []bool{false, true} {
		w := newLongWorld(t)
		w.acks = false
		owner, other := w.cores[0], w.cores[1]
		w.call(0, func(c *Core, out *Effects) {
			c.begin(w.now, out)
			d := longGet(5000).encode(t)
			s := c.services["s"]
			a := arrival{exchange: exchange{svc: s, caller: callerA, id: d.ID, token: d.Token, acked: acked}, m: &d}
			r := c.newRequest(&a)
			r.arrived, r.deadline = r.arrived.Add(-1300*time.Millisecond), r.deadline.Add(-1300*time.Millisecond)
			s.partners[r.partner].queued[r.class]++
			c.forwardQueued(r, other.self.ID)
		})
		assert.Equal(t, len(owner.live), 0)
		w.advance(3 * time.Millisecond)
		live := 0
		for _, c := range w.cores {
			for _, r := range c.live {
				live++
				assert.Equal(t, r.deadline.Sub(r.arrived), 4*time.Second)
				assert.Assert(t, w.now.Sub(r.arrived) >= 1300*time.Millisecond)
			}
		}
		assert.Equal(t, live, 1)
		w.advance(300 * time.Millisecond)
		acks := 0
		for _, r := range w.replies {
			if r.m.Code == message.Empty {
				acks++
			}
		}
		assert.Equal(t, acks, map[bool]int{false: 1, true: 0}[acked])
		w.advance(400 * time.Millisecond)
		assert.Equal(t, w.finals(callerA)[0].m.Type, message.Confirmable)
	}
}
