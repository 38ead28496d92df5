package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// maxHealthBodyBytes is the largest response body that a health endpoint may
// return.
const maxHealthBodyBytes = 4096

// healthChecker runs health checks on a worker pool.
type healthChecker struct {
	pool    pond.Pool
	client  *http.Client
	timeout time.Duration
	ctx     context.Context
	report  func(core.HealthEvent)
}

func newHealthChecker(ctx context.Context, workers int, timeout time.Duration, report func(core.HealthEvent)) *healthChecker {
	return &healthChecker{
		pool: pond.NewPool(workers, pond.WithContext(ctx), pond.WithQueueSize(8*workers), pond.WithNonBlocking(true)),
		client: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxIdleConns: 256, IdleConnTimeout: 30 * time.Second},
			// A redirect may lead to another server, whose health says nothing
			// about the target.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		timeout: timeout,
		ctx:     ctx,
		report:  report,
	}
}

// check starts a health check. It returns false when the pool's queue is full.
func (c *healthChecker) check(service ids.Service, target ids.Target, url string) bool {
	err := c.pool.Go(func() {
		start := time.Now()
		event, err := c.probe(url)
		if err != nil {
			event = core.HealthEvent{Load: -1} // an unreachable endpoint or an invalid response counts as unhealthy
		}
		event.Service, event.Target, event.Duration = service, target, time.Since(start)
		c.report(event)
	})
	return err == nil
}

func (c *healthChecker) probe(url string) (core.HealthEvent, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return core.HealthEvent{}, eris.Wrapf(err, "health check %s", url)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return core.HealthEvent{}, eris.Wrapf(err, "health check %s", url)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return core.HealthEvent{}, eris.Errorf("health check %s: status %d", url, response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxHealthBodyBytes+1))
	if err != nil || len(data) > maxHealthBodyBytes {
		return core.HealthEvent{}, eris.Errorf("health check %s: body unreadable or too large", url)
	}
	return parseHealth(data)
}

// parseHealth decodes the body of a health response (section 3.7 of the
// design). A load that is absent or out of range is reported as -1, unknown;
// the status is used all the same.
func parseHealth(data []byte) (core.HealthEvent, error) {
	var body struct {
		Status string   `json:"status"`
		Load   *float64 `json:"load"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return core.HealthEvent{}, eris.Wrap(err, "health check: decode body")
	}
	event := core.HealthEvent{Load: -1}
	switch body.Status {
	case "ok":
		event.Healthy = true
	case "draining":
		event.Healthy, event.Draining = true, true
	case "failing":
	default:
		return core.HealthEvent{}, eris.Errorf("health check: unknown status %q", body.Status)
	}
	if body.Load != nil && *body.Load >= 0 && *body.Load <= 1 {
		event.Load = *body.Load
	}
	return event, nil
}
