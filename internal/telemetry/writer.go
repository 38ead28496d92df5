package telemetry

import (
	"io"
	"sync"

	"arbutusdock.example/arbutusdock/internal/ring"
)

// AsyncWriter writes lines to another writer in a separate goroutine, so that a
// standard stream that is not being read cannot block the code that logs. Lines
// that do not fit in its ring buffer are dropped and counted.
type AsyncWriter struct {
	lines *ring.Ring[[]byte]
	stop  chan struct{}
	once  sync.Once
	done  chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to w and buffers up to
// capacity lines. Close stops its goroutine.
func NewAsyncWriter(w io.Writer, capacity int) *AsyncWriter {
	a := &AsyncWriter{lines: ring.New[[]byte](capacity), stop: make(chan struct{}), done: make(chan struct{})}
	go a.run(w)
	return a
}

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines.Out():
			_, _ = w.Write(line) // a failed log write cannot be reported anywhere
			continue
		default:
		}
		select {
		case line := <-a.lines.Out():
			_, _ = w.Write(line)
		case <-a.stop:
			for a.lines.Stats().Depth > 0 {
				_, _ = w.Write(<-a.lines.Out())
			}
			return
		}
	}
}

// Write queues a copy of p, or drops it if the buffer is full. It never fails.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	a.lines.Push(append([]byte(nil), p...))
	return len(p), nil
}

// Stats returns the counters of the ring buffer.
func (a *AsyncWriter) Stats() ring.Stats { return a.lines.Stats() }

// Close writes the queued lines and stops the goroutine. Lines passed to Write
// afterwards are lost.
func (a *AsyncWriter) Close() {
	a.once.Do(func() { close(a.stop) })
	<-a.done
}
