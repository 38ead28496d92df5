package follow

import (
	"cmp"
	"time"

	"arbutusdock.example/arbutusdock/internal/passthrough"
)

const (
	// rewriteTime is the time after a restore within which a live target has published
	// its record again.
	rewriteTime = 2 * time.Second
	// rereadDelay is the time after a restore at which all records are read again.
	// Targets that the restored copy lists although they were known to be gone have
	// published at least once more by then if they are alive: a record in which only
	// the number of writes differs causes no change event.
	rereadDelay = rewriteTime + time.Second
	// settleTime is the time after a restore from which records are taken as current: they
	// have been read again by then.
	settleTime = rereadDelay + 2*time.Second
	// RemovalMemory is the time for which a removed target is remembered. It exceeds
	// the age of a copy from which the platform may be restored.
	RemovalMemory = 60 * time.Second
)

// HoldReason says why a target is delivered with a record other than the published one.
type HoldReason uint8

// Reasons to hold a record.
const (
	NotHeld     HoldReason = iota
	HeldMissing            // the restored copy does not have the record yet
	HeldNewer              // the restored copy has an older record
)

// Reconciler merges what is read with what is known. Within an era, revisions order the
// records. A restore takes the platform back in time, which is no news about a target:
//
//   - A record in the restored copy replaces a known one only if the target itself
//     published it later, by its start time and its number of writes.
//   - A target known to be gone stays gone until it publishes again or under another name.
//   - A known target without a record keeps its record for rewriteTime.
//   - The version of the configuration never decreases.
//   - An evacuation that the copy lacks stays in force for rewriteTime.
//
// Reconciler performs no I/O and reads no clock. It is not safe for concurrent use.
type Reconciler struct {
	position      Position
	configVersion uint64
	configPartial bool // it came from an instance of a former release
	known         map[string]knowledge
	copied        map[string]write // writes that the restored copy has of targets known to be gone
	removals      []removal        // in order of time
	eraBegan      time.Time        // zero in the era in which the reconciler started
	missing       int              // targets held as HeldMissing
	lists         uint32           // number of full lists applied
	rereadDue     bool             // a held record can be resolved only by another full read
	evacuations   []passthrough.Evacuation
	// evacuationsKnown is set once a full state has told the evacuations, which may be none.
	evacuationsKnown bool
}

// knowledge is what is known about one target.
type knowledge struct {
	target *Target // as last delivered; with the last known record if it is removed
	list   uint32  // number of the last full list that had the target
}

// lastWrite returns the latest write by the target itself that is known.
func (k *knowledge) lastWrite() write { return writeOf(k.target) }

type removal struct {
	name string
	at   time.Time
}

// write identifies one write of a target: the start of its incarnation and the number
// of writes since then.
type write struct{ startedAt, seq int64 }

func writeOf(t *Target) write { return write{t.Record.StartedAt, t.Record.Seq} }

// after reports whether w is later than o.
func (w write) after(o write) bool {
	return w.startedAt > o.startedAt || w.startedAt == o.startedAt && w.seq > o.seq
}

// NewReconciler returns a reconciler that knows nothing.
func NewReconciler() *Reconciler {
	return &Reconciler{known: map[string]knowledge{}, copied: map[string]write{}}
}

// Position returns the position of the last update.
func (r *Reconciler) Position() Position { return r.position }

// Held returns the number of targets whose published record is not used.
func (r *Reconciler) Held() (n int) {
	for _, k := range r.known {
		if k.target.Held != NotHeld {
			n++
		}
	}
	return n
}

// Apply changes an update into the one to deliver. It returns false, and u must be
// discarded, if u belongs to an earlier era than the one already seen, or is a full state
// that lies behind in the same era.
func (r *Reconciler) Apply(now time.Time, u *Update) bool {
	if !r.apply(now, u) {
		return false
	}
	if u.Before != nil {
		learned := *u.Before
		r.learn(now, &learned)
		learned.Config = cmp.Or(learned.Config, u.Config)
		learned.Restored = learned.Restored || u.Restored
		learned.Invalid, learned.Direct, learned.Age, learned.Path = u.Invalid, u.Direct, u.Age, u.Path
		learned.CurrentAt = u.CurrentAt
		*u = learned
	}
	if !r.settled(now) {
		u.CurrentAt = time.Time{} // what is held may turn out to be outdated
	}
	return true
}

