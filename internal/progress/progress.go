// Package progress bounds transfers by their progress in place of their whole
// time: a large one over a slow link may take long, and one that has gone silent
// is given up soon.
package progress

import (
	"context"
	"io"
	"time"
)

// MinRate is the rate, in bytes a second, below which a transfer is given up: half
// of a link of 1 Mbit/s.
const MinRate = 64 << 10

// Monitor ends a context when a transfer makes no progress. It is not safe for
// concurrent use.
type Monitor struct {
	pause time.Duration
	began time.Time
	moved int
	timer *time.Timer
}

// Watch returns a context that ends with context.DeadlineExceeded as its cause
// when first passes without a call of Begin, or as Begin says. stop releases its
// resources.
func Watch(parent context.Context, first time.Duration) (ctx context.Context, m *Monitor, stop func()) {
	ctx, cancel := context.WithCancelCause(parent)
	m = &Monitor{timer: time.AfterFunc(first, func() { cancel(context.DeadlineExceeded) })}
	return ctx, m, func() {
		m.timer.Stop()
		cancel(nil)
	}
}

// Begin tells that the transfer begins. From now on it may not pause for longer
// than pause, and falls behind MinRate for no longer than that.
func (m *Monitor) Begin(pause time.Duration) {
	m.pause, m.began, m.moved = pause, time.Now(), 0
	m.timer.Reset(pause)
}

// Transferred tells that n more bytes were transferred.
func (m *Monitor) Transferred(n int) {
	m.moved += n
	due := m.pause + time.Duration(m.moved)*time.Second/MinRate - time.Since(m.began)
	m.timer.Reset(max(min(m.pause, due), 0))
}

// Reader returns a reader of r that tells m what is read.
func (m *Monitor) Reader(r io.Reader) io.Reader { return &reader{r, m} }

type reader struct {
	io.Reader
	m *Monitor
}

func (r *reader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.m.Transferred(n)
	return n, err
}
