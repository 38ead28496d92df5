package capacity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a model in which a configuration change does not reach every
// instance, or reaches it without using the links and the platform.
func TestFleetPropagatesChanges(t *testing.T) {
	f := newFleet(12, 3, 2, controlRate)
	f.warmUp()
	assert.Assert(t, f.converged())
	assert.Equal(t, f.awaitRevision(f.revision), 0.0)
	assert.Equal(t, len(f.watches), 2)
	f.sentBytes, f.platformReads = 0, 0
	r := f.publishChange(0)
	delay := f.awaitRevision(r)
	assert.Assert(t, delay > platformDelay.Seconds() && delay < 5, "%v", delay)
	for _, n := range f.nodes {
		assert.Equal(t, n.core.Revision(), r)
	}
	f.run(5 * time.Second)
	assert.Assert(t, f.platformReads >= 2 && f.sentBytes > 0) // the two watches are answered and repeated
	assert.Assert(t, f.converged())
}

// Guards against a node that does not serve: the measurements would then cover
// rejected requests.
func TestNodeServes(t *testing.T) {
	n := newNode(clusterSize{members: 20, services: 10, targets: 4, dataCentres: 2})
	assert.Assert(t, n.ownedService != "")
	assert.Equal(t, n.core.Snapshot().Lifecycle, "serving")
	assert.Equal(t, n.exchange(newRequest(false), callerAddress(1)), 2)
	assert.Equal(t, n.core.Counts().Answered, uint64(1))
	n.openFeeds(10)
	assert.Equal(t, n.core.Snapshot().Feeds, 10)
}