// settled reports whether all that was published before a restore has been published again,
// or is known to be gone.
func (r *Reconciler) settled(now time.Time) bool {
	return r.eraBegan.IsZero() || now.Sub(r.eraBegan) >= settleTime
}

func (r *Reconciler) apply(now time.Time, u *Update) bool {
	if u.Era == 0 {
		u.Era = r.position.Era
	}
	if u.Era < r.position.Era || u.Complete && u.Era != 0 && u.Position().Compare(r.position) < 0 {
		return false
	}
	u.Restored = r.position.Era != 0 && u.Era > r.position.Era
	if u.Restored {
		r.eraBegan = now.Add(-u.EraAge)
		r.rereadDue = false
		clear(r.copied)
	} else if u.EraAge > 0 && r.eraBegan.IsZero() {
		r.eraBegan = now.Add(-u.EraAge)
	}
	if !r.eraBegan.IsZero() {
		u.EraAge = max(now.Sub(r.eraBegan), 1)
	}
	r.applyConfig(u)
	r.applyEvacuations(now, u)
	r.forgetRemovals(now)
	if u.Complete {
		r.applyComplete(now, u)
	} else {
		r.applyChanges(now, u)
	}
	r.position = u.Position()
	return true
}

// learn takes in the full state u of another instance, which may know what the platform
// lost before the position of r: the result is as if r had known u first. It changes u
// into the full state to deliver.
func (r *Reconciler) learn(now time.Time, u *Update) {
	if u.Position().Compare(r.position) > 0 {
		r.apply(now, u)
		return
	}
	own := Update{Complete: true, Era: r.position.Era, Revision: r.position.Revision, Evacuations: &Evacuations{r.evacuations}}
	for _, k := range r.known {
		t := k.target
		if t.Removed && !t.Unreadable && t.Held == NotHeld {
			gone := *t // not in the list that r has read, but must not be forgotten
			gone.Held = HeldNewer
			t = &gone
		}
		own.Targets = append(own.Targets, t)
	}
	if u.Config != nil && u.Config.Version > r.configVersion {
		own.Config = u.Config
	}
	merged := NewReconciler()
	u.Config = nil
	merged.apply(now, u)
	merged.configVersion, merged.configPartial = r.configVersion, r.configPartial
	merged.apply(now, &own)
	*r, *u = *merged, own
}

// applyConfig removes a configuration that is not newer than the known one from u.
func (r *Reconciler) applyConfig(u *Update) {
	if u.Config != nil && (u.Config.Version < r.configVersion || u.Config.Version == r.configVersion && (!r.configPartial || u.Config.Partial)) {
		u.Config = nil
	}
	if u.ConfigDelta != nil && u.ConfigDelta.Version <= r.configVersion {
		u.ConfigDelta = nil
	}
	switch {
	case u.Config != nil:
		r.configVersion, r.configPartial = u.Config.Version, u.Config.Partial
	case u.ConfigDelta != nil:
		r.configVersion = u.ConfigDelta.Version
	}
}

// applyChanges reconciles the targets of u, which are in the order of their changes.
func (r *Reconciler) applyChanges(now time.Time, u *Update) {
	kept := u.Targets[:0]
	for _, t := range u.Targets {
		k := r.lookup(t.Name)
		if k != nil && t.Revision < k.target.Revision {
			continue // the pages of a full read and the changes after it overlap
		}
		kept = append(kept, r.merge(now, k, t, k != nil && k.target.Held != NotHeld))
	}
	u.Targets = kept
}

