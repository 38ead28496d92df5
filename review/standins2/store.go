//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 770 * time.Millisecond
	pageItems = 50
)

// storeItem is an entry of the store, its change or its deletion.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store. Each machine reaches it through an address
// of its own, so that it can be told apart.
type store struct {
	w *world

	mu      sync.Mutex
	rev     uint64
	era     uint64
	items   map[string]storeItem
	history []storeItem
	compact uint64 // changes up to this revision are no longer available
	changed chan struct{}
	down    bool                 // every call is answered with 503
	beatAt  map[string]time.Time // last write of each target
	entries map[string]string    // what each target has said, without seq
	// loseRange is the number of answers to GET /kv-range that each machine loses.
	loseRange map[string]int
	servers   []*http.Server
	copied    *store // what a restore takes the store back to
	watcher   string // machine that has called GET /kv-watch last
}

func (w *world) newStore() *store {
	s := &store{w: w, rev: 10, era: 1, items: map[string]storeItem{}, changed: make(chan struct{}), beatAt: map[string]time.Time{}, entries: map[string]string{},
		loseRange: map[string]int{}}
	go s.expireLeases()
	return s
}

// addressFor returns the address at which a machine reaches the store.
func (s *store) addressFor(machine string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	s.w.check(err)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", func(w http.ResponseWriter, r *http.Request) { s.serveRange(w, r, machine) })
	mux.HandleFunc("GET /kv-watch", func(w http.ResponseWriter, r *http.Request) { s.serveWatch(w, r, machine) })
	server := &http.Server{Handler: mux}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

// write stores an item, or deletes it, with a new revision. s.mu is held.
func (s *store) write(key string, value []byte, deleted bool) {
	s.rev++
	item := storeItem{Key: key, Value: value, Revision: s.rev, Created: s.rev, Deleted: deleted}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	if deleted {
		delete(s.items, key)
	} else {
		s.items[key] = item
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, v any) {
	data, err := json.Marshal(v)
	s.w.check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, false)
}

// beat takes the entry of a target. Only a change of more than seq is an event. It returns
// false while the store is down.
func (s *store) beat(t *target) bool {
	entry := t.entry()
	data, err := json.Marshal(entry)
	s.w.check(err)
	same := fmt.Sprint(entry["service"], entry["address"], entry["zone"], entry["slots"], entry["state"], entry["born"])
	key := "servers/" + t.id
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.beatAt[key] = time.Now()
	if item, ok := s.items[key]; ok && s.entries[key] == same {
		item.Value = data
		s.items[key] = item
		return true
	}
	s.entries[key] = same
	s.write(key, data, false)
	return true
}

// expireLeases removes the entries of targets that have been silent for three heartbeats,
// also while the store is down.
func (s *store) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for key, at := range s.beatAt {
			if _, ok := s.items[key]; ok && time.Since(at) > 3*heartbeat {
				s.write(key, nil, true)
				s.w.logf("store: the entry %s has expired", key)
			}
		}
		s.mu.Unlock()
	}
}

// setDown begins or ends an outage.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
	s.w.logf("store: down %v", down)
}

// discard discards the history and cuts the watches that wait. s.mu is held.
func (s *store) discard() {
	s.history, s.compact = nil, s.rev
	close(s.changed)
	s.changed = make(chan struct{})
	s.w.logf("store: history discarded up to revision %d", s.rev)
}

func (s *store) copyNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &store{rev: s.rev, items: map[string]storeItem{}, history: slices.Clone(s.history), compact: s.compact, entries: map[string]string{}}
	for k, v := range s.items {
		c.items[k] = v
	}
	for k, v := range s.entries {
		c.entries[k] = v
	}
	s.copied = c
	s.w.logf("store: copy taken at revision %d", s.rev)
}

