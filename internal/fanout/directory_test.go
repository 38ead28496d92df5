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

// Guards against announcements whose bytes grow faster than the instances do, and
// against instances that are forgotten between two announcements of theirs: each
// seed gets at most 50 a second up to 500 instances.
func TestAnnouncementsBounded(t *testing.T) {
	for _, n := range []int{27, 100, 300, 500} {
		rate := float64(n) / interval(n).Seconds()
		assert.Assert(t, rate <= 50, "%g a second of %d instances", rate, n)
	}
	assert.Equal(t, interval(27), announceEvery)
	assert.Equal(t, interval(2500), announceLate)
}

// Guards against seeds that rank differently for the same instances, against
// instances that stay listed after their end, and against a tree that has a cycle
// or in which one instance has too many followers.
func TestDirectory(t *testing.T) {
	for _, n := range []int{1, 2, 9, 500} {
		now := time.Unix(100, 0)
		a, b := NewDirectory(), NewDirectory()
		at := netip.MustParseAddrPort("127.0.0.1:80")
		name := func(i int) ids.Instance { return ids.Instance(fmt.Sprint("i", i)) }
		for i := range n {
			a.Announce(now, "dc", Instance{name(i), at})
			b.Announce(now, "dc", Instance{name(n - 1 - i), at})
			a.Announce(now, "other", Instance{name(i), at})
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
			assert.Assert(t, f <= degree, "%s has %d followers", id, f)
		}
		assert.Assert(t, depth <= 3, "%d steps at %d instances", depth, n)
		a.Leave("dc", root)
		assert.Equal(t, a.Ranking(now, "dc", root).Live, n-1)
		later := now.Add(lifeIntervals*interval(2*n) + time.Second)
		assert.Equal(t, a.Ranking(later, "dc", name(0)).Live, 0)
	}
}
