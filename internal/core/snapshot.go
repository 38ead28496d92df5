package core

import (
	"maps"
	"slices"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// Counters counts events since the start of the instance. Resends are requests
// that are sent again to the same backend server, Retransmits are confirmable
// messages that are sent again to a caller, and Repeats are retransmissions
// received from callers. Superseded counts requests whose token their caller used for
// another one meanwhile. Shed counts 5.03 responses of backend servers, Unsynced
// the requests discarded because the membership list has not arrived yet.
type Counters struct {
	Requests, Answered, Dispatched, Relayed, Queued uint64
	Minted, Reminted, Admitted, Duplicates          uint64
	Refused, Expired, Unknown, Timeouts, Cancelled  uint64
	Shed, Retries, Resends, Retransmits, Repeats    uint64
	Superseded                                      uint64
	LateResponses, LateAcks, OldNotifications       uint64
	FeedsOpened, FeedsEnded, FeedsMoved             uint64
	Notifications, Malformed, UnknownService        uint64
	Pauses, Unsynced                                uint64
}

// Snapshot is the state of an instance for the admin interface.
type Snapshot struct {
	Instance    ids.Instance
	Incarnation ids.Incarnation
	DataCentre  ids.DataCentre
	Lifecycle   string
	StopPhase   string
	Revision    ids.Revision
	Watcher     bool
	Members     []peerwire.Member
	Admissions  int
	Feeds       int
	Requests    int // queued and in flight
	Counters    Counters
	Services    []ServiceState
}

// ServiceState is the state of one service in which this instance owns slots.
type ServiceState struct {
	Service       ids.Service
	Owned         int
	Free          int
	QueuedShort   int
	QueuedLong    int
	RunTimeMicros int64
	Peers         []PeerState
}

// PeerState is the last reported load of another owner.
type PeerState struct {
	Instance ids.Instance
	Free     int
	Backlog  int
	Refuse   bool
	AgeMS    int64
}

var lifecycleNames = [...]string{"joining", "serving", "draining", "gone"}

// Counts returns the counters without the cost of a snapshot.
func (c *Core) Counts() Counters { return c.counters }

// Snapshot returns the state of the instance. It allocates.
func (c *Core) Snapshot() Snapshot {
	s := Snapshot{
		Instance: c.self.ID, Incarnation: c.self.Incarnation, DataCentre: c.self.DataCentre,
		Lifecycle: lifecycleNames[c.membership.State()], StopPhase: c.stop.phase.String(),
		Revision: c.configStore.Revision(), Watcher: slices.Contains(config.Watchers(c.membership.Serving()), c.self.ID), Members: slices.Clone(c.membership.Members()),
		Admissions: c.admissions.Len(), Feeds: c.feeds.Len(), Requests: len(c.liveRequests), Counters: c.counters,
	}
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		if svc := c.services[name]; svc != nil {
			c.refreshOwnership(svc)
			if svc.pool != nil {
				s.Services = append(s.Services, c.serviceState(svc))
			}
		}
	}
	return s
}

func (c *Core) serviceState(s *service) ServiceState {
	state := ServiceState{
		Service: s.name, Owned: s.ownedSlots(), Free: s.pool.Free(spread.Short),
		QueuedShort: s.queues[spread.Short].Len(), QueuedLong: s.queues[spread.Long].Len(),
		RunTimeMicros: s.pool.RunTime().Microseconds(),
	}
	for _, p := range s.peers {
		state.Peers = append(state.Peers, PeerState{
			Instance: p.id, Free: p.freeSlots, Backlog: p.backlog, Refuse: p.refusing, AgeMS: c.now.Sub(p.reportedAt).Milliseconds(),
		})
	}
	return state
}

// Query describes a request to explain.
type Query struct {
	Service ids.Service
	Caller  ids.Endpoint
	Method  string
	Path    string
	Host    string
}

// Explanation describes where a request would be sent now, and why.
type Explanation struct {
	Known      bool // the service is configured
	Home       ids.Instance
	Partner    ids.Partner
	Idempotent bool
	Class      string // predicted: short or long
	Instance   ids.Instance
	Action     string // start, relay, queue or refuse; grant for a request that needs a token
	Reason     string
}

// Explain returns what place and mint would decide now. It has no side effects,
// except that the random choice among equal co-owners advances the random
// number generator.
func (c *Core) Explain(q Query) Explanation {
	s := c.services[q.Service]
	if s == nil || s.removed {
		return Explanation{Reason: "the service is not configured, or its profile is missing"}
	}
	c.refreshOwnership(s)
	code := methodCodes[q.Method]
	d := callerDatagram{callerExchange: callerExchange{svc: s, caller: q.Caller}, hash: ids.HashEndpoint(q.Caller),
		msg: &message.Message{Code: code, PathHash: message.HashPath(q.Path), Host: []byte(q.Host)}}
	x := Explanation{Known: true, Class: "short", Idempotent: s.idempotent&(1<<code) != 0}
	x.Home, _ = c.homeInstance(s, d.hash)
	partner := s.partnerOf(d.msg.Host, q.Caller)
	x.Partner = s.partners[partner].Name
	class, free := c.canStartHere(s, &d)
	if class == spread.Long {
		x.Class = "long"
	}
	switch to, ok := c.relayDestination(&d, class); {
	case free:
		x.Instance, x.Action, x.Reason = c.self.ID, "start", "this instance owns a free slot"
	case ok && to != x.Home:
		x.Instance, x.Action, x.Reason = to, "relay", "the co-owner reported a free slot"
	case ok:
		x.Instance, x.Action, x.Reason = to, "relay", "no free slot is known, so the home decides"
	case c.accepting() && c.fitsQueue(s, class, partner):
		x.Instance, x.Action, x.Reason = c.self.ID, "queue", "no slot is free and the queue fits the time limit"
	default:
		x.Action, x.Reason = "refuse", "the queue would exceed the time limit, or no slot is owned"
	}
	if !x.Idempotent && x.Action != "refuse" {
		x.Action = "grant"
	}
	return x
}
