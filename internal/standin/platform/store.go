// Package platform is the stand-in for the platform: it serves published
// documents with one global revision and a long-poll watch, and a list of
// instances whose changes become visible after a configurable lag.
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

// maxResponseBytes limits the total size of the values in one response, like the
// limit of the real platform.
const maxResponseBytes = 1 << 20

// Document is one published version of a document.
type Document struct {
	Key      string  `json:"key"`
	Revision uint64  `json:"revision"`
	Value    *string `json:"value"` // null when the key was deleted
}

// Page is the response to a request for documents.
type Page struct {
	Upto      uint64     `json:"upto"` // revision up to which Documents is complete
	More      bool       `json:"more"` // further documents follow after Upto
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

// documentStore keeps every published version, so that the state at an older
// revision can be served.
type documentStore struct {
	mu      sync.Mutex
	log     []Document    // log[i] has revision i+1
	changed chan struct{} // closed and replaced at each publication
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

// load publishes the .toml files below dir. The key of a document is the path of
// its file relative to dir, without the extension.
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
			return eris.Wrap(err, "determine document key")
		}
		value := string(data)
		s.publish(strings.TrimSuffix(filepath.ToSlash(rel), ".toml"), &value)
		return nil
	})
}

// page returns the latest version of each document as of revision limit (0:
// now), leaving out revisions up to after, and a channel that is closed at the
// next publication.
func (s *documentStore) page(after, limit uint64) (Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	upto := uint64(len(s.log))
	if limit > 0 {
		upto = min(upto, limit)
	}
	latest := map[string]Document{}
	for _, d := range s.log[:upto] {
		latest[d.Key] = d
	}
	p := Page{Upto: upto, Documents: []Document{}}
	for _, d := range latest {
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

// instanceList is the list of instances. A change becomes visible after lag.
type instanceList struct {
	mu      sync.Mutex
	lag     time.Duration
	current map[string]Instance
	pending []change // changes that are not yet visible
	visible map[string]Instance
}

// change is an update of the instance list.
type change struct {
	visibleAt time.Time
	instance  Instance
	present   bool // false: the instance was removed
}

func newInstanceList(lag time.Duration) *instanceList {
	return &instanceList{lag: lag, current: map[string]Instance{}, visible: map[string]Instance{}}
}

func (l *instanceList) set(in Instance, present bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !present {
		delete(l.current, in.ID)
	} else {
		l.current[in.ID] = in
	}
	l.pending = append(l.pending, change{visibleAt: time.Now().Add(l.lag), instance: in, present: present})
}

// markLeaving marks the instance id as leaving and reports whether it exists.
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
	stillPending := l.pending[:0]
	for _, c := range l.pending {
		switch {
		case c.visibleAt.After(now):
			stillPending = append(stillPending, c)
		case c.present:
			l.visible[c.instance.ID] = c.instance
		default:
			delete(l.visible, c.instance.ID)
		}
	}
	l.pending = stillPending
	out := make([]Instance, 0, len(l.visible))
	for _, in := range l.visible {
		out = append(out, in)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
