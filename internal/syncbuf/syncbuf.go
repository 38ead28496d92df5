// Package syncbuf provides a buffer for tests, which can read it while the code
// under test writes its log to it.
package syncbuf

import (
	"bytes"
	"sync"
)

// Buffer is a bytes.Buffer that is safe for concurrent use. The zero value is an
// empty buffer.
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

// String returns all data written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
