package fanout

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"arbutusdock.example/arbutusdock/internal/coldlimit"
	"arbutusdock.example/arbutusdock/internal/ids"
)

const (
	// minAnnounceInterval is the interval at which an instance announces itself to
	// the seeds, jittered by half, while a seed lists up to announceScaleFrom
	// instances. Above that number the interval grows in proportion, up to
	// maxAnnounceInterval, so that the load of a seed and the traffic between data
	// centres do not grow: with 300 instances the traffic fell from 15 to 10 MB in
	// 42 s.
	minAnnounceInterval = 2 * time.Second
	announceScaleFrom   = 100
	maxAnnounceInterval = 10 * time.Second
	// expiryIntervals is the number of intervals after which an instance that no
	// longer announces itself is removed.
	expiryIntervals = 4
	// treeDegree is the maximum number of instances that follow the same instance
	// directly. With 8, changes reach 500 instances in three hops.
	treeDegree = 8
	// fallbackSources is the number of instances at the head of the ranking that an
	// instance may follow when those above it in the tree fail.
	fallbackSources = 3
	// maxHolders is the number of holders of a state that an instance without one learns
	// of at a time.
	maxHolders = 3
	// maxLocalFallbacks and maxRemoteFallbacks are the numbers of instances, of its own
	// data centre and of others, that an instance cut off from the platform learns of at
	// a time.
	maxLocalFallbacks  = 2
	maxRemoteFallbacks = 2
	// rankingKey is hashed with each instance ID, so that this ranking is independent
	// of other rendezvous rankings of the same instances.
	rankingKey = "platform-reader"
)

const (
	// urgentAnnounceInterval is the interval between announcements while an instance has
	// no state, or while a restarted seed may not know of one that has. It grows like
	// the ordinary interval, as urgentShare of it.
	urgentAnnounceInterval = 150 * time.Millisecond
	urgentShare            = 0.07
	// neighbourLossPeriod is the time for which an instance announces itself at that
	// interval after it has lost a source or a follower: a seed that was lost at the same
	// time has restarted by then.
	neighbourLossPeriod = 3 * time.Second
	// outageAge is the age of the state from which the platform is taken to be away.
	outageAge = time.Second
)

// urgentInterval returns the interval between urgent announcements when the seeds list n
// live instances.
func urgentInterval(n int) time.Duration {
	return max(urgentAnnounceInterval, time.Duration(urgentShare*float64(announceInterval(n))))
}

// announceInterval returns the interval between two announcements of an instance
// when the seeds list n live instances in all data centres together.
func announceInterval(n int) time.Duration {
	return min(minAnnounceInterval*time.Duration(max(n, announceScaleFrom))/announceScaleFrom, maxAnnounceInterval)
}

// Instance identifies an instance and the address at which it serves its state.
type Instance struct {
	ID      ids.Instance
	Address netip.AddrPort
}

// Directory is the list of live instances that a seed keeps. The lists of different
// seeds may differ; the only effect is that an additional instance reads the
// platform. Directory is safe for concurrent use.
type Directory struct {
	mu           sync.Mutex
	byDataCentre map[ids.DataCentre]*instanceList
}

// instanceList holds the instances of one data centre.
type instanceList struct {
	entries   map[ids.Instance]entry
	ranking   []Instance // all instances in order of rank; nil when it must be recomputed
	lastSweep time.Time
}

type entry struct {
	address     netip.AddrPort
	announcedAt time.Time
	holdsState  bool // it has a state that it can pass on
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{byDataCentre: map[ids.DataCentre]*instanceList{}}
}

// Announce records that an instance is alive and whether it holds a state.
func (d *Directory) Announce(now time.Time, dc ids.DataCentre, i Instance, holdsState bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.byDataCentre[dc]
	if l == nil {
		l = &instanceList{entries: map[ids.Instance]entry{}}
		d.byDataCentre[dc] = l
	}
	if old, exists := l.entries[i.ID]; !exists || old.address != i.Address {
		l.ranking = nil
	}
	l.entries[i.ID] = entry{i.Address, now, holdsState}
}

// Leave removes an instance that is shutting down.
func (d *Directory) Leave(dc ids.DataCentre, id ids.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.byDataCentre[dc]; l != nil {
		delete(l.entries, id)
		l.ranking = nil
	}
}

