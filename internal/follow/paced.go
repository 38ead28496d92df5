package follow

import (
	"context"
	"time"
)

// paced limits the rate of reads of changes from another source.
type paced struct {
	Source
	interval time.Duration
	lastRead time.Time // start of the last read of changes
}

// Paced returns a source that starts at most one read of changes per interval, so that
// changes in quick succession are read together. It is not safe for concurrent use.
func Paced(source Source, interval time.Duration) Source {
	return &paced{Source: source, interval: interval}
}

// ReadChanges implements Source.
func (p *paced) ReadChanges(ctx context.Context, after Position, wait, timeout time.Duration) (Update, error) {
	sleep(ctx, p.interval-time.Since(p.lastRead))
	p.lastRead = time.Now()
	return p.Source.ReadChanges(ctx, after, wait, timeout)
}
