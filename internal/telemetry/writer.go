package telemetry

import (
	"io"
	"sync"

	"arbutusdock.example/arbutusdock/internal/ring"
)

// AsyncWriter passes lines to another writer in a goroutine of its own, so that a
// standard stream that nobody reads cannot block the caller. Lines that do not
// fit in its ring are dropped and counted.
type AsyncWriter struct {
	lines *ring.Ring[[]byte]
	stop  chan struct{}
	once  sync.Once
	done  chan struct{}
}

// NewAsyncWriter returns a writer to w with room for capacity lines. Close ends it.
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
			_, _ = w.Write(line) // there is no place to report a failed log write
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

// Write queues a copy of p. It always succeeds.
func (a *AsyncWriter) Write(p []byte) (int, error) {
	a.lines.Push(append([]byte(nil), p...))
	return len(p), nil
}

// Stats returns the counters of the ring.
func (a *AsyncWriter) Stats() ring.Stats { return a.lines.Stats() }

// Close writes the lines that are queued. Later lines are lost.
func (a *AsyncWriter) Close() {
	a.once.Do(func() { close(a.stop) })
	<-a.done
}
