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

// EffectKind is the type of an Effect.
type EffectKind uint8

// Kinds of effects.
const (
	ToCaller    EffectKind = iota // send Datagram from the address of Service to Endpoint
	ToBackend                     // send Datagram to the backend server at Endpoint
	ToPeer                        // send PeerMessage to Instance
	CheckHealth                   // probe URL and pass the result for Service and Target to HandleHealth
	WatchConfig                   // read the changes after Revision from the platform; if Watch is set, wait until there is one
	Span                          // record a trace span for Stage
	Log                           // write one log line
	Exit                          // end the process
)

// Stage is a traced step in the handling of a request.
type Stage uint8

// Stages of a request.
const (
	Received Stage = iota
	Relayed
	Admitted
	Dispatched
	Answered
)

// Effect is one action for the caller of the core to carry out. Which fields
// are set depends on Kind. All memory that it refers to, including the peer
// message and its strings, is valid until the next call of the core.
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

// Effects collects the effects of a call of the core. The caller of the core
// resets and reuses it.
type Effects struct {
	List []Effect
}

// Reset empties the list and keeps its memory.
func (e *Effects) Reset() {
	clear(e.List)
	e.List = e.List[:0]
}
