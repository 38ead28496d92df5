package eventqueue

import (
	"testing"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Guards against events that are returned out of order or too early, and against
// events with the same time that are not returned in the order of the pushes.
func TestEventOrder(t *testing.T) {
	var q Queue
	var got []int
	for i, at := range []ids.Time{5, 3, 5, 1, 3, 9} {
		q.Push(at, func() { got = append(got, i) })
	}
	for {
		_, run, ok := q.Next(5)
		if !ok {
			break
		}
		run()
	}
	assert.DeepEqual(t, got, []int{3, 1, 4, 0, 2})
	at, _, ok := q.Next(9)
	assert.Assert(t, ok && at == 9)
}
