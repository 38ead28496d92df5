package forwarder

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a limit that lets control take more than its share at the target
// size, that has the collector run all the time beyond it, or that exceeds the memory
// of the process.
func TestHeapLimit(t *testing.T) {
	const mb = 1 << 20
	assert.Equal(t, heapLimit(3*mb, 0), int64(controlHeap))
	assert.Equal(t, heapLimit(22*mb, 280*mb), int64(controlHeap))
	assert.Equal(t, heapLimit(60*mb, 280*mb), int64(90*mb))
	assert.Equal(t, heapLimit(120*mb, 280*mb), int64(140*mb))
}
