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

// Guards against an old notification replacing a newer one, across the wrap of
// the 24-bit value too.
func TestNewerRejectsReorderedNotifications(t *testing.T) {
	var u Upstream
	assert.Assert(t, u.AcceptIfNewer(1, 1<<24-2))
	assert.Assert(t, u.AcceptIfNewer(2, 1))
	assert.Assert(t, !u.AcceptIfNewer(3, 1))
	assert.Assert(t, !u.AcceptIfNewer(3, 1<<24-1))
	assert.Assert(t, u.AcceptIfNewer(ids.Time(129*time.Second), 0))
}

// Guards against a handover after which the caller sees older Observe values
// or a message id that the old home still uses.
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
		assert.Assert(t, sequenceNewer(f.NextSequence(), sequence))
		assert.Assert(t, f.NextID() != id)
	}
	h, fresh, err := next.AcceptHandover(3, m)
	assert.NilError(t, err)
	assert.Assert(t, !fresh && h == g)
	m.Caller = "nowhere"
	_, _, err = next.AcceptHandover(3, m)
	assert.Assert(t, err != nil)
}

// Guards against a sweep that skips or repeats feeds when some are removed.
func TestSweepVisitsEachFeed(t *testing.T) {
	tab := NewTable()
	for n := range byte(9) {
		tab.Add(1, key(n), nil)
	}
	seen := map[byte]int{}
	tab.Sweep(9, func(f *Feed) {
		seen[f.Token.Bytes[0]]++
		if f.Token.Bytes[0]%2 == 0 {
			tab.Remove(f)
		}
	})
	assert.Equal(t, len(seen), 9)
	assert.Equal(t, tab.Len(), 4)
	assert.Assert(t, tab.HasFlow(key(1).FlowKey))
}

// Guards against a cache that grows without bound, and against the expiry of
// a route that is in use.
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
