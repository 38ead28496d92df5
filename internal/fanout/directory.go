package fanout

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

const (
	// announceEvery is the interval at which an instance announces itself at the
	// seeds, jittered by half, when a seed knows up to announceFull instances. Above,
	// it grows with their number up to announceLate, so that a seed's work and the
	// bytes between data centres do not: in the sweep to 300 instances these fell
	// from 15 to 10 MB in 42 s.
	announceEvery = 2 * time.Second
	announceFull  = 100
	announceLate  = 10 * time.Second
	// lifeIntervals is the number of intervals after which an instance that no
	// longer announces itself is left out.
	lifeIntervals = 4
	// degree is the number of instances that follow one directly. With it the
	// changes reach 500 instances over three steps.
	degree = 8
	// substitutes is the number of instances at the head of the ranking that
	// stand in for each other.
	substitutes = 3
	// rankKey makes the ranking differ from others over the same instances.
	rankKey = "platform-reader"
)

// interval returns the interval between two announcements where seeds know n live
// instances, of all data centres together.
func interval(n int) time.Duration {
	return min(announceEvery*time.Duration(max(n, announceFull))/announceFull, announceLate)
}

// Instance is an instance and where it serves its state.
type Instance struct {
	ID      ids.Instance
	Address netip.AddrPort
}

// Directory is the list of live instances that a seed keeps. Nothing depends on
// seeds agreeing: a difference only makes an instance more read the platform.
// It is safe for concurrent use.
type Directory struct {
	mu    sync.Mutex
	lists map[ids.DataCentre]*list
}

// list holds the instances of one data centre.
type list struct {
	entries map[ids.Instance]entry
	ranking []Instance // all of them in order; nil when it must be computed again
	swept   time.Time
}

type entry struct {
	address netip.AddrPort
	at      time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{lists: map[ids.DataCentre]*list{}}
}

// Announce records a live instance.
func (d *Directory) Announce(now time.Time, dc ids.DataCentre, i Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.lists[dc]
	if l == nil {
		l = &list{entries: map[ids.Instance]entry{}}
		d.lists[dc] = l
	}
	if old, known := l.entries[i.ID]; !known || old.address != i.Address {
		l.ranking = nil
	}
	l.entries[i.ID] = entry{i.Address, now}
}

// Leave removes an instance that stops.
func (d *Directory) Leave(dc ids.DataCentre, id ids.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.lists[dc]; l != nil {
		delete(l.entries, id)
		l.ranking = nil
	}
}

// Ranking is what a seed tells an instance about its data centre.
type Ranking struct {
	Sources []Instance // that the instance may follow, the best first
	Live    int        // number of live instances of the data centre
	Known   int        // number of instances that the seed knows, of all data centres
}

// Ranking returns the sources of an instance: those above it in a tree over the
// ranking of its data centre, and then the head of the ranking. The first of the
// ranking has none, it reads the platform.
func (d *Directory) Ranking(now time.Time, dc ids.DataCentre, id ids.Instance) Ranking {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.lists[dc]
	if l == nil {
		return Ranking{}
	}
	known := 0
	for _, other := range d.lists {
		known += len(other.entries)
	}
	for _, other := range d.lists {
		other.sweep(now, known)
	}
	l.order()
	place := len(l.ranking)
	for n, i := range l.ranking {
		if i.ID == id {
			place = n
		}
	}
	r := Ranking{Live: len(l.ranking), Known: known}
	for n := (place - 1) / degree; place > 0; n = (n - 1) / degree {
		r.Sources = append(r.Sources, l.ranking[n])
		if n == 0 {
			break
		}
	}
	for n := range min(place, substitutes) {
		if !slices.Contains(r.Sources, l.ranking[n]) {
			r.Sources = append(r.Sources, l.ranking[n])
		}
	}
	return r
}

// sweep leaves out instances that no longer announce themselves, at most once a
// second. known is the number of instances by which they choose their interval.
func (l *list) sweep(now time.Time, known int) {
	if now.Sub(l.swept) < time.Second {
		return
	}
	l.swept = now
	life := lifeIntervals * interval(known)
	for id, e := range l.entries {
		if now.Sub(e.at) > life {
			delete(l.entries, id)
			l.ranking = nil
		}
	}
}

// order computes the ranking by rendezvous weight, if the instances have changed.
func (l *list) order() {
	if l.ranking != nil {
		return
	}
	key := ids.Hash(rankKey)
	for id, e := range l.entries {
		l.ranking = append(l.ranking, Instance{id, e.address})
	}
	slices.SortFunc(l.ranking, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(ids.Mix(ids.Hash(string(b.ID)), key), ids.Mix(ids.Hash(string(a.ID)), key)), cmp.Compare(a.ID, b.ID))
	})
}
