package config

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Guards against a watcher that retries only up to 30 s after the end of a
// partition, although its data centre depends on it for new revisions, and
// against a watcher that overloads the platform with retries.
func TestWatcherRetriesSoon(t *testing.T) {
	f := newSyncHarness(t)
	f.platform, f.serving = storeAt(5), []ids.Instance{"a"}
	f.run(5 * time.Second)
	f.platform = nil
	f.run(5 * time.Minute)
	clear(f.requestCount)
	f.run(time.Minute)
	attempts := f.requestCount[ReadPlatform] + f.requestCount[WatchPlatform]
	assert.Assert(t, attempts >= 15 && attempts <= 60, "%d", attempts)
}

// Guards against an instance that keeps its back-off after a partition although
// a peer reports a newer revision, which shows that the platform is reachable.
func TestNewRevisionEndsBackoff(t *testing.T) {
	for seed := range uint64(50) {
		f := newSyncHarness(t)
		f.syncer = NewSyncer("a", seed)
		f.peers["b"], f.platform, f.serving = storeAt(5), storeAt(5), []ids.Instance{"b", "c"}
		f.run(5 * time.Second)
		f.platform = nil
		f.run(20 * time.Minute)
		f.peers["b"], f.silentPeers["b"], f.platform = storeAt(6), true, storeAt(6)
		f.run(6 * time.Second)
		assert.Equal(t, f.store.Revision(), ids.Revision(6), "seed %d", seed)
	}
}
