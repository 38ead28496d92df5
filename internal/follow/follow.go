// Package follow keeps a reader up to date with the configuration and the target
// records that operators and backend servers publish. It performs one full read, then
// reads the changes, and repeats the full read when the history of changes is lost.
// Each read is bounded in time, so that an unresponsive connection delays an update by
// a known time.
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

// ErrHistoryLost is returned by a source that no longer has the changes after the
// requested revision, or has too many of them for one response.
var ErrHistoryLost = eris.New("history of changes is lost")

// ErrRestored is returned by a source that was restored from an older copy since the
// requested position. Its changes do not follow that position.
var ErrRestored = eris.New("source was restored from an older copy")

// ErrOutdated is returned for a response of an earlier era than one already seen, or
// for a full state that lies behind in the same era.
var ErrOutdated = eris.New("response is older than what is known")

// Target is the published record of a backend server, or its removal. Small fields stand
// together: an instance keeps up to 29,000 of them, of 128 bytes each.
type Target struct {
	Name     string `cbor:"1,keyasint,omitempty"`
	Revision uint64 `cbor:"2,keyasint,omitempty"` // revision of its last change
	Removed  bool   `cbor:"3,keyasint,omitempty"`
	// Unreadable is set, together with Removed, when the entry of the backend server
	// exists but cannot be decoded. The server may be alive.
	Unreadable bool `cbor:"4,keyasint,omitempty"`
	// Held is set when Record, or Removed, is what was known before a restore of the
	// platform and not what is published. A held target that is removed has its last
	// known Record.
	Held   HoldReason               `cbor:"6,keyasint,omitempty"`
	Record passthrough.TargetRecord `cbor:"5,keyasint,omitempty"`
}

// InvalidEntry is a published entry that could not be decoded.
type InvalidEntry struct {
	Key      string
	Revision uint64
	Err      error
}

// Update is the result of one read.
type Update struct {
	Complete bool                `cbor:"1,keyasint,omitempty"` // a full read, not only changes
	Era      uint64              `cbor:"9,keyasint,omitempty"` // era of Revision; 0: not known
	Revision uint64              `cbor:"2,keyasint,omitempty"` // revision up to which the update is complete
	Config   *passthrough.Config `cbor:"3,keyasint,omitempty"`
	Targets  []*Target           `cbor:"4,keyasint,omitempty"` // in the order of their changes; shared, must not be modified
	// Overridden are the published records of the held targets of a full state to deliver.
	// Between instances both stand in Targets.
	Overridden []*Target      `cbor:"-"`
	Invalid    []InvalidEntry `cbor:"-"` // entries that could not be decoded; logged by the instance that read them
	// Age is the time since the state of the source was last confirmed to be up to
	// date.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
	// CurrentAt is a time, by the steady clock of this instance, at which the state that the
	// update leads to was the current one: it lacks nothing that was published before. It is
	// zero if no such time is known. Unlike Age, it does not count on a short transfer.
	CurrentAt time.Time `cbor:"-"`
	// SentAt and Lag tell a follower CurrentAt: the time on the steady clock of the sender
	// when it composed the update, 0 in the former release, and how long before that its
	// state was the current one, 0 if that is not known. In milliseconds, rounded towards
	// an earlier CurrentAt, since each heartbeat has both.
	SentAt uint64 `cbor:"14,keyasint,omitempty"`
	Lag    uint64 `cbor:"15,keyasint,omitempty"`
	// EraAge is the time since the era began, 0 if its begin was not observed.
	EraAge time.Duration `cbor:"10,keyasint,omitempty"`
	// Path identifies the instances through which the update came, the nearest first, by
	// 32-bit hashes of their IDs. An instance does not follow one that follows it.
	Path []uint32 `cbor:"11,keyasint,omitempty"`
	// Compressed is the whole update, encoded and compressed, in a message that has no
	// other field.
	Compressed []byte `cbor:"12,keyasint,omitempty"`
	// Direct is set on an update that was read from the platform.
	Direct bool `cbor:"-"`
	// Before is the full state of another instance, which may know what the platform
	// lost in a restore; nil if there is none.
	Before *Update `cbor:"-"`
	// Restored is set by the Reconciler on the first update of a new era.
	Restored bool `cbor:"-"`
	// More is set when further messages of the same update follow. Such a message
	// contains only targets.
	More bool `cbor:"8,keyasint,omitempty"`
	// ConfigDelta is set instead of Config by a source that has the reader's version
	// of the configuration. The reader computes Config from it.
	ConfigDelta *ConfigDelta `cbor:"7,keyasint,omitempty"`
	// AfterOutage is set by the Follower on the first successful read after a failed
	// one.
	AfterOutage bool `cbor:"6,keyasint,omitempty"`
	// Evacuations are all evacuations in force, or nil if they have not changed. A full
	// state without them comes from an instance of a former release, which ignores them.
	Evacuations *Evacuations `cbor:"13,keyasint,omitempty"`
	// EvacuationChanges are the changes that the platform reports, in order. The
	// Reconciler replaces them by Evacuations.
	EvacuationChanges []EvacuationChange `cbor:"-"`
	// FormerRelease is set on a full state of an instance of a former release. It lacks
	// what that release does not know.
	FormerRelease bool `cbor:"-"`
}

