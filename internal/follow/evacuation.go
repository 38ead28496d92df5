package follow

import (
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/passthrough"
)

// Evacuations is the complete list of the evacuations in force.
type Evacuations struct {
	List []passthrough.Evacuation `cbor:"1,keyasint,omitempty"`
}

// EvacuationChange is the begin or the end of an evacuation.
type EvacuationChange struct {
	passthrough.Evacuation
	Ended bool
}

// applyEvacuations reconciles the evacuations in u, and sets u.Evacuations to all that are
// in force if they have changed. A restore that loses the begin of an evacuation does not
// end it before rewriteTime is over. One whose end is lost is in force again: sending
// nothing to a data centre is the safe error.
func (r *Reconciler) applyEvacuations(now time.Time, u *Update) {
	before := r.evacuations
	switch {
	case u.Evacuations != nil:
		r.evacuations = r.keepEvacuations(now, u.Evacuations.List, r.evacuations, u.Restored)
	case len(u.EvacuationChanges) > 0:
		r.evacuations = slices.Clone(r.evacuations)
		for _, c := range u.EvacuationChanges {
			r.changeEvacuation(c)
		}
	}
	u.Evacuations, u.EvacuationChanges = nil, nil
	r.evacuationsKnown = r.evacuationsKnown || u.Complete && !u.FormerRelease
	if u.Complete && r.evacuationsKnown || !slices.Equal(before, r.evacuations) {
		u.Evacuations = &Evacuations{r.evacuations}
	}
}

// keepEvacuations returns the list of a restored platform, with those of known that it may
// still lack. restored is set if known is of an earlier era.
func (r *Reconciler) keepEvacuations(now time.Time, list, known []passthrough.Evacuation, restored bool) []passthrough.Evacuation {
	list = slices.Clone(list)
	if now.Sub(r.eraBegan) >= rewriteTime {
		return list
	}
	for _, e := range known {
		if (restored || e.Held) && evacuationOf(list, e.DataCentre) < 0 {
			e.Held = true
			list = append(list, e)
		}
	}
	return list
}

func (r *Reconciler) changeEvacuation(c EvacuationChange) {
	i := evacuationOf(r.evacuations, c.DataCentre)
	switch {
	case i < 0 && !c.Ended:
		r.evacuations = append(r.evacuations, c.Evacuation)
	case i < 0:
	case r.evacuations[i].Era == c.Era && r.evacuations[i].Revision > c.Revision:
		// The pages of a full read and the changes after it overlap.
	case c.Ended:
		r.evacuations = slices.Delete(r.evacuations, i, i+1)
	default:
		r.evacuations[i] = c.Evacuation
	}
}

// evacuationOf returns the index of the evacuation of dc in list, or -1.
func evacuationOf(list []passthrough.Evacuation, dc ids.DataCentre) int {
	return slices.IndexFunc(list, func(e passthrough.Evacuation) bool { return e.DataCentre == dc })
}

// evacuationHeld reports whether an evacuation that a restored platform lacks is kept.
func (r *Reconciler) evacuationHeld() bool {
	return slices.ContainsFunc(r.evacuations, func(e passthrough.Evacuation) bool { return e.Held })
}

// expireEvacuations ends those that have not been published again after a restore.
func (r *Reconciler) expireEvacuations(u *Update) {
	if r.evacuationHeld() {
		r.evacuations = slices.DeleteFunc(slices.Clone(r.evacuations), func(e passthrough.Evacuation) bool { return e.Held })
		u.Evacuations = &Evacuations{r.evacuations}
	}
}
