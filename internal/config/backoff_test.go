package config

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Guards against a watcher, on whom its data centre waits, that reads again
// only half a minute after the end of a partition, or that hammers the platform.
func TestWatcherRetriesSoon(t *testing.T) {
	f := newFleet(t)
	f.platform, f.serving = storeAt(5), []ids.Instance{"a"}
	f.run(5 * time.Second)
	f.platform = nil
	f.run(5 * time.Minute)
	clear(f.count)
	f.run(time.Minute)
	attempts := f.count[ReadPlatform] + f.count[WatchPlatform]
	assert.Assert(t, attempts >= 15 && attempts <= 60, "%d", attempts)
}

// Guards against an instance that keeps to the back-off of a partition although
// a peer shows that the platform has news.
func TestNewsEndsBackoff(t *testing.T) {
	for seed := range uint64(50) {
		f := newFleet(t)
		f.y = NewSyncer("a", seed)
		f.peers["b"], f.platform, f.serving = storeAt(5), storeAt(5), []ids.Instance{"b", "c"}
		f.run(5 * time.Second)
		f.platform = nil
		f.run(20 * time.Minute)
		f.peers["b"], f.mute["b"], f.platform = storeAt(6), true, storeAt(6)
		f.run(6 * time.Second)
		assert.Equal(t, f.store.Revision(), ids.Revision(6), "seed %d", seed)
	}
}
