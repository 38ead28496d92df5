package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/forwarder"
	"arbutusdock.example/arbutusdock/internal/passthrough"
)

var flowTargets = []passthrough.TargetState{{Name: "i-7f", Service: "counter", DataCentre: "a", Address: "192.0.2.1:80", Cookie: 127,
	Lifecycle: "draining", Suspected: true, RetryIn: 1500e6, Busy: 3, Flows: 41, Load: 2.5}}

// Guards against incomplete output for the state or an explanation of a
// pass-through instance, and against a query that identifies the wrong flow.
func TestFlows(t *testing.T) {
	var receivedQuery string
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/state", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(forwarder.State{Instance: "a1", DataCentre: "a", Serving: true, Source: "a2", NewsAge: 40e6,
			Snapshot: passthrough.Snapshot{Version: 17, Routes: 5, Flows: 902, Targets: flowTargets}})
	})
	mux.HandleFunc("/v1/explain", func(w http.ResponseWriter, r *http.Request) {
		receivedQuery = r.URL.Query().Encode()
		_ = json.NewEncoder(w).Encode(passthrough.Explanation{Verdict: "forward", Reason: "placed", Route: "r-1", Service: "counter",
			Version: 17, Target: "i-7f", Candidates: flowTargets})
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	wantFields := []string{"i-7f", "192.0.2.1:80", "127", "draining", "retry in 1.5s", "41", "2.50"}

	code, out, errOut := runTool("show", "--flows", address)
	assert.Equal(t, code, exitSuccess, errOut)
	for _, want := range append(wantFields, "a1", "version 17", "from a2, 40ms old", "902") {
		assert.Assert(t, strings.Contains(out, want), "%s missing in\n%s", want, out)
	}
	code, out, errOut = runTool("explain", "--admin", address, "--caller", "198.51.100.7:4000", "--to", "203.0.113.1:443", "--cookie", "9")
	assert.Equal(t, code, exitSuccess, errOut)
	assert.Equal(t, receivedQuery, "caller=198.51.100.7%3A4000&cookie=9&to=203.0.113.1%3A443")
	for _, want := range append(wantFields, "placed", "r-1", "17") {
		assert.Assert(t, strings.Contains(out, want), "%s missing in\n%s", want, out)
	}
	code, _, errOut = runTool("explain", "--admin", address)
	assert.Equal(t, code, exitFailed)
	assert.Assert(t, strings.Contains(errOut, "either --service or --to is needed"), errOut)
}

// Guards against a response that is cut at the size limit and reported as invalid.
func TestTooLargeAdminResponse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		chunk := make([]byte, 1<<20)
		for range maxAdminBodyBytes>>20 + 1 {
			_, _ = w.Write(chunk)
		}
	}))
	defer server.Close()
	err := getAdmin(strings.TrimPrefix(server.URL, "http://"), "/v1/state", nil, &forwarder.State{})
	assert.ErrorContains(t, err, "exceeds")
}
