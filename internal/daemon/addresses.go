package daemon

import (
	"net/netip"
	"sync"

	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/settings"
)

// maxBookEntries is the maximum number of entries in the address book. A fleet
// has 2,500 instances.
const maxBookEntries = 1 << 14

// addressBook maps each instance to the address of its link listener. An
// address that an instance announces itself, directly or by gossip, takes
// precedence over the one in the platform's instance list, which can be out of
// date. Both take precedence over the seeds in the settings.
type addressBook struct {
	mu         sync.Mutex
	byInstance map[ids.Instance]addressEntry
}

type addressEntry struct {
	hostPort   string
	precedence uint64 // 0: seed; 1: instance list; otherwise the incarnation that announced it
}

func newAddressBook(seeds []settings.Seed) *addressBook {
	a := &addressBook{byInstance: make(map[ids.Instance]addressEntry)}
	for _, s := range seeds {
		a.set(s.ID, s.Address.String(), 0)
	}
	return a
}

func (a *addressBook) set(id ids.Instance, hostPort string, precedence uint64) {
	if _, err := netip.ParseAddrPort(hostPort); err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	current, known := a.byInstance[id]
	if (!known && len(a.byInstance) < maxBookEntries) || (known && precedence >= current.precedence) {
		a.byInstance[id] = addressEntry{hostPort: hostPort, precedence: precedence}
	}
}

func (a *addressBook) lookup(id ids.Instance) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	entry, ok := a.byInstance[id]
	return entry.hostPort, ok
}

// updateFromList stores the addresses of the platform's instance list.
func (a *addressBook) updateFromList(list *core.InstancesEvent) {
	for _, listed := range list.Instances {
		a.set(listed.ID, listed.PeerAddr, 1)
	}
}

// updateFromMessage stores the addresses in the member records of a peer
// message.
func (a *addressBook) updateFromMessage(m *peerwire.Message) {
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
