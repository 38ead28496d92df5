package fanout

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Guards against announcement traffic that grows faster than the number of
// instances: up to 500 instances, a seed receives at most 50 announcements a second.
func TestAnnouncementRateBounded(t *testing.T) {
	for _, n := range []int{27, 100, 300, 500} {
		rate := float64(n) / announceInterval(n).Seconds()
		assert.Assert(t, rate <= 50, "%g a second of %d instances", rate, n)
	}
	assert.Equal(t, announceInterval(27), minAnnounceInterval)
	assert.Equal(t, announceInterval(2500), maxAnnounceInterval)
}

// Guards against seeds that rank the same instances differently, against instances
// that stay listed after they have stopped, and against a tree that has a cycle or in
// which an instance has too many followers.
func TestDirectory(t *testing.T) {
	for _, n := range []int{1, 2, 9, 500} {
		now := time.Unix(100, 0)
		a, b := NewDirectory(), NewDirectory()
		at := netip.MustParseAddrPort("127.0.0.1:80")
		name := func(i int) ids.Instance { return ids.Instance(fmt.Sprint("i", i)) }
		for i := range n {
			a.Announce(now, "dc", Instance{name(i), at}, true)
			b.Announce(now, "dc", Instance{name(n - 1 - i), at}, true)
			a.Announce(now, "other", Instance{name(i), at}, true)
		}
		followers := map[ids.Instance]int{}
		depth := 0
		var root ids.Instance
		for i := range n {
			r := a.Ranking(now, "dc", name(i))
			assert.Equal(t, r.Live, n)
			assert.Equal(t, r.Known, 2*n)
			assert.Assert(t, slices.Equal(r.Sources, b.Ranking(now, "dc", name(i)).Sources))
			if len(r.Sources) == 0 {
				assert.Equal(t, root, ids.Instance(""), "two instances read the platform")
				root = name(i)
				continue
			}
			followers[r.Sources[0].ID]++
			steps := 0
			for at := name(i); at != ""; steps++ {
				assert.Assert(t, steps <= n, "cycle")
				next := a.Ranking(now, "dc", at).Sources
				if len(next) == 0 {
					break
				}
				at = next[0].ID
			}
			depth = max(depth, steps)
		}
		for id, f := range followers {
			assert.Assert(t, f <= treeDegree, "%s has %d followers", id, f)
		}
		assert.Assert(t, depth <= 3, "%d steps at %d instances", depth, n)
		a.Leave("dc", root)
		assert.Equal(t, a.Ranking(now, "dc", root).Live, n-1)
		later := now.Add(expiryIntervals*announceInterval(2*n) + time.Second)
		assert.Equal(t, a.Ranking(later, "dc", name(0)).Live, 0)
	}
}
