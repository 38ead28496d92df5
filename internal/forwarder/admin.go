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

// adminTimeout bounds the time that an admin request waits for the forwarding
// goroutine.
const adminTimeout = 2 * time.Second

// State is the response body of /v1/state.
type State struct {
	Instance   ids.Instance
	DataCentre ids.DataCentre
	Serving    bool
	NewsAge    time.Duration // time since the state was last confirmed to be up to date
	Source     string        // where updates are read: "platform", the ID of an instance or "none"
	Era        uint64        // number of times that the platform was restored, as it reports; 0: not reported
	Revision   uint64        // revision of the platform up to which the state is complete
	passthrough.Snapshot
}

// serveMetrics serves /metrics, /v1/state and /v1/explain on the metrics
// address, if one is set.
func (f *Forwarder) serveMetrics(ctx context.Context) error {
	if !f.settings.Metrics.IsValid() {
		return nil
	}
	mux := http.NewServeMux()
	handler := promhttp.HandlerFor(f.metrics.registry, promhttp.HandlerOpts{})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		var s State
		if f.snapshot(r.Context(), &s) { // otherwise the gauges keep their last values
			f.metrics.setGauges(&s.Snapshot, s.NewsAge)
		}
		handler.ServeHTTP(w, r)
	})
	mux.HandleFunc("GET /v1/state", f.serveState)
	mux.HandleFunc("GET /v1/explain", f.serveExplain)
	server, err := f.serveHTTP("metrics", f.settings.Metrics, mux)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = server.Close() }) // error ignored: the process is exiting
	return nil
}

// runQuery runs a query in the forwarding goroutine and waits for its completion. It
// reports false if the goroutine did not respond in time.
func (f *Forwarder) runQuery(ctx context.Context, query func(now ids.Time)) bool {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	done := make(chan struct{})
	if !f.submit(ctx, func() { defer close(done); query(f.clock.now()) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// snapshot sets the fields of s that come from the core. It reports false if the
// forwarding goroutine did not respond in time.
func (f *Forwarder) snapshot(ctx context.Context, s *State) bool {
	var current State
	ok := f.runQuery(ctx, func(now ids.Time) { current = State{NewsAge: now.Sub(f.updatedAt), Snapshot: f.core.Snapshot(now)} })
	if ok {
		s.NewsAge, s.Snapshot = current.NewsAge, current.Snapshot
	}
	return ok
}

func (f *Forwarder) serveState(w http.ResponseWriter, r *http.Request) {
	s := State{Instance: f.settings.Instance, DataCentre: f.settings.DataCentre, Serving: f.serving(), Source: f.sourceName()}
	position := f.state.Position()
	s.Era, s.Revision = position.Era, position.Revision
	if !f.snapshot(r.Context(), &s) {
		http.Error(w, "the instance did not respond in time", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, s)
}

// serveExplain responds with the decision that the core would make for a packet. Its
// parameters are caller and to, an IP address and port each, and cookie, which is 0 for
// a new flow.
func (f *Forwarder) serveExplain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var flow passthrough.FlowKey
	for name, endpoint := range map[string]*passthrough.Endpoint{"caller": &flow.Caller, "to": &flow.Service} {
		address, err := netip.ParseAddrPort(q.Get(name))
		e, ok := passthrough.EndpointOf(address)
		if err != nil || !ok {
			http.Error(w, "parameter "+name+" must be an IPv4 address and port", http.StatusBadRequest)
			return
		}
		*endpoint = e
	}
	cookie, err := strconv.ParseUint(q.Get("cookie"), 10, 32)
	if err != nil && q.Has("cookie") {
		http.Error(w, "parameter cookie must be a number from 0 to 4294967295", http.StatusBadRequest)
		return
	}
	var e passthrough.Explanation
	if !f.runQuery(r.Context(), func(now ids.Time) { e = f.core.Explain(now, flow, passthrough.Cookie(cookie)) }) {
		http.Error(w, "the instance did not respond in time", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, e)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}
