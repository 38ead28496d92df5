package daemon

import (
	"net/netip"
	"sync"

	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/settings"
)

// maxAddresses bounds the address book; a fleet has 2,500 instances.
const maxAddresses = 1 << 14

// addresses tells where the link listener of each instance is. An address that
// an instance states about itself, directly or by gossip, outranks that of the
// platform's list, which lags, and both outrank the seeds of the settings.
type addresses struct {
	mu   sync.Mutex
	book map[ids.Instance]address
}

type address struct {
	at   string
	rank uint64 // 0 seed, 1 list, else the incarnation that stated it
}

func newAddresses(seeds []settings.Seed) *addresses {
	a := &addresses{book: make(map[ids.Instance]address)}
	for _, s := range seeds {
		a.set(s.ID, s.Address.String(), 0)
	}
	return a
}

func (a *addresses) set(id ids.Instance, at string, rank uint64) {
	if _, err := netip.ParseAddrPort(at); err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	old, known := a.book[id]
	if (!known && len(a.book) < maxAddresses) || (known && rank >= old.rank) {
		a.book[id] = address{at: at, rank: rank}
	}
}

func (a *addresses) lookup(id ids.Instance) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, ok := a.book[id]
	return e.at, ok
}

// list learns the platform's list.
func (a *addresses) list(e *core.InstancesEvent) {
	for _, i := range e.Instances {
		a.set(i.ID, i.PeerAddr, 1)
	}
}

// learn learns the member records of a peer message.
func (a *addresses) learn(m *peerwire.Message) {
	var members []peerwire.Member
	switch {
	case m.Heartbeat != nil:
		members = m.Heartbeat.Updates
	case m.MemberDelta != nil:
		members = m.MemberDelta.Members
	}
	for i := range members {
		a.set(members[i].ID, members[i].PeerAddr, max(uint64(members[i].Incarnation), 2))
	}
}
