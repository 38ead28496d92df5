package forwarder

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"

	"arbutusdock.example/arbutusdock/internal/passthrough"
	"arbutusdock.example/arbutusdock/platform"
)

const (
	// checkWorkers is the number of concurrent health checks.
	checkWorkers = 4
	// checkTimeout bounds a health check. A backend server answers in about
	// 1 ms, behind a full queue in about 150 ms.
	checkTimeout = 300 * time.Millisecond
)

// checker carries out the health checks that the core asks for.
type checker struct {
	pool pond.Pool
}

func newChecker(ctx context.Context) *checker {
	return &checker{pond.NewPool(checkWorkers, pond.WithContext(ctx), pond.WithQueueSize(passthrough.MaxChecks), pond.WithNonBlocking(true))}
}

// check starts a check and hands its outcome to the core.
func (f *Forwarder) check(ctx context.Context, k passthrough.Check) {
	began := f.clock.now()
	_, ok := f.checker.pool.TrySubmit(func() {
		result := platform.CheckHealth(ctx, k, checkTimeout)
		f.metrics.checks.WithLabelValues(result.String()).Inc()
		f.run(ctx, func() { f.core.ReportCheck(f.clock.now(), k, began, result) })
	})
	if !ok {
		f.log.Warn("check-left-out", "target", k.Target) // the next suspicion asks again
	}
}
