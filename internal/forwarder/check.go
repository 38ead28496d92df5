package forwarder

import (
	"context"
	"net/netip"
	"time"

	"github.com/alitto/pond/v2"

	"arbutusdock.example/arbutusdock/internal/passthrough"
	"arbutusdock.example/arbutusdock/platform"
)

const (
	// checkWorkers is the number of concurrent health checks.
	checkWorkers = 4
	// checkTimeout is the time within which the connection of a health check has to be
	// accepted, by the reference and from then on by the target. That takes one round trip,
	// about 15 ms between data centres, also while all slots of a backend server are in use.
	checkTimeout = 300 * time.Millisecond
)

// checker runs the health checks that the core requests.
type checker struct {
	pool pond.Pool
}

func newChecker(ctx context.Context) *checker {
	return &checker{pond.NewPool(checkWorkers, pond.WithContext(ctx), pond.WithQueueSize(passthrough.MaxChecks), pond.WithNonBlocking(true))}
}

// startCheck starts a health check and passes its result to the core.
func (f *Forwarder) startCheck(ctx context.Context, k passthrough.Check) {
	start := f.clock.now()
	_, ok := f.checker.pool.TrySubmit(func() {
		result := platform.CheckHealth(ctx, k, checkTimeout)
		f.metrics.checks.WithLabelValues(result.String()).Inc()
		f.submit(ctx, func() {
			f.core.ReportCheck(f.clock.now(), k, start, result)
			f.core.TakeResets(f.sendReset)
		})
	})
	if !ok {
		f.log.Warn("check-left-out", "target", k.Target) // the core requests it again at the next suspicion
	}
}

// sendReset sends a reset that is not the answer to a packet.
func (f *Forwarder) sendReset(r *passthrough.FlowReset) {
	p := &r.Packet
	f.send(platform.AppendReset(nil, p), netip.AddrPortFrom(netip.AddrFrom4(p.Flow.Caller.IP), f.settings.Listen.Port()))
	f.metrics.packets[r.Decision.Reason].Inc()
	f.logDecision(f.clock.now(), p, &r.Decision)
}
