// Package core is the decision logic of one instance. It performs no I/O,
// starts no goroutine and reads no clock: every method takes the current time
// and appends the resulting effects to a list that the caller carries out.
package core

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

// Kind selects the meaning of an Effect.
type EffectKind uint8

// Kinds of effects.
const (
	ToCaller    EffectKind = iota // send Out from the address of Service to Endpoint
	ToBackend                     // send Out to the backend server at Endpoint
	ToPeer                        // send Peer to the instance Instance
	CheckHealth                   // probe URL and report the result as Health for Service, Target
	WatchConfig                   // read the platform for changes after Revision; wait for one if Watch
	Span                          // record the trace hop Hop
	Log                           // write one log line
	Exit                          // the graceful shutdown is complete
)

// Hop is a step of a request that is traced.
type Stage uint8

// Hops of a request.
const (
	Received Stage = iota
	Relayed
	Admitted
	Dispatched
	Answered
)

// Effect is one thing to do. Which fields are set depends on Kind. All memory
// that it refers to, the peer message and its strings included, is valid until
// the next call of the core.
type Effect struct {
	Kind        EffectKind
	Service     ids.Service
	Target      ids.Target
	Endpoint    ids.Endpoint
	Datagram    message.Outgoing
	Instance    ids.Instance
	PeerMessage *peerwire.Message
	URL         string
	Revision    ids.Revision
	Watch       bool
	Stage       Stage
	TraceID     uint64 // identifies the request within the instance
	Start       ids.Time
	Duration    time.Duration
	Event       string // log event name
	Detail      string // key=value detail of the log event
}

// Effects is the list that a call of the core appends to. The caller resets
// and reuses it.
type Effects struct {
	List []Effect
}

// Reset empties the list and keeps its memory.
func (e *Effects) Reset() {
	clear(e.List)
	e.List = e.List[:0]
}
