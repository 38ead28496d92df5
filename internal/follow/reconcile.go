package follow

import (
	"cmp"
	"maps"
	"time"

	"arbutusdock.example/arbutusdock/internal/passthrough"
)

const (
	// rewriteTime is the time after a restore within which a live target has published
	// its record again.
	rewriteTime = 2 * time.Second
	// holdTime is the time after a restore for which records known before it may be used
	// instead of those of the restored copy. The copy then has no record any more of a target
	// that was gone: it expires after three heartbeats, 2.3 s at 770 ms.
	holdTime = rewriteTime + time.Second
	// settleTime is the time after a restore from which records are taken as current.
	settleTime = holdTime + 2*time.Second
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

// Reconciler merges what is read with what is known. What it knows about a target are the
// latest entry of the platform in the present era and, for a short time after a restore,
// what was known before. These rules decide which is in force:
//
//   - Within an era the revision orders entries, whoever has read them.
//   - An entry written in this era, after its first full state, is in force.
//   - An entry of the restored copy gives way to what was known before, unless the target
//     itself wrote it later, by its start time and its number of writes. A target known to be
//     gone stays gone unless it has started again, a known one that the copy lacks stays in
//     use for rewriteTime.
//   - Once the platform's state is confirmed as of holdTime after the restore, its entries
//     are in force and what was known before is dropped.
//
// So each instance comes to use what the platform has by its own reads, of the platform or of
// another instance, and its own clock. Of the configuration the highest version is in force;
// an evacuation that the copy lacks stays in force for rewriteTime.
//
// Reconciler performs no I/O and reads no clock. It is not safe for concurrent use.
type Reconciler struct {
	position      Position
	configVersion uint64
	configPartial bool                 // it came from an instance of a former release
	known         map[string]knowledge // by the entries of this era
	former        map[string]*Target   // records known before a restore that are in force
	removals      []removal            // in order of time
	eraBegan      time.Time            // zero in the era in which the reconciler started
	copyRevision  uint64               // revision of the first full state of this era
	confirmedAt   time.Time            // latest time as of which the state was confirmed
	lists         uint32               // number of full lists applied
	evacuations   []passthrough.Evacuation
	// evacuationsKnown is set once a full state has told the evacuations, which may be none.
	evacuationsKnown bool
}

// knowledge is the latest entry of one target.
type knowledge struct {
	target *Target // a removed one has the last known record
	list   uint32  // number of the last full list that had the target
}

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

// knownLater reports whether t says more of a target than o: it is known after a later
// write of the target, or after the same one if only t tells that the target is gone.
func knownLater(t, o *Target) bool {
	return writeOf(t).after(writeOf(o)) || writeOf(t) == writeOf(o) && t.Removed && !o.Removed
}

// usedAlike reports whether two live records lead to the same use of a target.
func usedAlike(t, o *Target) bool {
	a, b := t.Record, o.Record
	a.Seq, a.SlowStart = b.Seq, b.SlowStart
	return a == b
}

// NewReconciler returns a reconciler that knows nothing.
func NewReconciler() *Reconciler {
	return &Reconciler{known: map[string]knowledge{}, former: map[string]*Target{}}
}

// Position returns the position of the last update.
func (r *Reconciler) Position() Position { return r.position }

// Held returns the number of targets whose published record is not used.
func (r *Reconciler) Held() int { return len(r.former) }

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
	r.observeEra(now, u.Restored, u.EraAge)
	if !r.eraBegan.IsZero() {
		u.EraAge = max(now.Sub(r.eraBegan), 1)
	}
	if at := now.Add(-u.Age); u.Restored || at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
	r.position = u.Position()
	r.applyConfig(u)
	r.applyEvacuations(now, u)
	r.forgetRemovals(now)
	if u.Complete {
		r.applyComplete(now, u)
	} else {
		r.applyChanges(now, u)
	}
	return true
}

// observeEra records when the present era began. restored is set when it is a new one, age
// is the time since its begin, 0 if that is not known.
func (r *Reconciler) observeEra(now time.Time, restored bool, age time.Duration) {
	if restored || age > 0 && r.eraBegan.IsZero() {
		r.eraBegan = now.Add(-age)
	}
}

