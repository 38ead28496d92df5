package core

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/member"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/spread"
)

// stopPhase is the progress of a planned stop.
type stopPhase uint8

const (
	running     stopPhase = iota
	draining              // requests complete and feeds move to other instances
	handingOver           // the admission table is handed over
	lingering             // late datagrams are relayed
	leaving               // departure is announced
)

const (
	// feedMoveTimeout is the longest time to wait for feeds to move.
	feedMoveTimeout = 15 * time.Second
	// handoverRetryInterval is the time after which the parts of the admission
	// table are sent again, and maxHandoverTries the number of transmissions to
	// one successor before another one is tried.
	handoverRetryInterval = time.Second
	maxHandoverTries      = 3
	// successorTimeout is the longest time to search for a successor while the
	// membership list contains other instances: one may be joining, or
	// suspected temporarily.
	successorTimeout = 10 * time.Second
	// announceDuration is long enough for at least one heartbeat to announce
	// the departure.
	announceDuration = 1200 * time.Millisecond
)

type stopState struct {
	phase           stopPhase
	since           ids.Time // start of the phase
	admissionParts  []*peerwire.AdmissionMove
	successor       ids.Instance
	triedSuccessors []ids.Instance
	handoverTries   int
	lastSent        ids.Time
}

// Stop starts the planned stop of this instance. The effect Exit follows when
// the stop is complete.
func (c *Core) Stop(now ids.Time, out *Effects) {
	c.begin(now, out)
	if c.stop.phase != running || c.exited {
		return
	}
	c.stop = stopState{phase: draining, since: c.now}
	c.membership.Fire(member.Stop)
	c.admissions.Close()
	// This instance keeps its slots until its requests have completed. Home
	// instances and owners are computed without it from now on.
	c.routes = spread.NewTable(c.self.ID, c.self.DataCentre, 0)
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		if s := c.services[name]; !s.removed {
			c.routes.SetService(c.now, s.config)
		}
	}
	c.routes.SetInstances(c.now, c.otherInstances())
	c.generation++
	c.log("stopping", "requests="+decimal(uint64(len(c.liveRequests)))+" feeds="+decimal(uint64(c.feeds.Len())))
}

func decimal(v uint64) string { return strconv.FormatUint(v, 10) }

// tickStop performs the next step of a planned stop.
func (c *Core) tickStop() {
	elapsed := c.now.Sub(c.stop.since)
	switch c.stop.phase {
	case draining:
		alone := len(c.otherInstances()) == 0
		moved := c.feeds.Len() == 0 || alone || elapsed > feedMoveTimeout
		acked := len(c.unackedList) == 0 || elapsed > c.self.Linger
		if len(c.liveRequests) == 0 && moved && acked {
			c.stop.admissionParts = c.admissions.Export(c.now)
			c.enterPhase(handingOver)
			c.handOverToNextSuccessor()
		}
	case handingOver:
		if c.now.Sub(c.stop.lastSent) < handoverRetryInterval {
			return
		}
		if c.stop.successor != "" && c.stop.handoverTries < maxHandoverTries {
			c.handOver()
		} else {
			c.handOverToNextSuccessor()
		}
	case lingering:
		if elapsed >= c.self.Linger {
			// Feeds remain only if no other instance could take them.
			c.feeds.Sweep(c.feeds.Len(), c.endFeed)
			c.membership.Fire(member.Leave)
			c.enterPhase(leaving)
		}
	case leaving:
		if elapsed >= announceDuration {
			c.exit()
		}
	}
}

func (c *Core) enterPhase(p stopPhase) {
	c.stop.phase, c.stop.since = p, c.now
	c.log("stop-phase", "phase="+p.String())
}

// String returns the name of the phase for logs.
func (p stopPhase) String() string {
	return [...]string{"running", "draining", "handing-over", "lingering", "leaving"}[p]
}

func (c *Core) exit() {
	c.exited = true
	c.emit(Exit)
}

// handOverToNextSuccessor starts the handover of the admission table to the
// next candidate. Without a successor, other instances respond "outcome
// unknown" to requests with tokens of this instance.
func (c *Core) handOverToNextSuccessor() {
	candidates := slices.DeleteFunc(c.otherInstances(), func(id ids.Instance) bool {
		return slices.Contains(c.stop.triedSuccessors, id) || c.incarnations[id] == 0
	})
	if len(candidates) == 0 && c.now.Sub(c.stop.since) < successorTimeout && c.mayGetSuccessor() {
		c.stop.successor, c.stop.triedSuccessors, c.stop.lastSent = "", nil, c.now
		return
	}
	if len(candidates) == 0 {
		c.log("no-successor", "entries="+decimal(uint64(c.admissions.Len())))
		c.enterPhase(lingering)
		return
	}
	nodes := make([]uint64, len(candidates))
	for i, id := range candidates {
		nodes[i] = ids.Hash(string(id))
	}
	c.stop.successor = candidates[ids.Rank(nil, nodes, uint64(c.self.Incarnation), 1)[0]]
	c.stop.triedSuccessors = append(c.stop.triedSuccessors, c.stop.successor)
	c.stop.handoverTries = 0
	c.handOver()
}

// mayGetSuccessor reports whether another instance may become a successor.
func (c *Core) mayGetSuccessor() bool {
	return slices.ContainsFunc(c.membership.Members(), func(m peerwire.Member) bool {
		return m.ID != c.self.ID && m.Lifecycle <= peerwire.Serving
	})
}

// handOver sends all parts of the admission table to the successor.
func (c *Core) handOver() {
	c.stop.handoverTries++
	c.stop.lastSent = c.now
	for _, p := range c.stop.admissionParts {
		c.admissions.StampClocks(c.now, p)
		b := c.newPeerMessage(nil)
		b.message.AdmissionMove = p
		c.sendPeerMessage(c.stop.successor, b)
	}
}

// handleAdmissionMove imports a part of the admission table of a stopping
// instance.
func (c *Core) handleAdmissionMove(from ids.Instance, m *peerwire.AdmissionMove) {
	if !c.accepting() {
		return // the sender will try another instance
	}
	complete, err := c.admissions.Import(c.now, m)
	if err != nil {
		c.counters.Malformed++
		c.log("handover-refused", "from="+string(from)+" error="+err.Error())
		return
	}
	if complete {
		b := c.newPeerMessage(nil)
		b.message.AdmissionMoved = &peerwire.AdmissionMoved{Incarnations: m.Incarnations}
		c.sendPeerMessage(from, b)
	}
}

// handleAdmissionMoved handles the acknowledgement of the successor.
func (c *Core) handleAdmissionMoved(from ids.Instance, m *peerwire.AdmissionMoved) {
	if c.stop.phase != handingOver || from != c.stop.successor || from == "" || !slices.Contains(m.Incarnations, c.self.Incarnation) {
		return
	}
	c.membership.SetSuccessor(c.incarnations[from])
	c.enterPhase(lingering)
}
