package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/forwarder"
	"arbutusdock.example/arbutusdock/platform/platformtest"
)

// The target size of a deployment, and what an instance may take for control
// there (docs/CAPACITY.md).
const (
	targetServers  = 29_000
	targetServices = 1_360
	targetRoutes   = 6_800
	controlMemory  = 64_000_000 // bytes, as the kernel counts the process at its peak
)

// Guards against an instance that needs more memory than the limit for what is
// published at the target size, the reserve of the garbage collector included: at
// its start, as versions follow each other, and after it has lost the history.
func TestMemoryAtTargetSize(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0, 1)
	for n := range targetServices {
		per := targetServers / targetServices
		f.store.PutRecords(1+n*per, per, fmt.Sprint("service-", n), []string{"a", "b"}[n%2])
	}
	for version := 1; version <= 4; version++ {
		var routes []platformtest.Route
		for n := range targetRoutes {
			routes = append(routes, platformtest.Route{IP: fmt.Sprintf("198.18.%d.%d", n/250, n%250+1), Port: 443,
				Service: fmt.Sprint("service-", n%targetServices), Kind: "unsafe"})
		}
		f.store.PutConfig(version, routes...)
		if version == 3 {
			f.store.DropHistory()
		}
		time.Sleep(applyWithin)
	}
	for _, i := range f.instances {
		peak := peakMemory(t, i.cmd.Process.Pid)
		t.Logf("%s: %d bytes at the peak", i.id, peak)
		assert.Assert(t, peak <= controlMemory, "%s took %d bytes", i.id, peak)
		state := readState(t, i) // afterwards, since the answer itself takes memory
		for range 50 {           // beside the soak a version may take longer
			if state.Version == 4 {
				break
			}
			time.Sleep(200 * time.Millisecond)
			state = readState(t, i)
		}
		assert.Equal(t, state.Version, uint64(4))
		assert.Equal(t, state.Routes, targetRoutes)
		assert.Equal(t, len(state.Targets), targetServers/targetServices*targetServices)
	}
}

func readState(t *testing.T, i *instance) (s forwarder.State) {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/v1/state", i.addr, metricsPort))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&s))
	return s
}

// peakMemory returns the greatest resident size of a process, in bytes.
func peakMemory(t *testing.T, pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err)
	for line := range strings.Lines(string(data)) {
		if words := strings.Fields(line); words[0] == "VmHWM:" {
			kib, err := strconv.Atoi(words[1])
			assert.NilError(t, err)
			return kib << 10
		}
	}
	t.Fatal("no VmHWM")
	return 0
}
