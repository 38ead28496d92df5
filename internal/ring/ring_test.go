package ring

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a full ring that blocks the producer or counts wrongly.
func TestFullRingDropsNewest(t *testing.T) {
	r := New[int](2)
	assert.Assert(t, r.Push(1) && r.Push(2) && !r.Push(3))
	assert.DeepEqual(t, r.Stats(), Stats{Depth: 2, Peak: 2, Capacity: 2, Pushed: 2, Dropped: 1})
	assert.Equal(t, <-r.Out(), 1)
	assert.Equal(t, <-r.Out(), 2)
}

// Guards against entries that are lost or counted twice when several producers
// push concurrently.
func TestConcurrentProducers(t *testing.T) {
	r := New[int](64)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := range 1000 {
				r.Push(i)
			}
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	received := uint64(0)
	for {
		select {
		case <-r.Out():
			received++
			continue
		case <-done:
		}
		break
	}
	s := r.Stats()
	assert.Equal(t, s.Pushed+s.Dropped, uint64(8000))
	assert.Equal(t, received+uint64(s.Depth), s.Pushed)
}

func BenchmarkPushPop(b *testing.B) {
	r := New[*int](1024)
	for b.Loop() {
		r.Push(nil)
		<-r.Out()
	}
}
