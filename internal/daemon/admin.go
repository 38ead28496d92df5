package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// adminTimeout limits the time for reading the header of an admin request and
// for waiting until the core goroutine serves it.
const adminTimeout = 2 * time.Second

// adminHandler serves /debug/vars, /v1/state and /v1/explain.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", d.metrics)
	mux.HandleFunc("GET /v1/state", d.serveState)
	mux.HandleFunc("GET /v1/explain", d.serveExplain)
	return mux
}

// runInCore runs fn in the core goroutine and waits until it has returned. It
// returns false when the core goroutine does not accept fn in time.
func (d *Daemon) runInCore(ctx context.Context, fn func()) bool {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	done := make(chan struct{})
	select {
	case d.coreCalls <- func() { defer close(done); fn() }:
	case <-ctx.Done():
		return false
	case <-d.ctx.Done():
		return false
	}
	<-done
	return true
}

// State is the body of /v1/state.
type State struct {
	core.Snapshot
	Details []core.ServiceDetail
}

func (d *Daemon) serveState(w http.ResponseWriter, r *http.Request) {
	var state State
	if !d.runInCore(r.Context(), func() { state = State{Snapshot: d.core.Snapshot(), Details: d.core.ServiceDetails()} }) {
		writeError(w, http.StatusServiceUnavailable, "the core did not respond in time")
		return
	}
	writeJSON(w, state)
}

func (d *Daemon) serveExplain(w http.ResponseWriter, r *http.Request) {
	queryParam := r.URL.Query().Get
	query := core.Query{Service: ids.Service(queryParam("service")), Method: strings.ToUpper(queryParam("method")), Path: queryParam("path"), Host: queryParam("host")}
	if query.Service == "" {
		writeError(w, http.StatusBadRequest, "parameter service is missing")
		return
	}
	if query.Method == "" {
		query.Method = "GET"
	}
	var err error
	if query.Caller, err = netip.ParseAddrPort(queryParam("caller")); err != nil {
		writeError(w, http.StatusBadRequest, "parameter caller must be IP:port")
		return
	}
	var explanation core.Explanation
	if !d.runInCore(r.Context(), func() { explanation = d.core.Explain(query) }) {
		writeError(w, http.StatusServiceUnavailable, "the core did not respond in time")
		return
	}
	writeJSON(w, explanation)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only when the client has disconnected
}

func writeError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"error": message})
}