// applyComplete reconciles a full list of targets and adds the held ones to it.
func (r *Reconciler) applyComplete(now time.Time, u *Update) {
	r.lists++
	if len(r.known) == 0 {
		r.known = make(map[string]knowledge, len(u.Targets))
	}
	for i, t := range u.Targets {
		k := r.lookup(t.Name)
		held := k != nil && (u.Restored || k.target.Held != NotHeld)
		u.Targets[i] = r.merge(now, k, t, held)
		r.known[t.Name] = knowledge{r.known[t.Name].target, r.lists}
	}
	rewritten := now.Sub(r.eraBegan) >= rewriteTime
	for name, k := range r.known {
		switch {
		case k.list == r.lists:
		case k.target.Removed:
			if u.Restored || k.target.Held != NotHeld {
				gone := *k.target // its revision may be of an earlier era
				gone.Revision, gone.Held, gone.CopySeq = u.Revision, NotHeld, 0
				r.setTarget(&k, &gone)
			}
		case !rewritten && (u.Restored || k.target.Held == HeldMissing):
			u.Targets = append(u.Targets, r.hold(&k, u.Revision, HeldMissing))
		default:
			r.remove(now, &k, &Target{Name: name, Revision: u.Revision, Removed: true})
		}
	}
	r.releaseReusedAddresses(now, u)
}

// lookup returns what is known about a target, or nil.
func (r *Reconciler) lookup(name string) *knowledge {
	if k, ok := r.known[name]; ok {
		return &k
	}
	return nil
}

// merge decides between the known record k, which may be nil, and the published record
// t. held is set if t may be older than k although its revision is higher: k is of an
// earlier era.
func (r *Reconciler) merge(now time.Time, k *knowledge, t *Target, held bool) *Target {
	published := writeOf(t)
	switch {
	case k == nil || !held && t.Held == NotHeld:
		return r.accept(now, k, t)
	case !held && t.Held == HeldMissing:
		// It was published in this era and is missing now, so it has been removed.
		return r.remove(now, k, &Target{Name: t.Name, Revision: t.Revision, Removed: true})
	case t.Held != NotHeld:
		// Another instance holds t: it knows of it what this one knows of k.
		outdated := k.lastWrite().after(published) || k.lastWrite() == published && k.target.Removed && !t.Removed
		if !outdated {
			return r.accept(now, k, t)
		}
		return r.hold(k, t.Revision, t.Held)
	case t.Removed:
		return r.accept(now, k, t)
	}
	switch {
	case published.startedAt > k.lastWrite().startedAt:
	case published.startedAt < k.lastWrite().startedAt:
		return r.hold(k, t.Revision, HeldNewer)
	case k.target.Removed && !r.publishedSinceCopy(t.Name, published):
		return r.hold(k, t.Revision, HeldNewer)
	case !k.target.Removed && k.lastWrite().after(published):
		return r.hold(k, t.Revision, HeldNewer)
	}
	return r.accept(now, k, t)
}

// publishedSinceCopy reports whether a target that was known to be gone has published
// since the copy was taken. The first write seen in an era is that of the copy.
func (r *Reconciler) publishedSinceCopy(name string, published write) bool {
	copied, known := r.copied[name]
	if !known {
		r.copied[name] = published
		r.rereadDue = true
	}
	return known && published.after(copied)
}

// accept makes t the known record of its target.
func (r *Reconciler) accept(now time.Time, k *knowledge, t *Target) *Target {
	if t.Removed {
		return r.remove(now, k, t)
	}
	r.setTarget(k, t)
	if t.Held == NotHeld {
		delete(r.copied, t.Name)
	}
	return t
}

