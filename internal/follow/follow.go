// Package follow keeps up with what operators and backend servers publish: it
// reads everything once, then the changes, and again everything when the
// history of the changes is lost. It bounds each read, so that a connection
// that has gone silent delays news by a known time.
package follow

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/passthrough"
)

// ErrHistoryLost is the error of a source that no longer has the changes after
// the revision asked for, or too many to deliver.
var ErrHistoryLost = eris.New("history of changes is lost")

// Target is the record of a target or its removal.
type Target struct {
	Name     string `cbor:"1,keyasint,omitempty"`
	Revision uint64 `cbor:"2,keyasint,omitempty"` // of its last change
	Removed  bool   `cbor:"3,keyasint,omitempty"`
	// Unreadable tells that the record of a removed target was replaced by
	// something else; the target may be alive.
	Unreadable bool                     `cbor:"4,keyasint,omitempty"`
	Record     passthrough.TargetRecord `cbor:"5,keyasint,omitempty"`
}

// InvalidEntry is an entry that could not be read.
type InvalidEntry struct {
	Key      string
	Revision uint64
	Err      error
}

// Update is what one read returned.
type Update struct {
	Complete bool                `cbor:"1,keyasint,omitempty"` // everything that is published, not only changes
	Revision uint64              `cbor:"2,keyasint,omitempty"` // up to which it is known
	Config   *passthrough.Config `cbor:"3,keyasint,omitempty"`
	Targets  []*Target           `cbor:"4,keyasint,omitempty"` // in the order of their changes; shared, never changed
	Invalid  []InvalidEntry      `cbor:"-"`                    // logged where it was read
	// Age is the time since the source itself was known to be complete.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
	// More tells that the rest of the update follows; only its targets are set.
	More bool `cbor:"8,keyasint,omitempty"`
	// ConfigDelta is set in place of Config by a source that knows what the
	// reader has. The reader's state turns it into Config.
	ConfigDelta *ConfigDelta `cbor:"7,keyasint,omitempty"`
	// AfterOutage is set by the Follower: the source answers for the first time
	// after it failed.
	AfterOutage bool `cbor:"6,keyasint,omitempty"`
}

// ConfigDelta tells how a version of the configuration differs from an earlier
// one, which need not be the one just before.
type ConfigDelta struct {
	Version     uint64                 `cbor:"1,keyasint"`
	Base        uint64                 `cbor:"6,keyasint"` // version from which it differs
	IdleTimeout time.Duration          `cbor:"2,keyasint,omitempty"`
	Health      map[ids.Service]string `cbor:"3,keyasint,omitempty"`
	Routes      []passthrough.Route    `cbor:"4,keyasint,omitempty"` // new or changed
	Removed     []passthrough.Endpoint `cbor:"5,keyasint,omitempty"`
}

// Source is where publications are read. Each call returns when timeout has passed
// without a response, or when a response makes no progress.
type Source interface {
	// ReadAll reads everything that is published.
	ReadAll(ctx context.Context, timeout time.Duration) (Update, error)
	// ReadChanges reads the changes after a revision and waits for one for at
	// most wait. Its error is ErrHistoryLost when they are not available.
	ReadChanges(ctx context.Context, after uint64, wait, timeout time.Duration) (Update, error)
}

// Timing of the reads.
type Timing struct {
	Wait    time.Duration // for which a read of changes waits
	Timeout time.Duration // allowed beyond Wait, and for a full read
	// Interval is the least time between two reads of changes by a Paced source.
	Interval time.Duration
	// RetryMin and RetryMax bound the pause after a failed read.
	RetryMin, RetryMax time.Duration
}

// waitShare and slackShare are parts of the time within which a publication
// must be in force. Their sum leaves a third for a new connection and a read.
const (
	waitShare  = 0.45
	slackShare = 0.2
)

// TimingFor returns the timing with which a publication is in force within
// apply, also when the connection in use has gone silent.
func TimingFor(apply time.Duration) Timing {
	return Timing{
		Wait:     time.Duration(float64(apply) * waitShare),
		Timeout:  time.Duration(float64(apply) * slackShare),
		Interval: 400 * time.Millisecond,
		RetryMin: 100 * time.Millisecond,
		RetryMax: 400 * time.Millisecond,
	}
}

// Follower reads from a source until its context ends.
type Follower struct {
	source   Source
	timing   Timing
	deliver  func(Update)
	log      *slog.Logger
	revision uint64
	synced   bool
	failures int
	since    time.Time // start of the present outage
	seen     map[string]uint64
}

// New returns a follower that passes each update to deliver, which may block.
func New(source Source, timing Timing, deliver func(Update), log *slog.Logger) *Follower {
	return &Follower{source: source, timing: timing, deliver: deliver, log: log, seen: map[string]uint64{}}
}

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		update, err := f.read(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		f.succeeded(&update)
	}
}

func (f *Follower) read(ctx context.Context) (Update, error) {
	if !f.synced {
		return f.source.ReadAll(ctx, f.timing.Timeout)
	}
	wait := f.timing.Wait
	if f.failures > 0 {
		wait = 0 // the end of an outage is noticed without waiting for a change
	}
	return f.source.ReadChanges(ctx, f.revision, wait, wait+f.timing.Timeout)
}

func (f *Follower) failed(ctx context.Context, err error) {
	if errors.Is(err, ErrHistoryLost) {
		f.log.Warn("platform-history-lost", "revision", f.revision, "error", err)
		f.synced = false
		return
	}
	if f.failures == 0 {
		f.since = time.Now()
		f.log.Warn("platform-lost", "revision", f.revision, "error", err)
	}
	f.failures++
	d := min(f.timing.RetryMin<<min(f.failures-1, 8), f.timing.RetryMax)
	// Instances that failed together do not retry together.
	pause(ctx, d/2+time.Duration(rand.Int64N(int64(d))))
}

func (f *Follower) succeeded(u *Update) {
	if f.failures > 0 {
		f.log.Info("platform-regained", "revision", u.Revision, "failures", f.failures, "outage", time.Since(f.since))
		u.AfterOutage = true
	}
	f.failures = 0
	for _, i := range u.Invalid {
		f.log.Warn("entry-invalid", "key", i.Key, "revision", i.Revision, "error", i.Err)
	}
	u.Targets = f.newer(u)
	f.synced = true
	f.revision = u.Revision
	f.deliver(*u)
}

// newer returns the targets of u without those that are older than what is
// known: the pages of a full read and the changes after it overlap.
func (f *Follower) newer(u *Update) []*Target {
	if u.Complete {
		clear(f.seen)
	}
	kept := u.Targets[:0]
	for _, t := range u.Targets {
		if t.Revision >= f.seen[t.Name] {
			f.seen[t.Name] = t.Revision
			kept = append(kept, t)
		}
	}
	return kept
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
