package share

// The heap of active partners is kept by hand because container/heap would
// box its elements and call through an interface on the path of every request.

func (q *Queue[T]) less(a, b *partner[T]) bool {
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
	}
	return a.order < b.order
}

func (q *Queue[T]) heapPush(p *partner[T]) {
	p.index = len(q.heap)
	q.heap = append(q.heap, p)
	q.up(p.index)
}

func (q *Queue[T]) heapRemove(p *partner[T]) {
	i, last := p.index, len(q.heap)-1
	q.swap(i, last)
	q.heap[last] = nil
	q.heap = q.heap[:last]
	p.index = -1
	if i < last {
		q.heapFix(q.heap[i])
	}
}

func (q *Queue[T]) heapFix(p *partner[T]) {
	q.up(p.index)
	q.down(p.index)
}

func (q *Queue[T]) swap(i, j int) {
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	q.heap[i].index, q.heap[j].index = i, j
}

func (q *Queue[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.less(q.heap[i], q.heap[parent]) {
			return
		}
		q.swap(i, parent)
		i = parent
	}
}

func (q *Queue[T]) down(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(q.heap); c++ {
			if q.less(q.heap[c], q.heap[least]) {
				least = c
			}
		}
		if least == i {
			return
		}
		q.swap(i, least)
		i = least
	}
}