// remove records that a target is gone. It keeps the last known write in the record, for
// instances that learn of the target from this one.
func (r *Reconciler) remove(now time.Time, k *knowledge, t *Target) *Target {
	switch {
	case t.Held == NotHeld:
	case t.CopySeq == 0: // not in the copy, so nothing published contradicts it
		gone := *t
		gone.Held = NotHeld
		t = &gone
	case k == nil:
		r.copied[t.Name] = write{t.Record.StartedAt, int64(t.CopySeq) - 1}
	}
	if k == nil || !k.target.Removed {
		r.removals = append(r.removals, removal{t.Name, now})
	}
	if k != nil && t.Record.Name == "" {
		gone := *t
		gone.Record = k.target.Record
		t = &gone
	}
	r.setTarget(k, t)
	return t
}

// hold delivers the known record with the revision of the published one.
func (r *Reconciler) hold(k *knowledge, revision uint64, reason HoldReason) *Target {
	t := *k.target
	t.Revision, t.Held, t.CopySeq = revision, reason, 0
	if copied, ok := r.copied[t.Name]; ok {
		t.CopySeq = uint32(copied.seq + 1)
	}
	r.setTarget(k, &t)
	return &t
}

// setTarget replaces the known target k, which may be nil, by t.
func (r *Reconciler) setTarget(k *knowledge, t *Target) {
	list := uint32(0)
	if k != nil {
		list = k.list
		if k.target.Held == HeldMissing {
			r.missing--
		}
	}
	if t.Held == HeldMissing {
		r.missing++
	}
	r.known[t.Name] = knowledge{t, list}
}

// releaseReusedAddresses removes the missing targets at whose address another one has
// started since: they have stopped.
func (r *Reconciler) releaseReusedAddresses(now time.Time, u *Update) {
	if r.missing == 0 {
		return
	}
	startedAt := map[string]int64{}
	for _, t := range u.Targets {
		if !t.Removed {
			address := t.Record.Address.String()
			startedAt[address] = max(startedAt[address], t.Record.StartedAt)
		}
	}
	for i, t := range u.Targets {
		if t.Held == HeldMissing && startedAt[t.Record.Address.String()] > t.Record.StartedAt {
			u.Targets[i] = r.remove(now, r.lookup(t.Name), &Target{Name: t.Name, Revision: u.Revision, Removed: true})
		}
	}
}

// Expire returns an update that removes the targets and evacuations that have not been
// published again within rewriteTime after a restore, or nil if there are none.
func (r *Reconciler) Expire(now time.Time) *Update {
	if r.missing == 0 && !r.evacuationHeld() || now.Sub(r.eraBegan) < rewriteTime {
		return nil
	}
	u := &Update{Era: r.position.Era, Revision: r.position.Revision, EraAge: now.Sub(r.eraBegan)}
	r.expireEvacuations(u)
	for name, k := range r.known {
		if k.target.Held == HeldMissing {
			u.Targets = append(u.Targets, r.remove(now, &k, &Target{Name: name, Revision: u.Revision, Removed: true}))
		}
	}
	return u
}

// RereadDue reports whether all records should be read from the platform again because
// of a restore. It returns true once.
func (r *Reconciler) RereadDue(now time.Time) bool {
	if !r.rereadDue || now.Sub(r.eraBegan) < rereadDelay {
		return false
	}
	r.rereadDue = false
	return true
}

// NextExpiry returns the time until Expire has something to do, or false if it has
// nothing.
func (r *Reconciler) NextExpiry(now time.Time) (time.Duration, bool) {
	return max(r.eraBegan.Add(rewriteTime).Sub(now), 0), r.missing > 0 || r.evacuationHeld()
}

// forgetRemovals forgets the targets that were removed long ago.
func (r *Reconciler) forgetRemovals(now time.Time) {
	for len(r.removals) > 0 && now.Sub(r.removals[0].at) >= RemovalMemory {
		name := r.removals[0].name
		r.removals = r.removals[1:]
		if k := r.lookup(name); k != nil && k.target.Removed && !r.removedLater(name) {
			delete(r.known, name)
			delete(r.copied, name)
		}
	}
}

// removedLater reports whether a later removal of the same target is recorded.
func (r *Reconciler) removedLater(name string) bool {
	for i := range r.removals {
		if r.removals[i].name == name {
			return true
		}
	}
	return false
}
