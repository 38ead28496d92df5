package platform

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxWait is the longest time for which a watch request is held open.
const maxWait = 60 * time.Second

// Fault configures the faults that clients of one listen address see.
type Fault struct {
	// Listen is the local IP address to which the fault applies; empty: all
	// addresses without a fault of their own.
	Listen string `json:"listen"`
	// Down closes each connection without a response.
	Down bool `json:"down"`
	// StaleRevision, unless 0, is the revision up to which documents are served.
	StaleRevision uint64 `json:"stale"`
	// SlowMS is the delay of each response in milliseconds.
	SlowMS int `json:"slow_ms"`
}

// Counts holds the number of requests accepted so far, by kind, and the highest
// number in one second.
type Counts struct {
	Reads         int `json:"reads"`
	Watches       int `json:"watches"`
	Lists         int `json:"lists"`
	PeakPerSecond int `json:"peak_per_second"`
}

// Platform serves the platform API (section 3.7 of the design) and a control API
// under /control/.
type Platform struct {
	docs      *documentStore
	instances *instanceList

	mu            sync.Mutex
	faults        map[string]Fault
	counts        Counts
	currentSecond int64
	callsInSecond int
	mux           *http.ServeMux
}

// New returns a platform that serves the documents found below dir (none if dir
// is empty) and shows changes of its instance list after lag.
func New(dir string, lag time.Duration) (*Platform, error) {
	p := &Platform{docs: newDocumentStore(), instances: newInstanceList(lag), faults: map[string]Fault{}, mux: http.NewServeMux()}
	if dir != "" {
		if err := p.docs.load(dir); err != nil {
			return nil, err
		}
	}
	p.mux.HandleFunc("GET /v1/documents", p.handleDocuments)
	p.mux.HandleFunc("GET /v1/instances", p.handleInstances)
	p.mux.HandleFunc("PUT /v1/documents/{key...}", p.publishDocument)
	p.mux.HandleFunc("DELETE /v1/documents/{key...}", p.publishDocument)
	p.mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counts()) })
	p.mux.HandleFunc("PUT /control/fault", p.setFault)
	p.mux.HandleFunc("PUT /control/lag", p.setLag)
	p.mux.HandleFunc("PUT /control/instances/{id}", p.changeInstance)
	p.mux.HandleFunc("DELETE /control/instances/{id}", p.changeInstance)
	p.mux.HandleFunc("POST /control/instances/{id}/leave", p.markLeaving)
	return p, nil
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Counts returns the number of requests accepted so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Set adds an instance to the list, or replaces the one with the same id.
func (p *Platform) Set(in Instance) { p.instances.set(in, true) }

// startCall counts a request and applies the fault configured for the listen
// address at which it arrived. It aborts the handler if the address is down.
func (p *Platform) startCall(r *http.Request, counter *int) Fault {
	f := p.fault(r)
	if f.Down {
		panic(http.ErrAbortHandler)
	}
	p.mu.Lock()
	*counter++
	if now := time.Now().Unix(); now != p.currentSecond {
		p.currentSecond, p.callsInSecond = now, 0
	}
	p.callsInSecond++
	p.counts.PeakPerSecond = max(p.counts.PeakPerSecond, p.callsInSecond)
	p.mu.Unlock()
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	return f
}

func (p *Platform) fault(r *http.Request) Fault {
	ip := ""
	if a, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok {
		ip, _, _ = net.SplitHostPort(a.String())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if f, ok := p.faults[ip]; ok {
		return f
	}
	return p.faults[""]
}

func (p *Platform) handleDocuments(w http.ResponseWriter, r *http.Request) {
	after, err := uintParam(r, "after")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := uintParam(r, "wait")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	counter := &p.counts.Reads
	if wait > 0 {
		counter = &p.counts.Watches
	}
	f := p.startCall(r, counter)
	timer := time.NewTimer(min(time.Duration(wait)*time.Second, maxWait))
	defer timer.Stop()
	for {
		page, changed := p.docs.page(after, f.StaleRevision)
		if wait == 0 || len(page.Documents) > 0 {
			writeJSON(w, page)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
		if f = p.fault(r); f.Down {
			panic(http.ErrAbortHandler)
		}
	}
}

func (p *Platform) handleInstances(w http.ResponseWriter, r *http.Request) {
	p.startCall(r, &p.counts.Lists)
	writeJSON(w, map[string]any{"instances": p.instances.visibleInstances()})
}

func (p *Platform) publishDocument(w http.ResponseWriter, r *http.Request) {
	var value *string
	if r.Method == http.MethodPut {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxResponseBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		s := string(data)
		value = &s
	}
	writeJSON(w, map[string]uint64{"revision": p.docs.publish(r.PathValue("key"), value)})
}

func (p *Platform) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if readJSON(w, r, &f) {
		p.mu.Lock()
		p.faults[f.Listen] = f
		p.mu.Unlock()
	}
}

func (p *Platform) setLag(w http.ResponseWriter, r *http.Request) {
	var v struct {
		LagMS int `json:"lag_ms"`
	}
	if readJSON(w, r, &v) {
		p.instances.setLag(time.Duration(v.LagMS) * time.Millisecond)
	}
}

func (p *Platform) changeInstance(w http.ResponseWriter, r *http.Request) {
	in := Instance{ID: r.PathValue("id")}
	if r.Method == http.MethodPut && !readJSON(w, r, &in) {
		return
	}
	in.ID = r.PathValue("id")
	p.instances.set(in, r.Method == http.MethodPut)
}

func (p *Platform) markLeaving(w http.ResponseWriter, r *http.Request) {
	if !p.instances.markLeaving(r.PathValue("id")) {
		http.Error(w, "unknown instance", http.StatusNotFound)
	}
}

func uintParam(r *http.Request, name string) (uint64, error) {
	s := r.URL.Query().Get(name)
	if s == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(s, 10, 64)
	return n, eris.Wrapf(err, "parameter %s", name)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
