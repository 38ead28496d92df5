package fanout

import (
	"slices"
	"sync"
	"time"

	"arbutusdock.example/arbutusdock/internal/coldlimit"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// memberMemory is the time for which an instance that no seed lists any more still counts
// as a member: it may only be cut off from the seeds.
const memberMemory = time.Minute

// viewIntervals is the number of announcement intervals for which a view of the members may
// be used. An interval is jittered by half, so that a view is renewed in time.
const viewIntervals = 2

// MembersView is what this instance knows of the members of the fleet, with times since the
// events of a coldlimit.View.
type MembersView struct {
	Self     coldlimit.Member
	Members  []coldlimit.Member
	Age      time.Duration // since the seeds told the members
	Listed   time.Duration // since this instance has been listed without a gap; 0: it is not
	Lifetime time.Duration // for which the view may be used
}

// members collects the members of the fleet that the seeds list. It is safe for concurrent
// use.
type members struct {
	mu       sync.Mutex
	bySeed   map[int]seedMembers
	seenAt   map[coldlimit.Member]time.Time
	toldAt   time.Time // begin of the last announcement whose response had the members
	listedAt time.Time // when the first one after the last gap was answered
}

// seedMembers is the list that a seed told last.
type seedMembers struct {
	version uint64
	list    []coldlimit.Member
}

// version returns the version of the list that a seed told last, 0 if it told none.
func (m *members) version(seed int) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bySeed[seed].version
}

// record records the response of a seed to an announcement.
func (m *members) record(seed int, sentAt time.Time, r *Ranking) {
	if r.MembersVersion == 0 {
		return // not asked for, or the seed is of a former release
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.bySeed == nil {
		m.bySeed, m.seenAt = map[int]seedMembers{}, map[coldlimit.Member]time.Time{}
	}
	told := m.bySeed[seed]
	if r.MembersVersion != told.version {
		told = seedMembers{r.MembersVersion, r.Members}
		m.bySeed[seed] = told
	}
	now := time.Now()
	for _, member := range told.list {
		m.seenAt[member] = now
	}
	lifetime := viewIntervals * announceInterval(r.Known)
	if m.listedAt.IsZero() || now.Sub(m.toldAt) >= lifetime {
		m.listedAt = now // others may have dropped this instance
	}
	m.toldAt = sentAt
}

// view returns the members as known now. known is the number of instances that the seeds
// list.
func (m *members) view(now time.Time, self ids.Instance, known int) MembersView {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := MembersView{Self: coldlimit.MemberOf(self), Age: now.Sub(m.toldAt), Lifetime: viewIntervals * announceInterval(known)}
	if !m.listedAt.IsZero() {
		v.Listed = max(now.Sub(m.listedAt), 1)
	}
	v.Members = append(v.Members, v.Self)
	for member, seenAt := range m.seenAt {
		switch {
		case now.Sub(seenAt) >= memberMemory:
			delete(m.seenAt, member)
		case member != v.Self:
			v.Members = append(v.Members, member)
		}
	}
	slices.Sort(v.Members)
	return v
}
