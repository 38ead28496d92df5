// Package syncbuf holds a buffer that a test reads while the code under test writes
// its log to it.
package syncbuf

import (
	"bytes"
	"sync"
)

// Buffer is a bytes.Buffer for concurrent use. The zero value is empty.
type Buffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends p. It always succeeds.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns everything that was written.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