// Position returns the position up to which u is complete.
func (u *Update) Position() Position { return Position{u.Era, u.Revision} }

// ConfigDelta is the difference between a version of the configuration and an earlier
// one, which need not be the previous version.
type ConfigDelta struct {
	Version     uint64                                `cbor:"1,keyasint"`
	Base        uint64                                `cbor:"6,keyasint"` // version to which the delta applies
	IdleTimeout time.Duration                         `cbor:"2,keyasint,omitempty"`
	Health      map[ids.Service]string                `cbor:"3,keyasint,omitempty"`
	Routes      []passthrough.Route                   `cbor:"4,keyasint,omitempty"` // new or changed
	Removed     []passthrough.Endpoint                `cbor:"5,keyasint,omitempty"` // addresses of the removed routes
	ColdStarts  map[ids.Service]passthrough.ColdStart `cbor:"7,keyasint,omitempty"`
}

// Source provides the published configuration and target records. Each call fails when
// no response begins within timeout, or when the transfer of a response stalls.
type Source interface {
	// ReadAll reads the complete configuration and all target records.
	ReadAll(ctx context.Context, timeout time.Duration) (Update, error)
	// ReadChanges reads the changes after a position. If there are none, it waits for
	// one for at most wait. The error is ErrHistoryLost when the changes are not
	// available, and ErrRestored when a new era has begun.
	ReadChanges(ctx context.Context, after Position, wait, timeout time.Duration) (Update, error)
}

// Timing holds the timing parameters of the reads.
type Timing struct {
	Wait    time.Duration // maximum time for which a read of changes waits for a change
	Timeout time.Duration // time allowed for a full read, or for a read of changes in addition to Wait
	// Interval is the minimum time between two reads of changes by a Paced source.
	Interval time.Duration
	// RetryMin and RetryMax bound the delay before the retry of a failed read.
	RetryMin, RetryMax time.Duration
}

// waitShare and timeoutShare are fractions of the time within which a published change
// must be in force. Together they leave a third for a new connection and a read.
const (
	waitShare    = 0.45
	timeoutShare = 0.2
)

// TimingFor returns the timing with which a published change is in force within apply,
// even if the connection in use has become unresponsive.
func TimingFor(apply time.Duration) Timing {
	return Timing{
		Wait:     time.Duration(float64(apply) * waitShare),
		Timeout:  time.Duration(float64(apply) * timeoutShare),
		Interval: 400 * time.Millisecond,
		RetryMin: 100 * time.Millisecond,
		RetryMax: 400 * time.Millisecond,
	}
}

