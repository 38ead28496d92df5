package spread

import (
	"fmt"
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

var sizes = []int{15, 29000}

func BenchmarkHome(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			tab := newTestTable(instanceNames(5), n)
			b.ReportAllocs()
			for i := uint64(0); b.Loop(); i++ {
				tab.Home("s", ids.Mix(i, 1))
			}
		})
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			f := newFixture(n)
			b.ReportAllocs()
			for i := uint64(0); b.Loop(); i++ {
				l, _ := f.pool.Acquire(f.now, f.pool.Classify(i%64), "")
				f.now = f.now.Add(time.Millisecond)
				f.pool.Release(f.now, l, i%64, Success)
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			f := newFixture(n)
			due := func(ids.Service, ids.Target, string) {}
			b.ReportAllocs()
			for b.Loop() {
				f.now = f.now.Add(10 * time.Millisecond)
				f.Tick(f.now, due)
			}
		})
	}
}

// BenchmarkSetInstances measures one instance leaving and rejoining a data centre of 500
// instances and 5,800 targets, in one service or in 1,450 services of 4 targets.
func BenchmarkSetInstances(b *testing.B) {
	for _, services := range []int{1, 1450} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			all := instanceNames(500)
			tab := NewTable(all[0], dc, 1)
			tab.SetInstances(startTime, all)
			for i := range services {
				tab.SetService(startTime, testService(ids.Service(fmt.Sprint("s", i)), 5800/services))
			}
			for b.Loop() {
				tab.SetInstances(startTime, all[:499])
				tab.SetInstances(startTime, all)
			}
		})
	}
}
