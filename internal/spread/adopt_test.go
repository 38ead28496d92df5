package spread

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an imported run time that replaces local history, changes the median,
// or causes requests with UntrackedKey to be classified as long.
func TestImportedRunTime(t *testing.T) {
	p := newPredictor()
	for range 20 {
		p.record(1, 10*time.Millisecond, Short, Success)
	}
	median, total := p.median, p.samples
	p.importRunTime(1, time.Second)
	p.importRunTime(2, time.Second)
	p.importRunTime(3, 0)
	p.importRunTime(UntrackedKey, time.Second)
	assert.Equal(t, p.classify(1), Short)
	assert.Equal(t, p.classify(2), Long)
	assert.Equal(t, p.classify(3), Short)
	assert.Equal(t, p.classify(UntrackedKey), Short)
	assert.Equal(t, p.median, median)
	assert.Equal(t, p.samples, total)
	for range 20 { // local run times correct the imported one
		p.record(2, 10*time.Millisecond, Short, Success)
	}
	assert.Equal(t, p.classify(2), Short)
}
