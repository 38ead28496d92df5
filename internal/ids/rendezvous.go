package ids

import "github.com/cespare/xxhash/v2"

// Hash returns the 64-bit xxHash of s.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// Mix combines two hashes into one whose bits depend on all bits of both. It applies
// the SplitMix64 finalizer to a combination of them and does not allocate.
func Mix(a, b uint64) uint64 {
	z := a ^ (b*0x9e3779b97f4a7c15 + 0x7f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// HashEndpoint returns a hash of the address and port of e. It does not allocate.
func HashEndpoint(e Endpoint) uint64 {
	a := e.Addr().As16()
	var b [18]byte
	copy(b[:], a[:])
	b[16], b[17] = byte(e.Port()>>8), byte(e.Port())
	return xxhash.Sum64(b[:])
}

// Rank orders the indexes of nodes by their rendezvous weight for key (highest random
// weight hashing), highest first, and appends the first n of them to dst. Ties are
// broken by index, so the result is the same wherever nodes are sorted in the same
// order. It makes n passes over nodes, which is the cheapest way for small n.
func Rank(dst []int, nodes []uint64, key uint64, n int) []int {
	start := len(dst)
	for len(dst)-start < n && len(dst)-start < len(nodes) {
		best, bestWeight := -1, uint64(0)
		for i, node := range nodes {
			if contains(dst[start:], i) {
				continue
			}
			if w := Mix(node, key); best < 0 || w > bestWeight {
				best, bestWeight = i, w
			}
		}
		dst = append(dst, best)
	}
	return dst
}

func contains(list []int, v int) bool {
	for _, x := range list {
		if x == v {
			return true
		}
	}
	return false
}
