package soak

import (
	"net/http"
	"testing"
	"time"

	"arbutusdock.example/arbutusdock/platform/platformtest"
)

// Guards against a version that is never read since a restored store gave it a revision
// at which the instances had read something else before.
func TestVersionAtRevisionGivenOutAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 2)
	publish := func(version int) {
		at := versionRouteAddress(version)
		f.store.PutConfig(version, platformtest.Route{IP: at.Addr().String(), Port: int(at.Port()), Service: "slips", Kind: "safe"})
	}
	publish(1)
	f.awaitVersion(1, beyondRun)
	f.store.Copy()
	f.store.PutRecords(1, 3, "slips", "a")
	time.Sleep(recoveryTime) // until all instances have read the records
	f.store.Refuse(http.StatusServiceUnavailable)
	f.store.Restore()
	publish(2)
	f.store.PutRecords(1, 6, "slips", "a")
	f.store.Refuse(0)
	f.awaitVersion(2, applyWithin)
}