// restore takes the store back to its copy.
func (s *store) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.copied
	s.rev, s.history, s.compact = c.rev, slices.Clone(c.history), c.compact
	s.items, s.entries = map[string]storeItem{}, map[string]string{}
	for k, v := range c.items {
		s.items[k] = v
		if _, ok := s.beatAt[k]; ok {
			s.beatAt[k] = time.Now()
		}
	}
	for k, v := range c.entries {
		s.entries[k] = v
	}
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
	s.w.logf("store: restored to revision %d, era %d", s.rev, s.era)
}

// admit returns false if the call is refused. s.mu is held.
func (s *store) admit(w http.ResponseWriter) bool {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request, machine string) {
	s.mu.Lock()
	if !s.admit(w) {
		s.mu.Unlock()
		return
	}
	if s.loseRange[machine] > 0 {
		s.loseRange[machine]--
		s.w.logf("store: an answer to GET /kv-range of %s is lost", machine)
		s.mu.Unlock()
		<-r.Context().Done() // the connection returns nothing further
		return
	}
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := []storeItem{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		page = append(page, s.items[key])
	}
	body := map[string]any{"items": page, "has-more": len(keys) > pageItems, "as-of": s.rev}
	s.w.logf("store: GET /kv-range of %s: %d items as of %d", machine, len(page), s.rev)
	s.mu.Unlock()
	writeJSON(w, body)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, machine string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watcher = machine
	for expired := false; ; {
		if !s.admit(w) {
			return
		}
		if after < s.compact || after > s.rev {
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []storeItem{}
		for _, item := range s.history {
			if item.Revision > after {
				events = append(events, item)
			}
		}
		if len(events) > 0 || expired {
			writeJSON(w, map[string]any{"events": events, "as-of": s.rev})
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

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// beats writes the entry of t every heartbeat until it stops. After an outage of the store
// the target is back late, as its own connection has to be set up again first.
func (t *target) beats(backAfter time.Duration) {
	go func() {
		lost := false
		for {
			t.mu.Lock()
			stopped, mute := t.stopped, t.mute
			t.mu.Unlock()
			if stopped {
				return
			}
			switch {
			case mute:
				time.Sleep(20 * time.Millisecond)
				continue
			case t.w.store.isDown():
				lost = true
				time.Sleep(20 * time.Millisecond)
				continue
			case lost:
				time.Sleep(backAfter)
				lost = false
				t.w.logf("target %s writes its entry again", t.id)
			}
			t.w.store.beat(t)
			time.Sleep(heartbeat)
		}
	}()
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// lose makes the next answers to GET /kv-range of a machine be lost.
func (s *store) lose(machine string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseRange[machine] = n
}

// route of a configuration.
type route struct {
	at      netip.AddrPort
	service string
	kind    string
}

func (s *store) putConfig(version int, services []string, routes ...route) {
	s.put("op/config", configOf(version, services, routes))
}

// putConfigAndDiscard writes a configuration and, if discard is set, discards the history
// before anybody has read the change from it.
func (s *store) putConfigAndDiscard(discard bool, version int, services []string, routes ...route) {
	data, err := json.Marshal(configOf(version, services, routes))
	s.w.check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write("op/config", data, false)
	if discard {
		s.discard()
	}
}

func configOf(version int, services []string, routes []route) map[string]any {
	list := []map[string]any{}
	for i, r := range routes {
		list = append(list, map[string]any{"name": fmt.Sprint("r", i), "host": r.at.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.at.Port()),
			"type": r.kind, "timeout-ms": 2000, "service": r.service, "latency-goal-ms": 200, "priority": 1, "max-attempts": 1})
	}
	names := []map[string]any{}
	for _, name := range services {
		names = append(names, map[string]any{"name": name, "health-path": "/health", "max-conns": 2000})
	}
	return map[string]any{"version": version, "routes": list, "services": names, "limits": map[string]any{"idle-timeout-ms": 15000}}
}

// lastWatcher returns the machine that has called GET /kv-watch last.
func (s *store) lastWatcher() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watcher
}
