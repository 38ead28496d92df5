// Package platform is the stand-in for the platform: published documents with
// one global revision and a long-poll watch, and a list of instances that lags.
package platform

import (
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// maxBytes bounds the values of one response, as the platform does.
const maxBytes = 1 << 20

// Document is one publication.
type Document struct {
	Key      string  `json:"key"`
	Revision uint64  `json:"revision"`
	Value    *string `json:"value"` // null when the key was deleted
}

// Page is the response to a read of documents.
type Page struct {
	Upto      uint64     `json:"upto"`
	More      bool       `json:"more"`
	Documents []Document `json:"documents"`
}

// Instance is one entry of the list of instances.
type Instance struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	PeerAddr   string `json:"peer_addr"`
	CallerIP   string `json:"caller_ip"`
	Leaving    bool   `json:"leaving"`
}

// store keeps every publication, so that an older state can be served.
type store struct {
	mu      sync.Mutex
	log     []Document // log[i] has revision i+1
	changed chan struct{}
}

func newStore() *store { return &store{changed: make(chan struct{})} }

func (s *store) publish(key string, value *string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	rev := uint64(len(s.log)) + 1
	s.log = append(s.log, Document{Key: key, Revision: rev, Value: value})
	close(s.changed)
	s.changed = make(chan struct{})
	return rev
}

// load publishes the .toml files below dir; the key of a file is its path
// without the extension.
func (s *store) load(dir string) error {
	return filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".toml" {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return eris.Wrap(err, "read document")
		}
		rel, err := filepath.Rel(dir, path)
		if err != nil {
			return eris.Wrap(err, "name document")
		}
		value := string(data)
		s.publish(strings.TrimSuffix(filepath.ToSlash(rel), ".toml"), &value)
		return nil
	})
}

// page returns the last publication of each key after revision after, as the
// state was at revision limit (0: now), and a channel that closes at the next
// publication.
func (s *store) page(after, limit uint64) (Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	upto := uint64(len(s.log))
	if limit > 0 {
		upto = min(upto, limit)
	}
	last := map[string]Document{}
	for _, d := range s.log[:upto] {
		last[d.Key] = d
	}
	p := Page{Upto: upto, Documents: []Document{}}
	for _, d := range last {
		if d.Revision > after {
			p.Documents = append(p.Documents, d)
		}
	}
	sort.Slice(p.Documents, func(i, j int) bool { return p.Documents[i].Revision < p.Documents[j].Revision })
	size := 0
	for i, d := range p.Documents {
		if d.Value != nil {
			size += len(*d.Value)
		}
		if size > maxBytes && i > 0 {
			p.Documents, p.More, p.Upto = p.Documents[:i], true, p.Documents[i-1].Revision
			break
		}
	}
	return p, s.changed
}

// list is the list of instances. A change shows after the lag.
type list struct {
	mu      sync.Mutex
	lag     time.Duration
	now     map[string]Instance
	changes []change
	shown   map[string]Instance
}

type change struct {
	at time.Time
	in Instance
	on bool // false: removed
}

func newList(lag time.Duration) *list {
	return &list{lag: lag, now: map[string]Instance{}, shown: map[string]Instance{}}
}

func (l *list) set(in Instance, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !on {
		delete(l.now, in.ID)
	} else {
		l.now[in.ID] = in
	}
	l.changes = append(l.changes, change{at: time.Now().Add(l.lag), in: in, on: on})
}

// leave marks the instance id as leaving.
func (l *list) leave(id string) bool {
	l.mu.Lock()
	in, ok := l.now[id]
	l.mu.Unlock()
	if ok {
		in.Leaving = true
		l.set(in, true)
	}
	return ok
}

func (l *list) setLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

func (l *list) show() []Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	rest := l.changes[:0]
	for _, c := range l.changes {
		switch {
		case c.at.After(now):
			rest = append(rest, c)
		case c.on:
			l.shown[c.in.ID] = c.in
		default:
			delete(l.shown, c.in.ID)
		}
	}
	l.changes = rest
	out := make([]Instance, 0, len(l.shown))
	for _, in := range l.shown {
		out = append(out, in)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
