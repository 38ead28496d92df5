//go:build review

package stand3

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"arbutusdock.example/arbutusdock/platform/platformtest"
)

// Store is the platform's store: entries of targets that expire after three ping intervals of
// silence, changes that can be watched, and drills that take it back to an older copy.
type Store struct {
	server *httptest.Server
	lease  time.Duration
	log    func(string, ...any)

	mu       sync.Mutex
	state    state
	copied   *state
	era      uint64
	away     bool
	changed  chan struct{}
	ended    chan struct{}
	watchers int
}

// state is what a copy of the store holds.
type state struct {
	revision uint64
	items    map[string]item
	history  []item
	beats    map[string]time.Time // when the target wrote last, by key
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func (s *state) clone() state {
	return state{s.revision, maps.Clone(s.items), slices.Clone(s.history), maps.Clone(s.beats)}
}

// conn is the state of a connection to the store.
type conn struct{ silent atomic.Bool }

type connKey struct{}

// NewStore starts a store whose entries of targets expire after three times heartbeat.
func NewStore(heartbeat time.Duration, log func(string, ...any)) *Store {
	s := &Store{lease: 3 * heartbeat, log: log, era: 1, changed: make(chan struct{}), ended: make(chan struct{}),
		state: state{revision: 10, items: map[string]item{}, beats: map[string]time.Time{}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.server = httptest.NewUnstartedServer(mux)
	s.server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, &conn{})
	}
	s.server.Start()
	go s.expire()
	return s
}

// Address returns the IP address and port of the store.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Close stops the store.
func (s *Store) Close() {
	close(s.ended)
	s.server.CloseClientConnections()
	s.server.Close()
}

func (s *Store) expire() {
	for {
		select {
		case <-s.ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		s.mu.Lock()
		for key, at := range s.state.beats {
			if !s.away && time.Since(at) > s.lease {
				delete(s.state.beats, key)
				s.write(item{Key: key, Deleted: true})
				s.log("store: %s has expired, revision %d", key, s.state.revision)
			}
		}
		s.mu.Unlock()
	}
}

// write applies a change. The caller holds s.mu.
func (s *Store) write(i item) {
	s.state.revision++
	i.Revision = s.state.revision
	if i.Deleted {
		delete(s.state.items, i.Key)
	} else {
		if i.Created = s.state.items[i.Key].Created; i.Created == 0 {
			i.Created = i.Revision
		}
		s.state.items[i.Key] = i
	}
	s.state.history = append(s.state.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes an entry of the operator.
func (s *Store) Put(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, _ := json.Marshal(value) // the values passed can always be encoded
	s.write(item{Key: key, Value: data})
	s.log("store: %s is written, revision %d", key, s.state.revision)
}

// PutConfig writes a configuration.
func (s *Store) PutConfig(version int, routes ...platformtest.Route) {
	list, services := []map[string]any{}, []map[string]any{}
	for n, r := range routes {
		list = append(list, map[string]any{"name": fmt.Sprint("r-", n), "host": r.IP, "prefix": fmt.Sprintf("/%d/", r.Port),
			"type": r.Kind, "timeout-ms": 2500, "latency-goal-ms": 400, "priority": 2, "service": r.Service, "max-attempts": 2})
		services = append(services, map[string]any{"name": r.Service, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false})
	}
	s.Put("op/config", map[string]any{"version": version, "routes": list, "services": services, "limits": map[string]any{"idle-timeout-ms": 15000}})
}

// Beat writes the entry of a target. It is a change only if more than seq differs.
func (s *Store) Beat(id string, record map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return
	}
	key := "servers/" + id
	data, _ := json.Marshal(record) // the values passed can always be encoded
	s.state.beats[key] = time.Now()
	if old, ok := s.state.items[key]; ok && sameButSeq(old.Value, record) {
		old.Value = data
		s.state.items[key] = old
		return
	}
	s.write(item{Key: key, Value: data})
	s.log("store: %s is written, state %v, revision %d", key, record["state"], s.state.revision)
}

func sameButSeq(old []byte, record map[string]any) bool {
	var before map[string]any
	if json.Unmarshal(old, &before) != nil {
		return false
	}
	data, _ := json.Marshal(record) // the values passed can always be encoded
	var after map[string]any
	_ = json.Unmarshal(data, &after)
	delete(before, "seq")
	delete(after, "seq")
	return fmt.Sprint(before) == fmt.Sprint(after)
}

// Has reports whether the store has the entry of a target.
func (s *Store) Has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.state.items["servers/"+id]
	return ok
}

// Copy takes the copy from which the store comes back in a drill.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.state.clone()
	s.copied = &c
	s.log("store: a copy is taken at revision %d", c.revision)
}

// Away takes the store away. Its host does not answer any more: connections hang.
func (s *Store) Away() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
	s.log("store: away")
}

// Restore brings the store back from its copy. The leases of the entries begin anew.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = s.copied.clone()
	for key := range s.state.beats {
		s.state.beats[key] = time.Now()
	}
	s.era++
	s.away = false
	s.log("store: back from its copy, era %d, revision %d", s.era, s.state.revision)
}

// admit blocks requests to a store that is away, and later ones on the same connection: its
// host knows nothing of the connection. The caller holds s.mu.
func (s *Store) admit(w http.ResponseWriter, r *http.Request) bool {
	c := r.Context().Value(connKey{}).(*conn)
	if s.away {
		c.silent.Store(true)
	}
	if c.silent.Load() {
		s.mu.Unlock()
		select {
		case <-r.Context().Done():
		case <-s.ended:
		}
		s.mu.Lock()
		return false
	}
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.Header().Set("Content-Type", "application/json")
	return true
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.admit(w, r) {
		return
	}
	s.log("store: GET %s from %s", r.URL, r.RemoteAddr)
	page, more := []item{}, false
	for _, key := range slices.Sorted(maps.Keys(s.state.items)) {
		if !strings.HasPrefix(key, r.URL.Query().Get("prefix")) || key <= r.URL.Query().Get("after") {
			continue
		}
		if more = len(page) == 500; more {
			break
		}
		page = append(page, s.state.items[key])
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": page, "has-more": more, "as-of": s.state.revision}) // the client may have disconnected
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for expired := false; ; {
		if !s.admit(w, r) {
			return
		}
		if after > s.state.revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.state.history {
			if i.Revision > after {
				events = append(events, i)
			}
		}
		if len(events) > 0 || expired {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as-of": s.state.revision}) // the client may have disconnected
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			expired = true
		}
		s.mu.Lock()
	}
}
