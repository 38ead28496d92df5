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

// The target size of a deployment, and the memory that the control plane of an
// instance may use at that size (docs/CAPACITY.md).
const (
	targetServers  = 29_000
	targetServices = 1_360
	targetRoutes   = 6_800
	controlMemory  = 64_000_000 // bytes of peak resident memory of the process
)

// Guards against an instance that exceeds the memory limit at the target size,
// including the headroom of the garbage collector: at its start, while it applies
// successive versions, and after the store has dropped its history.
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
		state := readState(t, i) // read after the peak, since the response itself takes memory
		for range 50 {           // a version may take longer while the soak runs
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

func readState(t *testing.T, i *instance) forwarder.State {
	s, err := requestState(i)
	assert.NilError(t, err)
	return s
}

// requestState reads the state of an instance, which may be starting or stopped.
func requestState(i *instance) (s forwarder.State, err error) {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/v1/state", i.addr, metricsPort))
	if err != nil {
		return s, err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read or is discarded
	return s, json.NewDecoder(response.Body).Decode(&s)
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
	t.Fatal("no VmHWM line in the status of the process")
	return 0
}
