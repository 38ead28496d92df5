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
const maxResponseBytes = 1 << 20

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
type documentStore struct {
	mu      sync.Mutex
	log     []Document // log[i] has revision i+1
	changed chan struct{}
}

func newDocumentStore() *documentStore { return &documentStore{changed: make(chan struct{})} }

func (s *documentStore) publish(key string, value *string) uint64 {
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
func (s *documentStore) load(dir string) error {
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
func (s *documentStore) page(after, limit uint64) (Page, <-chan struct{}) {
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
		if size > maxResponseBytes && i > 0 {
			p.Documents, p.More, p.Upto = p.Documents[:i], true, p.Documents[i-1].Revision
			break
		}
	}
	return p, s.changed
}

// list is the list of instances. A change shows after the lag.
type instanceList struct {
	mu      sync.Mutex
	lag     time.Duration
	current map[string]Instance
	pending []change
	visible map[string]Instance
}

type change struct {
	visibleAt time.Time
	instance  Instance
	present   bool // false: removed
}

func newInstanceList(lag time.Duration) *instanceList {
	return &instanceList{lag: lag, current: map[string]Instance{}, visible: map[string]Instance{}}
}

func (l *instanceList) set(in Instance, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !on {
		delete(l.current, in.ID)
	} else {
		l.current[in.ID] = in
	}
	l.pending = append(l.pending, change{visibleAt: time.Now().Add(l.lag), instance: in, present: on})
}

// leave marks the instance id as leaving.
func (l *instanceList) markLeaving(id string) bool {
	l.mu.Lock()
	in, ok := l.current[id]
	l.mu.Unlock()
	if ok {
		in.Leaving = true
		l.set(in, true)
	}
	return ok
}

func (l *instanceList) setLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

func (l *instanceList) visibleInstances() []Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	rest := l.pending[:0]
	for _, c := range l.pending {
		switch {
		case c.visibleAt.After(now):
			rest = append(rest, c)
		case c.present:
			l.visible[c.instance.ID] = c.instance
		default:
			delete(l.visible, c.instance.ID)
		}
	}
	l.pending = rest
	out := make([]Instance, 0, len(l.visible))
	for _, in := range l.visible {
		out = append(out, in)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
