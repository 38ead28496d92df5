package follow

import "cmp"

// Position is a point in the history of what is published. When the platform is
// restored from an older copy a new era begins, in which revisions go back and are
// given out again; positions of different eras are ordered by their era alone.
type Position struct {
	Era      uint64 // 0: the platform reports none
	Revision uint64
}

// Compare returns -1, 0 or 1 if p is before, at or after o.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}
