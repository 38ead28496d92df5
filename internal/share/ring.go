package share

// ring is a first-in first-out queue in a ring buffer that grows by doubling and
// never shrinks. Its capacity is a power of two.
type ring[T any] struct {
	buf  []entry[T]
	head int
	n    int
}

func (r *ring[T]) len() int { return r.n }

func (r *ring[T]) at(i int) *entry[T] { return &r.buf[(r.head+i)&(len(r.buf)-1)] }

func (r *ring[T]) push(e entry[T]) {
	if r.n == len(r.buf) {
		grown := make([]entry[T], max(8, 2*len(r.buf)))
		for i := range r.n {
			grown[i] = *r.at(i)
		}
		r.buf, r.head = grown, 0
	}
	r.n++
	*r.at(r.n - 1) = e
}

func (r *ring[T]) pop() entry[T] {
	e := *r.at(0)
	*r.at(0) = entry[T]{}
	r.head = (r.head + 1) & (len(r.buf) - 1)
	r.n--
	return e
}

// removeIf removes the items for which match returns true, calls removed with each of
// them, and returns their number. The order of the others is kept.
func (r *ring[T]) removeIf(match func(T) bool, removed func(T)) int {
	kept := 0
	for i := range r.n {
		e := *r.at(i)
		if match(e.item) {
			removed(e.item)
			continue
		}
		*r.at(kept) = e
		kept++
	}
	removedCount := r.n - kept
	for i := kept; i < r.n; i++ {
		*r.at(i) = entry[T]{}
	}
	r.n = kept
	return removedCount
}
