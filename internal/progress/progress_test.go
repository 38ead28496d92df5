package progress

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	maxPause   = 300 * time.Millisecond
	chunkBytes = MinRate / 10 // transferred in a tenth of a second at MinRate
)

// stalled reports whether ctx was cancelled for lack of progress.
func stalled(ctx context.Context) bool { return context.Cause(ctx) == context.DeadlineExceeded }

// Guards against aborting a long transfer that makes progress, and against not aborting
// one that stops, never begins or is slower than MinRate.
func TestMonitor(t *testing.T) {
	ctx, m, stop := Watch(context.Background(), maxPause)
	defer stop()
	m.Begin(maxPause)
	for range 10 {
		time.Sleep(maxPause / 3)
		m.Transferred(chunkBytes)
	}
	assert.Assert(t, !stalled(ctx), "it moved on")
	time.Sleep(2 * maxPause)
	assert.Assert(t, stalled(ctx), "it has stopped")

	never, _, stop := Watch(context.Background(), maxPause)
	defer stop()
	time.Sleep(2 * maxPause)
	assert.Assert(t, stalled(never), "it has not begun")

	trickle, m, stop := Watch(context.Background(), maxPause)
	defer stop()
	m.Begin(maxPause)
	for range 10 {
		time.Sleep(maxPause / 3)
		m.Transferred(1)
	}
	assert.Assert(t, stalled(trickle), "it trickles")
}
