package soak

import (
	"net/http"
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
	f.publishRoute(1)
	f.awaitVersion(1, beyondRun)
	for round := range rounds {
		version := round + 2
		time.Sleep(recoveryTime) // until each instance follows the one above it again
		for _, i := range f.instances {
			i.store.muteOpen()
			i.control.muteOpen()
		}
		f.publishRoute(version)
		f.awaitVersion(version, applyWithin)
	}
}

// Guards against a version that is never read since a restored store gave it a revision
// at which the instances had read something else before.
func TestVersionAtRevisionGivenOutAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 2)
	f.publishRoute(1)
	f.awaitVersion(1, beyondRun)
	f.store.Copy()
	f.store.PutRecords(1, 3, "slips", "a")
	time.Sleep(recoveryTime) // until all instances have read the records
	f.store.Refuse(http.StatusServiceUnavailable)
	f.store.Restore()
	f.publishRoute(2)
	f.store.PutRecords(1, 6, "slips", "a")
	f.store.Refuse(0)
	f.awaitVersion(2, applyWithin)
}

// Guards against instances that stay at an old version while the platform rejects them,
// all those of a data centre at once, although other instances can read it.
func TestChangeWhilePlatformRejectsDataCentre(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 3)
	f.publishRoute(1)
	f.awaitVersion(1, beyondRun)
	for n, mode := range []proxyMode{refuse, silent} {
		version := n + 2
		time.Sleep(recoveryTime) // until each instance follows the one above it again
		for _, i := range f.instances {
			if i.dc == "a" {
				i.store.setMode(mode)
			}
		}
		f.publishRoute(version)
		f.awaitVersion(version, applyWithin)
		for _, i := range f.instances {
			i.store.setMode(passAll)
		}
	}
}

// publishRoute publishes a version of the configuration with a route of its own.
func (f *fleet) publishRoute(version int) {
	at := versionRouteAddress(version)
	f.store.PutConfig(version, platformtest.Route{IP: at.Addr().String(), Port: int(at.Port()), Service: "slips", Kind: "safe"})
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
