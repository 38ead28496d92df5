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

// adminTimeout bounds a request of the admin interface.
const adminTimeout = 2 * time.Second

// adminHandler serves /debug/vars, /v1/state and /v1/explain.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", d.metrics)
	mux.HandleFunc("GET /v1/state", d.serveState)
	mux.HandleFunc("GET /v1/explain", d.serveExplain)
	return mux
}

// ask runs f in the core goroutine and waits until it has run.
func (d *Daemon) ask(ctx context.Context, f func()) bool {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	done := make(chan struct{})
	select {
	case d.queries <- func() { defer close(done); f() }:
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
	if !d.ask(r.Context(), func() { state = State{Snapshot: d.core.Snapshot(), Details: d.core.ServiceDetails()} }) {
		fault(w, http.StatusServiceUnavailable, "the core did not respond in time")
		return
	}
	reply(w, state)
}

func (d *Daemon) serveExplain(w http.ResponseWriter, r *http.Request) {
	get := r.URL.Query().Get
	q := core.Query{Service: ids.Service(get("service")), Method: strings.ToUpper(get("method")), Path: get("path"), Host: get("host")}
	if q.Service == "" {
		fault(w, http.StatusBadRequest, "parameter service is missing")
		return
	}
	if q.Method == "" {
		q.Method = "GET"
	}
	var err error
	if q.Caller, err = netip.ParseAddrPort(get("caller")); err != nil {
		fault(w, http.StatusBadRequest, "parameter caller must be IP:port")
		return
	}
	var explanation core.Explanation
	if !d.ask(r.Context(), func() { explanation = d.core.Explain(q) }) {
		fault(w, http.StatusServiceUnavailable, "the core did not respond in time")
		return
	}
	reply(w, explanation)
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the client has gone when this fails
}

func fault(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"error": text})
}
