package progress

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	pause = 300 * time.Millisecond
	piece = MinRate / 10 // a tenth of a second's worth
)

// ended reports whether ctx has ended for want of progress.
func ended(ctx context.Context) bool { return context.Cause(ctx) == context.DeadlineExceeded }

// Guards against a transfer that is given up although it moves on, however long it
// takes, and against one that is not given up when it stops, never begins or
// trickles.
func TestMonitor(t *testing.T) {
	ctx, m, stop := Watch(context.Background(), pause)
	defer stop()
	m.Begin(pause)
	for range 10 {
		time.Sleep(pause / 3)
		m.Transferred(piece)
	}
	assert.Assert(t, !ended(ctx), "it moved on")
	time.Sleep(2 * pause)
	assert.Assert(t, ended(ctx), "it has stopped")

	never, _, stop := Watch(context.Background(), pause)
	defer stop()
	time.Sleep(2 * pause)
	assert.Assert(t, ended(never), "it has not begun")

	trickle, m, stop := Watch(context.Background(), pause)
	defer stop()
	m.Begin(pause)
	for range 10 {
		time.Sleep(pause / 3)
		m.Transferred(1)
	}
	assert.Assert(t, ended(trickle), "it trickles")
}
