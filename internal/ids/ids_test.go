package ids

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Removing a node must only move the keys of that node, not keys between the
// remaining nodes.
func TestRankMovesOnlyKeysOfRemovedNode(t *testing.T) {
	nodes := []uint64{Hash("a"), Hash("b"), Hash("c"), Hash("d"), Hash("e")}
	remaining := append(append([]uint64{}, nodes[:2]...), nodes[3:]...)
	for k := uint64(0); k < 1000; k++ {
		before := nodes[Rank(nil, nodes, Hash(string(rune(k))), 1)[0]]
		after := remaining[Rank(nil, remaining, Hash(string(rune(k))), 1)[0]]
		if before != nodes[2] {
			assert.Equal(t, before, after)
		}
	}
}

// Every node must get about the same share of the keys.
func TestRankSpreadsEvenly(t *testing.T) {
	nodes := []uint64{Hash("a"), Hash("b"), Hash("c"), Hash("d"), Hash("e")}
	count := make([]int, len(nodes))
	for k := uint64(0); k < 10000; k++ {
		count[Rank(nil, nodes, Mix(k, 1), 1)[0]]++
	}
	for i, n := range count {
		assert.Assert(t, n > 1800 && n < 2200, "node %d got %d of 10000", i, n)
	}
}
