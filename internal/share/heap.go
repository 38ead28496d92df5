package share

// The heap of active partners does not use container/heap, which would box its
// elements and call through an interface on the path of every request.

func (q *Queue[T]) less(a, b *partner[T]) bool {
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.activation < b.activation
}

func (q *Queue[T]) heapPush(p *partner[T]) {
	p.heapIndex = len(q.heap)
	q.heap = append(q.heap, p)
	q.siftUp(p.heapIndex)
}

func (q *Queue[T]) heapRemove(p *partner[T]) {
	i, last := p.heapIndex, len(q.heap)-1
	q.swap(i, last)
	q.heap[last] = nil
	q.heap = q.heap[:last]
	p.heapIndex = -1
	if i < last {
		q.heapFix(q.heap[i])
	}
}

func (q *Queue[T]) heapFix(p *partner[T]) {
	q.siftUp(p.heapIndex)
	q.siftDown(p.heapIndex)
}

func (q *Queue[T]) swap(i, j int) {
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	q.heap[i].heapIndex, q.heap[j].heapIndex = i, j
}

func (q *Queue[T]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.less(q.heap[i], q.heap[parent]) {
			return
		}
		q.swap(i, parent)
		i = parent
	}
}

func (q *Queue[T]) siftDown(i int) {
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
