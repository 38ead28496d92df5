package forwarder

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/passthrough"
)

// adminTimeout bounds the wait for the forwarding goroutine.
const adminTimeout = 2 * time.Second

// State is the body of /v1/state.
type State struct {
	Instance   ids.Instance
	DataCentre ids.DataCentre
	Serving    bool
	NewsAge    time.Duration // since what is published was last known to be complete
	Source     string        // where it is read: platform or an instance
	passthrough.Snapshot
}

// serveMetrics serves /metrics, /v1/state and /v1/explain on the metrics
// address, if one is set.
func (f *Forwarder) serveMetrics(ctx context.Context) error {
	if !f.settings.Metrics.IsValid() {
		return nil
	}
	mux := http.NewServeMux()
	page := promhttp.HandlerFor(f.metrics.registry, promhttp.HandlerOpts{})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		var s State
		if f.snapshot(r.Context(), &s) { // without it the page shows the last values
			f.metrics.show(&s.Snapshot, s.NewsAge)
		}
		page.ServeHTTP(w, r)
	})
	mux.HandleFunc("GET /v1/state", f.serveState)
	mux.HandleFunc("GET /v1/explain", f.serveExplain)
	server, err := f.serveHTTP("metrics", f.settings.Metrics, mux)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = server.Close() }) // the process ends
	return nil
}

// ask runs a query in the forwarding goroutine and waits until it has run.
func (f *Forwarder) ask(ctx context.Context, query func(now ids.Time)) bool {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	done := make(chan struct{})
	if !f.run(ctx, func() { defer close(done); query(f.clock.now()) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// snapshot fills in what the core believes. It reports false when the forwarding
// goroutine did not respond in time.
func (f *Forwarder) snapshot(ctx context.Context, s *State) bool {
	var got State
	ok := f.ask(ctx, func(now ids.Time) { got = State{NewsAge: now.Sub(f.updatedAt), Snapshot: f.core.Snapshot(now)} })
	if ok {
		s.NewsAge, s.Snapshot = got.NewsAge, got.Snapshot
	}
	return ok
}

func (f *Forwarder) serveState(w http.ResponseWriter, r *http.Request) {
	s := State{Instance: f.settings.Instance, DataCentre: f.settings.DataCentre, Serving: f.serving(), Source: f.sourceName()}
	if !f.snapshot(r.Context(), &s) {
		http.Error(w, "the instance did not respond in time", http.StatusServiceUnavailable)
		return
	}
	reply(w, s)
}

// serveExplain answers where a packet of a caller would go. Its parameters are
// caller and to, IP and port each, and cookie, 0 for a new flow.
func (f *Forwarder) serveExplain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var flow passthrough.FlowKey
	for name, end := range map[string]*passthrough.Endpoint{"caller": &flow.Caller, "to": &flow.Service} {
		at, err := netip.ParseAddrPort(q.Get(name))
		e, ok := passthrough.EndpointOf(at)
		if err != nil || !ok {
			http.Error(w, "parameter "+name+" must be an IPv4 address and port", http.StatusBadRequest)
			return
		}
		*end = e
	}
	cookie, err := strconv.ParseUint(q.Get("cookie"), 10, 32)
	if err != nil && q.Has("cookie") {
		http.Error(w, "parameter cookie must be a number from 0 to 4294967295", http.StatusBadRequest)
		return
	}
	var e passthrough.Explanation
	if !f.ask(r.Context(), func(now ids.Time) { e = f.core.Explain(now, flow, passthrough.Cookie(cookie)) }) {
		http.Error(w, "the instance did not respond in time", http.StatusServiceUnavailable)
		return
	}
	reply(w, e)
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the asking side may have left
}
