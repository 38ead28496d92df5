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

// listEvery is the interval between reads of the platform's list of instances,
// jittered by half. 2,500 instances at this interval cause 250 reads a second,
// an eighth of the platform's limit.
const listEvery = 10 * time.Second

// watchRequest is a read of the platform that the core asked for.
type watchRequest struct {
	after ids.Revision
	watch bool
}

// watcher reads the platform for the core. A goroutine each serves documents
// and the list of instances.
type watcher struct {
	client   *documents.Client
	requests *ring.Ring[watchRequest]
	emit     func(event) // blocks until the core takes the event or the daemon ends
	log      *slog.Logger
}

// documents runs the reads that the core asks for, one at a time.
func (w *watcher) documents(ctx context.Context) {
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-w.requests.Out():
			page, err := w.client.Documents(ctx, r.after, r.watch)
			if ctx.Err() != nil {
				return
			}
			// One line for each change of state: a platform that is down for
			// long would fill the log otherwise.
			switch {
			case err != nil && !failing:
				w.log.Warn("platform-read-failed", "after", r.after, "error", err)
			case err == nil && failing:
				w.log.Info("platform-read-recovered", "upto", page.UpToRevision)
			}
			failing = err != nil
			w.emit(event{config: &core.ConfigEvent{Documents: page.Documents, Revision: page.UpToRevision, Err: err}})
		}
	}
}

// instances reads the list of instances at intervals.
func (w *watcher) instances(ctx context.Context) {
	failing := false
	for {
		list, invalid, err := w.client.Instances(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			w.emit(event{instances: &core.InstancesEvent{Instances: list}})
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
		timer := time.NewTimer(listEvery/2 + rand.N(listEvery))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}