// Follower reads from a source continuously and delivers the updates.
type Follower struct {
	source      Source
	timing      Timing
	deliver     func(Update)
	log         *slog.Logger
	reconciler  *Reconciler
	synced      bool      // a full read has succeeded and its history is still available
	confirmedAt time.Time // when what is known was last confirmed to be up to date
	failures    int
	outageStart time.Time
}

// New returns a follower that passes each update to deliver. deliver may block.
func New(source Source, timing Timing, deliver func(Update), log *slog.Logger) *Follower {
	return &Follower{source: source, timing: timing, deliver: deliver, log: log, reconciler: NewReconciler()}
}

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.expire()
		update, err := f.read(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.handleFailure(ctx, err)
			continue
		}
		f.handleUpdate(ctx, &update)
	}
}

// expire delivers the removals that are due because of a restore.
func (f *Follower) expire() {
	if u := f.reconciler.Expire(time.Now()); u != nil {
		u.Age = time.Since(f.confirmedAt)
		f.log.Warn("restored-targets-expired", "targets", len(u.Targets), "era", u.Era, "revision", u.Revision)
		f.deliver(*u)
	}
}

func (f *Follower) read(ctx context.Context) (Update, error) {
	if !f.synced {
		return f.source.ReadAll(ctx, f.timing.Timeout)
	}
	wait := f.timing.Wait
	if due, ok := f.reconciler.NextExpiry(time.Now()); ok {
		wait = min(wait, due)
	}
	if due, ok := f.reconciler.NextRelease(time.Now()); ok {
		wait = min(wait, due)
	}
	if f.failures > 0 {
		wait = 0 // detect the end of an outage without waiting for a change
	}
	return f.source.ReadChanges(ctx, f.reconciler.Position(), wait, wait+f.timing.Timeout)
}

func (f *Follower) handleFailure(ctx context.Context, err error) {
	at := f.reconciler.Position()
	if errors.Is(err, ErrHistoryLost) || errors.Is(err, ErrRestored) {
		f.log.Warn("platform-history-lost", "era", at.Era, "revision", at.Revision, "error", err)
		f.synced = false
		return
	}
	if f.failures == 0 {
		f.outageStart = time.Now()
		f.log.Warn("platform-lost", "era", at.Era, "revision", at.Revision, "error", err)
	}
	f.failures++
	delay := min(f.timing.RetryMin<<min(f.failures-1, 8), f.timing.RetryMax)
	// The jitter keeps instances that failed together from retrying together.
	sleep(ctx, delay/2+time.Duration(rand.Int64N(int64(delay))))
}

func (f *Follower) handleUpdate(ctx context.Context, u *Update) {
	before, held := f.reconciler.Position(), f.reconciler.Held()
	if !f.reconciler.Apply(time.Now(), u) {
		f.handleFailure(ctx, eris.Wrapf(ErrOutdated, "era %d, revision %d, expected at least %d, %d", u.Era, u.Revision, before.Era, before.Revision))
		return
	}
	if f.failures > 0 {
		f.log.Info("platform-regained", "era", u.Era, "revision", u.Revision, "failures", f.failures, "outage", time.Since(f.outageStart))
		u.AfterOutage = true
	}
	f.failures = 0
	if u.Restored {
		f.log.Warn("platform-restored", "old_era", before.Era, "old_revision", before.Revision, "era", u.Era, "revision", u.Revision,
			"held_targets", f.reconciler.Held())
	}
	if held > 0 && f.reconciler.Held() == 0 {
		f.log.Info("platform-records-in-force", "released_targets", held, "era", u.Era, "revision", u.Revision)
	}
	for _, i := range u.Invalid {
		f.log.Warn("entry-invalid", "key", i.Key, "revision", i.Revision, "error", i.Err)
	}
	f.synced, f.confirmedAt = !u.FormerRelease, time.Now().Add(-u.Age)
	f.deliver(*u)
	if u.FormerRelease {
		sleep(ctx, f.timing.RetryMax) // before the next full read, which may say more
	}
}

func sleep(ctx context.Context, d time.Duration) {
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
