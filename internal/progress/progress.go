// Package progress bounds data transfers by their progress instead of their total
// time: a large transfer over a slow link may take long, while one that stalls is
// aborted soon.
package progress

import (
	"context"
	"io"
	"time"
)

// MinRate is the average rate, in bytes per second, below which a transfer is aborted:
// half the rate of a 1 Mbit/s link.
const MinRate = 64 << 10

// Monitor cancels a context when a transfer makes no progress. It is not safe for
// concurrent use.
type Monitor struct {
	maxPause    time.Duration
	start       time.Time
	transferred int
	timer       *time.Timer
}

// Watch returns a context and its monitor. The context is cancelled with
// context.DeadlineExceeded as its cause when Begin is not called within first, or when
// the transfer then stalls as described at Begin. stop releases the resources.
func Watch(parent context.Context, first time.Duration) (ctx context.Context, m *Monitor, stop func()) {
	ctx, cancel := context.WithCancelCause(parent)
	m = &Monitor{timer: time.AfterFunc(first, func() { cancel(context.DeadlineExceeded) })}
	return ctx, m, func() {
		m.timer.Stop()
		cancel(nil)
	}
}

// Begin marks the start of the transfer. From now on the transfer may stall, or lag
// behind MinRate, for at most pause.
func (m *Monitor) Begin(pause time.Duration) {
	m.maxPause, m.start, m.transferred = pause, time.Now(), 0
	m.timer.Reset(pause)
}

// Transferred records that n more bytes were transferred.
func (m *Monitor) Transferred(n int) {
	m.transferred += n
	due := m.maxPause + time.Duration(m.transferred)*time.Second/MinRate - time.Since(m.start)
	m.timer.Reset(max(min(m.maxPause, due), 0))
}

// Reader returns a reader of r that records the transferred bytes in m.
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
