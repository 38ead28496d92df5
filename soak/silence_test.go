package soak

import (
	"sync"
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/platform/platformtest"
)

// Guards against an instance that applies a change late since it turns to a connection
// that has gone silent while it was not in use: all open connections, to the store and
// between instances, stop delivering, new ones work, and a version is published.
func TestChangeAfterConnectionsWentSilent(t *testing.T) {
	t.Parallel()
	const rounds = 3
	f := newFleet(t, 0, 5)
	publish := func(version int) {
		at := versionRouteAddress(version)
		f.store.PutConfig(version, platformtest.Route{IP: at.Addr().String(), Port: int(at.Port()), Service: "slips", Kind: "safe"})
	}
	publish(1)
	f.awaitVersion(1, beyondRun)
	for round := range rounds {
		version := round + 2
		time.Sleep(recoveryTime) // until each instance follows the one above it again
		for _, i := range f.instances {
			i.store.muteOpen()
			i.control.muteOpen()
		}
		publish(version)
		f.awaitVersion(version, applyWithin)
	}
}

// awaitVersion waits until all instances have a version in force. It fails the test for
// each one that takes longer than limit.
func (f *fleet) awaitVersion(version int, limit time.Duration) {
	begin := time.Now()
	var reads sync.WaitGroup
	for _, i := range f.instances {
		reads.Go(func() {
			for {
				state, err := requestState(i)
				switch took := time.Since(begin); {
				case err == nil && state.Version >= uint64(version):
					if took > limit {
						f.t.Errorf("%s applied version %d after %s, at most %s are allowed", i.id, version, took, limit)
					}
					return
				case took > maxApplyWait:
					f.t.Errorf("%s has not applied version %d after %s: %v", i.id, version, took, err)
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	reads.Wait()
	f.t.Logf("version %d was in force everywhere after %s", version, time.Since(begin))
}

// maxApplyWait bounds the wait for a version that does not come into force at all.
const maxApplyWait = 10 * time.Second
