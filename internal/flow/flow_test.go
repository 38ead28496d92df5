package flow

import (
	"net/netip"
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"gotest.tools/v3/assert"
)

func key(n byte) Key {
	return Key{
		FlowKey: ids.FlowKey{Caller: netip.MustParseAddrPort("192.0.2.1:5683"), Service: "alarm"},
		Token:   message.Token{Bytes: [8]byte{n}, Len: 1},
	}
}

// An old notification must not replace a newer one, also when the 24-bit Observe value
// wraps around.
func TestAcceptIfNewerRejectsReorderedNotifications(t *testing.T) {
	var u Upstream
	assert.Assert(t, u.AcceptIfNewer(1, 1<<24-2))
	assert.Assert(t, u.AcceptIfNewer(2, 1))
	assert.Assert(t, !u.AcceptIfNewer(3, 1))
	assert.Assert(t, !u.AcceptIfNewer(3, 1<<24-1))
	assert.Assert(t, u.AcceptIfNewer(ids.Time(129*time.Second), 0))
}

// After a handover the caller must not receive older Observe values, or message ids
// that the old home still uses.
func TestHandoverIncreasesSequence(t *testing.T) {
	old, next := NewTable(), NewTable()
	f := old.Add(1, key(1), []byte{1})
	for range 10 {
		f.NextSequence()
		f.NextID()
	}
	m := f.HandoverRecord()
	g, fresh, err := next.AcceptHandover(2, m)
	assert.NilError(t, err)
	assert.Assert(t, fresh)
	assert.Equal(t, g.Key, f.Key)
	id := g.NextID()
	sequence := g.NextSequence()
	for range 100 {
		assert.Assert(t, isNewerSequence(f.NextSequence(), sequence))
		assert.Assert(t, f.NextID() != id)
	}
	h, fresh, err := next.AcceptHandover(3, m)
	assert.NilError(t, err)
	assert.Assert(t, !fresh && h == g)
	m.Caller = "nowhere"
	_, _, err = next.AcceptHandover(3, m)
	assert.Assert(t, err != nil)
}

// Sweep must visit each feed exactly once when visit removes some of them.
func TestSweepVisitsEachFeed(t *testing.T) {
	table := NewTable()
	for n := range byte(9) {
		table.Add(1, key(n), nil)
	}
	seen := map[byte]int{}
	table.Sweep(9, func(f *Feed) {
		seen[f.Token.Bytes[0]]++
		if f.Token.Bytes[0]%2 == 0 {
			table.Remove(f)
		}
	})
	assert.Equal(t, len(seen), 9)
	assert.Equal(t, table.Len(), 4)
	assert.Assert(t, table.HasFlow(key(1).FlowKey))
}

// The cache must not grow beyond its limit, and an entry that is set again must not
// expire.
func TestCacheIsBoundedAndRefreshed(t *testing.T) {
	c := Cache[int, string]{Lifetime: 10, Limit: 100}
	for i := range 1000 {
		c.Set(1, i, "x")
	}
	assert.Equal(t, c.Len(), 100)
	c.Set(8, 950, "y")
	c.Evict(12, 1000)
	assert.Equal(t, c.Len(), 1)
	v, ok := c.Get(12, 950)
	assert.Assert(t, ok && v == "y")
	_, ok = c.Get(12, 951)
	assert.Assert(t, !ok)
}