// learn takes in the full state u of another instance, which may know what the platform
// lost before the position of r. It changes u into the full state to deliver.
func (r *Reconciler) learn(now time.Time, u *Update) {
	if u.Position().Compare(r.position) > 0 {
		r.apply(now, u)
		return
	}
	restored := u.Era != 0 && u.Era < r.position.Era
	r.observeEra(now, restored && r.eraBegan.IsZero(), u.EraAge)
	for _, t := range u.Targets {
		switch {
		case restored || t.Held != NotHeld:
			r.offer(now, t)
		case t.Removed && !t.Unreadable && r.lookup(t.Name) == nil:
			r.put(now, nil, t)
		}
	}
	if u.Evacuations != nil {
		r.evacuations = r.keepEvacuations(now, r.evacuations, u.Evacuations.List, restored)
	}
	config := u.Config
	*u = Update{Complete: true, Era: r.position.Era, Revision: r.position.Revision, Restored: restored, Evacuations: &Evacuations{r.evacuations}}
	if !r.eraBegan.IsZero() {
		u.EraAge = max(now.Sub(r.eraBegan), 1)
	}
	if config != nil && config.Version > r.configVersion {
		u.Config, r.configVersion, r.configPartial = config, config.Version, config.Partial
	}
	for _, k := range r.known {
		u.Targets = append(u.Targets, k.target)
	}
	r.deliverFormer(now, u)
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
		t = r.put(now, k, t)
		if f := r.former[t.Name]; f != nil && t.Revision > r.copyRevision {
			delete(r.former, t.Name) // t was written in this era
		} else if f != nil {
			t = f
		}
		kept = append(kept, t)
	}
	u.Targets = kept
	if !r.holdIsOver() {
		return
	}
	for name, f := range r.former {
		if f.Held == HeldMissing {
			r.forgetMissing(now, f)
		}
		u.Targets = append(u.Targets, r.known[name].target)
	}
	clear(r.former)
}

// applyComplete reconciles a full list of targets, and replaces those for which another
// record is in force.
func (r *Reconciler) applyComplete(now time.Time, u *Update) {
	r.lists++
	before, former := r.known, r.former
	if u.Restored || r.lists == 1 {
		r.copyRevision = u.Revision
		r.known = make(map[string]knowledge, len(u.Targets))
	}
	published, held := u.Targets[:0], []*Target(nil)
	for _, t := range u.Targets {
		if t.Held != NotHeld {
			held = append(held, t)
			continue
		}
		t = r.put(now, r.lookup(t.Name), t)
		r.known[t.Name] = knowledge{t, r.lists}
		published = append(published, t)
	}
	u.Targets = published
	for name, k := range r.known {
		if k.list != r.lists && (!k.target.Removed || k.target.Unreadable) {
			r.put(now, &k, &Target{Name: name, Revision: u.Revision, Removed: true})
		}
	}
	if u.Restored {
		for name, k := range before {
			if former[name] == nil && !k.target.Unreadable {
				former[name] = k.target
			}
		}
	}
	r.former = map[string]*Target{}
	for _, f := range former {
		r.offer(now, f)
	}
	for _, f := range held {
		r.offer(now, f)
	}
	r.deliverFormer(now, u)
}

// deliverFormer replaces the targets of the full state u for which a record known before a
// restore is in force.
func (r *Reconciler) deliverFormer(now time.Time, u *Update) {
	r.releaseReusedAddresses(now)
	missing := maps.Clone(r.former)
	for i, t := range u.Targets {
		if f := r.former[t.Name]; f != nil {
			u.Targets[i] = f
			u.Overridden = append(u.Overridden, t)
			delete(missing, t.Name)
		}
	}
	for _, f := range missing {
		u.Targets = append(u.Targets, f)
	}
}

// lookup returns what is known about a target, or nil.
func (r *Reconciler) lookup(name string) *knowledge {
	if k, ok := r.known[name]; ok {
		return &k
	}
	return nil
}

// put makes t the latest entry of its target. A removed one gets the last known record, for
// the time after a restore.
func (r *Reconciler) put(now time.Time, k *knowledge, t *Target) *Target {
	list := uint32(0)
	if k != nil {
		list = k.list
	}
	if t.Removed {
		if k == nil || !k.target.Removed {
			r.removals = append(r.removals, removal{t.Name, now})
		}
		if last := r.lastRecord(k, t.Name); last != nil && t.Record.Name == "" {
			gone := *t
			gone.Record = last.Record
			t = &gone
		}
	}
	r.known[t.Name] = knowledge{t, list}
	return t
}

// lastRecord returns the target with the latest known record, or nil. k is its latest entry,
// or nil.
func (r *Reconciler) lastRecord(k *knowledge, name string) *Target {
	f := r.former[name]
	if k != nil && (f == nil || knownLater(k.target, f)) {
		return k.target
	}
	return f
}