// Ranking is the response of a seed to the announcement of an instance.
type Ranking struct {
	Sources []Instance // instances that the receiver may follow, in order of preference
	Live    int        // number of live instances of the data centre
	Known   int        // number of instances that the seed lists, in all data centres
	// Holders are some instances that hold a state, those of the receiver's data centre
	// first. Only an instance without a state gets them.
	Holders []Instance `json:",omitempty"`
	// Fallbacks are some instances to follow while neither the platform nor a source can
	// be read. Only an instance that is cut off from the platform gets them.
	Fallbacks []Instance `json:",omitempty"`
	// MembersVersion identifies the list of all instances of all data centres. Members is
	// that list, if the receiver asks for it and has another version.
	MembersVersion uint64             `json:",omitempty"`
	Members        []coldlimit.Member `json:",omitempty"`
}

// Ranking returns the sources of an instance: its ancestors in a tree built from the
// ranking of its data centre, followed by the head of the ranking. The first
// instance of the ranking has no sources and reads the platform.
func (d *Directory) Ranking(now time.Time, dc ids.DataCentre, id ids.Instance) Ranking {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.byDataCentre[dc]
	if l == nil {
		return Ranking{}
	}
	total := 0
	for _, other := range d.byDataCentre {
		total += len(other.entries)
	}
	for _, other := range d.byDataCentre {
		other.sweep(now, total)
	}
	l.computeRanking()
	position := len(l.ranking)
	for n, i := range l.ranking {
		if i.ID == id {
			position = n
		}
	}
	r := Ranking{Live: len(l.ranking), Known: total}
	for n := (position - 1) / treeDegree; position > 0; n = (n - 1) / treeDegree {
		r.Sources = append(r.Sources, l.ranking[n])
		if n == 0 {
			break
		}
	}
	for n := range min(position, fallbackSources) {
		if !slices.Contains(r.Sources, l.ranking[n]) {
			r.Sources = append(r.Sources, l.ranking[n])
		}
	}
	return r
}

// Members returns all instances of all data centres and a version that identifies them. The
// version is not 0.
func (d *Directory) Members() (list []coldlimit.Member, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.byDataCentre {
		for id := range l.entries {
			list = append(list, coldlimit.MemberOf(id))
		}
	}
	slices.Sort(list)
	version = 1
	for _, m := range list {
		version = max(ids.Mix(version, uint64(m)), 1)
	}
	return slices.Compact(list), version
}

// Holders returns up to maxHolders instances that hold a state, chosen at random, those
// of the data centre dc first.
func (d *Directory) Holders(dc ids.DataCentre) []Instance {
	local, remote := d.shuffledHolders(dc)
	list := append(local, remote...)
	return list[:min(len(list), maxHolders)]
}

// Fallbacks returns some instances that hold a state, chosen at random, for the instance
// id of the data centre dc. Those of other data centres may read the platform although all
// of dc are cut off from it.
func (d *Directory) Fallbacks(dc ids.DataCentre, id ids.Instance) []Instance {
	local, remote := d.shuffledHolders(dc)
	local = slices.DeleteFunc(local, func(i Instance) bool { return i.ID == id })
	list := append(local[:min(len(local), maxLocalFallbacks)], remote[:min(len(remote), maxRemoteFallbacks)]...)
	shuffle(list)
	return list
}

// shuffledHolders returns the instances that hold a state, of the data centre dc and of
// the others, in random order.
func (d *Directory) shuffledHolders(dc ids.DataCentre) (local, remote []Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for other, l := range d.byDataCentre {
		for id, e := range l.entries {
			switch {
			case !e.holdsState:
			case other == dc:
				local = append(local, Instance{id, e.address})
			default:
				remote = append(remote, Instance{id, e.address})
			}
		}
	}
	shuffle(local)
	shuffle(remote)
	return local, remote
}

func shuffle(list []Instance) {
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
}

// sweep removes instances that no longer announce themselves. It runs at most once a
// second. total is the number of instances in all data centres, from which instances
// compute their announcement interval.
func (l *instanceList) sweep(now time.Time, total int) {
	if now.Sub(l.lastSweep) < time.Second {
		return
	}
	l.lastSweep = now
	ttl := expiryIntervals * announceInterval(total)
	for id, e := range l.entries {
		if now.Sub(e.announcedAt) > ttl {
			delete(l.entries, id)
			l.ranking = nil
		}
	}
}

// computeRanking orders the instances by rendezvous weight, if they have changed.
func (l *instanceList) computeRanking() {
	if l.ranking != nil {
		return
	}
	key := ids.Hash(rankingKey)
	for id, e := range l.entries {
		l.ranking = append(l.ranking, Instance{id, e.address})
	}
	slices.SortFunc(l.ranking, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(ids.Mix(ids.Hash(string(b.ID)), key), ids.Mix(ids.Hash(string(a.ID)), key)), cmp.Compare(a.ID, b.ID))
	})
}
