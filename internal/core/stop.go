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
	running   stopPhase = iota
	draining            // requests complete, feeds move
	handing             // the admission table is handed over
	lingering           // late datagrams are relayed
	leaving             // departure is announced
)

const (
	// feedLimit bounds the wait for feeds to move.
	feedLimit = 15 * time.Second
	// handRetry is the time after which the parts of the admission table are
	// sent again, and handTries the times before another successor is asked.
	handRetry = time.Second
	handTries = 3
	// handLimit bounds the search for a successor while other instances are
	// known: one may be joining, or suspected for a moment.
	handLimit = 10 * time.Second
	// announceFor lets at least one heartbeat carry the departure.
	announceFor = 1200 * time.Millisecond
)

type stopping struct {
	phase     stopPhase
	since     ids.Time // start of the phase
	parts     []*peerwire.AdmissionMove
	successor ids.Instance
	asked     []ids.Instance
	tries     int
	sent      ids.Time
}

// Stop starts the planned stop of this instance. Exit follows when it is
// complete.
func (c *Core) Stop(now ids.Time, out *Effects) {
	c.begin(now, out)
	if c.stop.phase != running || c.exited {
		return
	}
	c.stop = stopping{phase: draining, since: c.now}
	c.view.Fire(member.Stop)
	c.admissions.Close()
	// This instance keeps its slots until its requests have completed. Homes
	// and owners are computed without it from now on.
	c.routes = spread.NewTable(c.self.ID, c.self.DataCentre, 0)
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		if s := c.services[name]; !s.removed {
			c.routes.SetService(c.now, s.config)
		}
	}
	c.routes.SetInstances(c.now, c.others())
	c.generation++
	c.log("stopping", "requests="+decimal(uint64(len(c.live)))+" feeds="+decimal(uint64(c.feeds.Len())))
}

func decimal(v uint64) string { return strconv.FormatUint(v, 10) }

// tickStop advances a planned stop.
func (c *Core) tickStop() {
	elapsed := c.now.Sub(c.stop.since)
	switch c.stop.phase {
	case draining:
		alone := len(c.others()) == 0
		moved := c.feeds.Len() == 0 || alone || elapsed > feedLimit
		acked := len(c.confirmList) == 0 || elapsed > c.self.Linger
		if len(c.live) == 0 && moved && acked {
			c.stop.parts = c.admissions.Export(c.now)
			c.enter(handing)
			c.nextSuccessor()
		}
	case handing:
		if c.now.Sub(c.stop.sent) < handRetry {
			return
		}
		if c.stop.successor != "" && c.stop.tries < handTries {
			c.handOver()
		} else {
			c.nextSuccessor()
		}
	case lingering:
		if elapsed >= c.self.Linger {
			// Feeds are left only if no other instance could take them.
			c.feeds.Sweep(c.feeds.Len(), c.endFeed)
			c.view.Fire(member.Leave)
			c.enter(leaving)
		}
	case leaving:
		if elapsed >= announceFor {
			c.leave()
		}
	}
}

func (c *Core) enter(p stopPhase) {
	c.stop.phase, c.stop.since = p, c.now
	c.log("stop-phase", "phase="+p.String())
}

// String returns the name of the phase for logs.
func (p stopPhase) String() string {
	return [...]string{"running", "draining", "handing-over", "lingering", "leaving"}[p]
}

func (c *Core) leave() {
	c.exited = true
	c.emit(Exit)
}

// nextSuccessor asks the next instance to take the admission table. Without
// one, peers answer "outcome unknown" for the tokens of this instance.
func (c *Core) nextSuccessor() {
	candidates := slices.DeleteFunc(c.others(), func(id ids.Instance) bool {
		return slices.Contains(c.stop.asked, id) || c.runs[id] == 0
	})
	if len(candidates) == 0 && c.now.Sub(c.stop.since) < handLimit && c.othersKnown() {
		c.stop.successor, c.stop.asked, c.stop.sent = "", nil, c.now
		return
	}
	if len(candidates) == 0 {
		c.log("no-successor", "entries="+decimal(uint64(c.admissions.Len())))
		c.enter(lingering)
		return
	}
	nodes := make([]uint64, len(candidates))
	for i, id := range candidates {
		nodes[i] = ids.Hash(string(id))
	}
	c.stop.successor = candidates[ids.Rank(nil, nodes, uint64(c.self.Incarnation), 1)[0]]
	c.stop.asked = append(c.stop.asked, c.stop.successor)
	c.stop.tries = 0
	c.handOver()
}

// othersKnown reports whether another instance may become a successor.
func (c *Core) othersKnown() bool {
	return slices.ContainsFunc(c.view.Members(), func(m peerwire.Member) bool {
		return m.ID != c.self.ID && m.Lifecycle <= peerwire.Serving
	})
}

// handOver sends all parts of the admission table to the successor.
func (c *Core) handOver() {
	c.stop.tries++
	c.stop.sent = c.now
	for _, p := range c.stop.parts {
		c.admissions.StampClocks(c.now, p)
		b := c.peer(nil)
		b.message.AdmissionMove = p
		c.send(c.stop.successor, b)
	}
}

// admissionMove takes a part of the admission table of a stopping instance.
func (c *Core) admissionMove(from ids.Instance, m *peerwire.AdmissionMove) {
	if !c.accepting() {
		return // the sender asks another instance
	}
	complete, err := c.admissions.Import(c.now, m)
	if err != nil {
		c.counts.Malformed++
		c.log("handover-refused", "from="+string(from)+" error="+err.Error())
		return
	}
	if complete {
		b := c.peer(nil)
		b.message.AdmissionMoved = &peerwire.AdmissionMoved{Incarnations: m.Incarnations}
		c.send(from, b)
	}
}

// admissionMoved handles the acknowledgement of the successor.
func (c *Core) admissionMoved(from ids.Instance, m *peerwire.AdmissionMoved) {
	if c.stop.phase != handing || from != c.stop.successor || from == "" || !slices.Contains(m.Incarnations, c.self.Incarnation) {
		return
	}
	c.view.SetSuccessor(c.runs[from])
	c.enter(lingering)
}
