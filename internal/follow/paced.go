package follow

import (
	"context"
	"time"
)

// paced spaces the reads of changes from another source.
type paced struct {
	Source
	interval time.Duration
	last     time.Time // when the last read of changes began
}

// Paced returns a source that begins a read of changes at most once in an
// interval, so that changes that come close together cost one read. It is not
// safe for concurrent use.
func Paced(source Source, interval time.Duration) Source {
	return &paced{Source: source, interval: interval}
}

// ReadChanges implements Source.
func (p *paced) ReadChanges(ctx context.Context, after uint64, wait, timeout time.Duration) (Update, error) {
	pause(ctx, p.interval-time.Since(p.last))
	p.last = time.Now()
	return p.Source.ReadChanges(ctx, after, wait, timeout)
}
