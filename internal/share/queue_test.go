package share

import (
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A fixed seed makes the default run reproducible; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

const cost = 10 * time.Millisecond

// popAndCount pops up to n items and counts them by partner.
func popAndCount(q *Queue[int], n int) map[ids.Partner]int {
	got := map[ids.Partner]int{}
	for range n {
		_, p, ok := q.Pop()
		if !ok {
			break
		}
		got[p]++
	}
	return got
}

func fill(q *Queue[int], p ids.Partner, n int) {
	for i := range n {
		q.Push(p, cost, i)
	}
}

// Guards against slot time being divided by demand instead of weights, and against a
// change of weights that takes effect late.
func TestQueueFollowsWeights(t *testing.T) {
	var q Queue[int]
	q.SetWeights(map[ids.Partner]uint32{"a": 3, "b": 1})
	fill(&q, "b", 1000)
	fill(&q, "a", 300)
	assert.DeepEqual(t, popAndCount(&q, 200), map[ids.Partner]int{"a": 150, "b": 50})
	q.SetWeights(map[ids.Partner]uint32{"a": 1, "b": 1})
	got := popAndCount(&q, 200)
	assert.Assert(t, got["a"] >= 99 && got["a"] <= 101, "%v", got)
}

// Guards against unused share that is lost, accumulated as credit, or later charged to
// the partner that used it.
func TestQueueRedistributesUnusedShare(t *testing.T) {
	var q Queue[int]
	q.SetWeights(map[ids.Partner]uint32{"a": 3, "b": 1})
	fill(&q, "b", 500)
	assert.DeepEqual(t, popAndCount(&q, 400), map[ids.Partner]int{"b": 400})
	fill(&q, "a", 100)
	got := popAndCount(&q, 40)
	assert.Assert(t, got["a"] >= 29 && got["a"] <= 31, "%v", got)
}

// Guards against a partner that gets more than its share because its requests run longer
// than predicted.
func TestQueueChargesActualTime(t *testing.T) {
	var q Queue[int]
	spent := map[ids.Partner]time.Duration{}
	fill(&q, "long", 2000)
	fill(&q, "short", 2000)
	for range 1000 {
		_, p, _ := q.Pop()
		actual := cost / 2
		if p == "long" {
			actual = 4 * cost
		}
		spent[p] += actual
		q.Charge(p, actual-cost)
	}
	ratio := float64(spent["long"]) / float64(spent["short"])
	assert.Assert(t, ratio > 0.97 && ratio < 1.03, "%v", ratio)
}

// Guards against items of a partner that are lost, repeated or reordered.
func TestQueueKeepsItems(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var q Queue[int]
		queued := map[ids.Partner][]int{}
		n := 0
		for i := range rapid.IntRange(1, 200).Draw(r, "steps") {
			p := ids.Partner(fmt.Sprint(rapid.IntRange(0, 4).Draw(r, "partner")))
			switch rapid.IntRange(0, 5).Draw(r, "step") {
			case 0, 1, 2:
				q.Push(p, time.Duration(rapid.IntRange(0, 100).Draw(r, "cost")), i)
				queued[p] = append(queued[p], i)
				n++
			case 3:
				item, from, ok := q.Pop()
				assert.Equal(r, ok, n > 0)
				if ok {
					assert.Equal(r, item, queued[from][0])
					queued[from] = queued[from][1:]
					n--
				}
			case 4:
				q.Charge(p, time.Duration(rapid.IntRange(-50, 50).Draw(r, "charge")))
			case 5:
				match := func(v int) bool { return v%5 == 0 }
				q.RemoveIf(match, func(v int) { assert.Assert(r, match(v)); n-- })
				for p, list := range queued {
					var rest []int
					for _, v := range list {
						if !match(v) {
							rest = append(rest, v)
						}
					}
					queued[p] = rest
				}
			}
			assert.Equal(r, q.Len(), n)
		}
	})
}

// Guards against partners that RemoveIf skips because the removal of another one reorders
// the heap.
func TestQueueRemovesFromAllPartners(t *testing.T) {
	var q Queue[int]
	for _, i := range []int{1, 9, 2, 10, 11, 3, 4} {
		q.Push(ids.Partner(fmt.Sprint(i)), time.Duration(i)*time.Second, 0)
		q.Pop()
		q.Push(ids.Partner(fmt.Sprint(i)), cost, i)
	}
	q.RemoveIf(func(int) bool { return true }, func(int) {})
	assert.Equal(t, q.Len(), 0)
}

// Guards against an allocation above the capacity or the demand, and against unused
// capacity while a partner's demand is not met.
func TestMaxMin(t *testing.T) {
	got := MaxMin(100, map[ids.Partner]float64{"a": 10, "b": 500, "c": 500}, map[ids.Partner]uint32{"a": 1, "b": 2, "c": 1})
	assert.DeepEqual(t, got, map[ids.Partner]float64{"a": 10, "b": 60, "c": 30})
	rapid.Check(t, func(r *rapid.T) {
		demand, weight := map[ids.Partner]float64{}, map[ids.Partner]uint32{}
		totalDemand := 0.0
		for i := range rapid.IntRange(0, 6).Draw(r, "partners") {
			p := ids.Partner(fmt.Sprint(i))
			demand[p] = rapid.Float64Range(0, 100).Draw(r, "demand")
			weight[p] = rapid.Uint32Range(0, 5).Draw(r, "weight")
			totalDemand += demand[p]
		}
		capacity := rapid.Float64Range(0, 300).Draw(r, "capacity")
		sum := 0.0
		for p, v := range MaxMin(capacity, demand, weight) {
			assert.Assert(r, v <= demand[p])
			sum += v
		}
		assert.Assert(r, math.Abs(sum-min(capacity, totalDemand)) < 1e-6, "%v of %v", sum, totalDemand)
	})
}

func BenchmarkPushPop(b *testing.B) {
	for _, partners := range []int{2, 100} {
		b.Run(fmt.Sprintf("partners=%d", partners), func(b *testing.B) {
			var q Queue[int]
			list := make([]ids.Partner, partners)
			for i := range list {
				list[i] = ids.Partner(fmt.Sprint("p", i))
				fill(&q, list[i], 32)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Push(list[i%partners], cost, i)
				q.Pop()
			}
		})
	}
}
