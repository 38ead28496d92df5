package telemetry

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"sync"

	"arbutusdock.example/arbutusdock/internal/ring"
)

// Registry holds the metrics of one daemon. They are expvar variables but are
// not published globally, so that several daemons can run in one process.
type Registry struct {
	vars expvar.Map
	mu   sync.Mutex
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	r := &Registry{}
	r.vars.Init()
	return r
}

// Counter returns the counter with this name and creates it on the first call.
// The name must end in its unit, such as _total or _bytes_total.
func (r *Registry) Counter(name string) *expvar.Int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, ok := r.vars.Get(name).(*expvar.Int); ok {
		return v
	}
	v := new(expvar.Int)
	r.vars.Set(name, v)
	return v
}

// Gauge registers a metric. f returns its value and is called on each read.
func (r *Registry) Gauge(name string, f func() any) { r.vars.Set(name, expvar.Func(f)) }

// RegisterRing registers metrics for the depth, peak, capacity and drop count of
// a ring buffer. Their names contain the name of the ring buffer.
func (r *Registry) RegisterRing(name string, stats func() ring.Stats) {
	r.Gauge("ring_"+name+"_depth_entries", func() any { return stats().Depth })
	r.Gauge("ring_"+name+"_peak_entries", func() any { return stats().Peak })
	r.Gauge("ring_"+name+"_capacity_entries", func() any { return stats().Capacity })
	r.Gauge("ring_"+name+"_dropped_total", func() any { return stats().Dropped })
}

// ServeHTTP writes the metrics of the daemon and the global expvar variables of
// the process (cmdline, memstats) as one JSON object in the format of expvar.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	separator := "{\n"
	write := func(kv expvar.KeyValue) {
		name, _ := json.Marshal(kv.Key) // encoding a string cannot fail
		_, _ = fmt.Fprintf(w, "%s%s: %s", separator, name, kv.Value)
		separator = ",\n"
	}
	r.vars.Do(write)
	expvar.Do(write)
	_, _ = fmt.Fprint(w, "\n}\n")
}
