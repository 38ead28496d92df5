package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/documents"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/ring"
)

// listInterval is the mean interval between reads of the platform's instance
// list, with a jitter of up to 50% in both directions. 2,500 instances at this
// interval cause 250 reads per second, an eighth of the platform's limit.
const listInterval = 10 * time.Second

// readRequest is a request of the core to read documents from the platform.
type readRequest struct {
	after ids.Revision
	watch bool
}

// platformWatcher reads documents and the instance list from the platform, each
// in its own goroutine, and passes the results to the core.
type platformWatcher struct {
	client    *documents.Client
	requests  *ring.Ring[readRequest]
	pushEvent func(controlEvent) // blocks until the event is queued or the daemon stops
	log       *slog.Logger
}

// watchDocuments executes the read requests of the core, one at a time.
func (w *platformWatcher) watchDocuments(ctx context.Context) {
	failing, behind := false, false
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-w.requests.Out():
			page, err := w.client.Documents(ctx, request.after, request.watch)
			if ctx.Err() != nil {
				return
			}
			// Only changes of state are logged, so that a long outage of the
			// platform does not fill the log.
			switch {
			case err != nil && !failing:
				w.log.Warn("platform-read-failed", "after", request.after, "error", err)
			case err == nil && failing:
				w.log.Info("platform-read-recovered", "upto", page.UpToRevision)
			}
			failing = err != nil
			// A platform that was restored from an older copy must continue above the
			// revisions that it gave out; until then its changes have no effect.
			if wasBehind := behind; err == nil {
				behind = page.UpToRevision < request.after
				switch {
				case behind && !wasBehind:
					w.log.Warn("platform-behind", "upto", page.UpToRevision, "known", request.after)
				case !behind && wasBehind:
					w.log.Info("platform-caught-up", "upto", page.UpToRevision)
				}
			}
			w.pushEvent(controlEvent{config: &core.ConfigEvent{Documents: page.Documents, Revision: page.UpToRevision, Err: err}})
		}
	}
}

// pollInstances reads the instance list at intervals.
func (w *platformWatcher) pollInstances(ctx context.Context) {
	failing := false
	for {
		list, invalid, err := w.client.Instances(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			w.pushEvent(controlEvent{instances: &core.InstancesEvent{Instances: list}})
			if failing {
				w.log.Info("platform-list-recovered", "instances", len(list))
			}
		case !failing:
			w.log.Warn("platform-list-failed", "error", err)
		}
		if invalid > 0 {
			w.log.Warn("platform-list-invalid-entries", "entries", invalid)
		}
		failing = err != nil
		timer := time.NewTimer(listInterval/2 + rand.N(listInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}
