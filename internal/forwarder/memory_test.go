package forwarder

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a limit that allows the control functions more than their share of
// memory at the deployment size for which the system is designed, that makes the
// garbage collector run continuously above that size, or that exceeds the memory limit
// of the process.
func TestHeapLimit(t *testing.T) {
	const mb = 1 << 20
	assert.Equal(t, heapLimit(3*mb, 0), int64(baseHeapLimit))
	assert.Equal(t, heapLimit(22*mb, 280*mb), int64(baseHeapLimit))
	assert.Equal(t, heapLimit(60*mb, 280*mb), int64(90*mb))
	assert.Equal(t, heapLimit(120*mb, 280*mb), int64(140*mb))
}