// offer takes in f, which was known before the restore that began this era, here or by
// another instance.
func (r *Reconciler) offer(now time.Time, f *Target) {
	k, o := r.lookup(f.Name), r.former[f.Name]
	if o == nil && k != nil && k.target.Removed && !k.target.Unreadable {
		o = k.target
	}
	if o != nil && !knownLater(f, o) {
		return
	}
	delete(r.former, f.Name)
	switch {
	case r.inForce(now, f, k):
		held := *f
		held.Held, held.Revision = HeldMissing, r.copyRevision
		if k != nil && !k.target.Removed {
			held.Held, held.Revision = HeldNewer, k.target.Revision
		}
		r.former[f.Name] = &held
	case k == nil:
		r.forgetMissing(now, f)
	}
}

// inForce reports whether f, known before the restore that began this era, is in force
// instead of the latest entry k of this era, which may be nil.
func (r *Reconciler) inForce(now time.Time, f *Target, k *knowledge) bool {
	switch {
	case k != nil && k.target.Revision > r.copyRevision:
		return false // written in this era
	case k == nil || k.target.Removed && !k.target.Unreadable: // not in the copy
		return !f.Removed && now.Sub(r.eraBegan) < rewriteTime
	case k.target.Unreadable, r.holdIsOver():
		return false
	case k.target.Record.StartedAt != f.Record.StartedAt:
		return f.Record.StartedAt > k.target.Record.StartedAt
	case f.Removed:
		return true
	}
	return knownLater(f, k.target) && !usedAlike(f, k.target)
}

// holdIsOver reports whether the platform's state is confirmed as of holdTime after the
// restore.
func (r *Reconciler) holdIsOver() bool { return r.confirmedAt.Sub(r.eraBegan) >= holdTime }

// forgetMissing records that f, which the platform does not have, is gone.
func (r *Reconciler) forgetMissing(now time.Time, f *Target) *Target {
	return r.put(now, r.lookup(f.Name), &Target{Name: f.Name, Revision: r.position.Revision, Removed: true, Record: f.Record})
}

// releaseReusedAddresses drops the missing targets at whose address another one has started
// since: they have stopped.
func (r *Reconciler) releaseReusedAddresses(now time.Time) {
	if !r.missing() {
		return
	}
	startedAt := map[passthrough.Endpoint]int64{}
	for _, k := range r.known {
		if t := k.target; !t.Removed {
			startedAt[t.Record.Address] = max(startedAt[t.Record.Address], t.Record.StartedAt)
		}
	}
	for name, f := range r.former {
		if f.Held == HeldMissing && startedAt[f.Record.Address] > f.Record.StartedAt {
			r.forgetMissing(now, f)
			delete(r.former, name)
		}
	}
}

// missing reports whether a target is in use that the platform does not have.
func (r *Reconciler) missing() bool {
	for _, f := range r.former {
		if f.Held == HeldMissing {
			return true
		}
	}
	return false
}

// Expire returns an update that removes the targets and evacuations that have not been
// published again within rewriteTime after a restore, or nil if there are none.
func (r *Reconciler) Expire(now time.Time) *Update {
	if now.Sub(r.eraBegan) < rewriteTime || !r.missing() && !r.evacuationHeld() {
		return nil
	}
	u := &Update{Era: r.position.Era, Revision: r.position.Revision, EraAge: now.Sub(r.eraBegan)}
	r.expireEvacuations(u)
	for name, f := range r.former {
		if f.Held == HeldMissing {
			u.Targets = append(u.Targets, r.forgetMissing(now, f))
			delete(r.former, name)
		}
	}
	return u
}

// NextExpiry returns the time until Expire has something to do, or false if it has
// nothing.
func (r *Reconciler) NextExpiry(now time.Time) (time.Duration, bool) {
	return max(r.eraBegan.Add(rewriteTime).Sub(now), 0), r.missing() || r.evacuationHeld()
}

// NextRelease returns the time until a read may confirm the records of the platform that are
// not used, or false if all are used.
func (r *Reconciler) NextRelease(now time.Time) (time.Duration, bool) {
	return max(r.eraBegan.Add(holdTime).Sub(now), 0), len(r.former) > 0
}

// forgetRemovals forgets the targets that were removed long ago.
func (r *Reconciler) forgetRemovals(now time.Time) {
	for len(r.removals) > 0 && now.Sub(r.removals[0].at) >= RemovalMemory {
		name := r.removals[0].name
		r.removals = r.removals[1:]
		if k := r.lookup(name); k != nil && k.target.Removed && !r.removedLater(name) {
			delete(r.known, name)
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
