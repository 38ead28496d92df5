package passthrough

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// EventKind tells what a core has learned.
type EventKind uint8

// Kinds of events.
const (
	ConfigApplied   EventKind = iota // a version came into force
	TargetChanged                    // lifecycle or address of a target
	TargetLapsed                     // the record is missing after an outage of the platform
	TargetSuspected                  // a target gets no new flows for a while
	TargetTrusted                    // a suspected target has shown that it is alive
	TargetChecked                    // a health check found it gone or out of reach
)

var eventNames = [...]string{"config-applied", "target-changed", "target-lapsed", "target-suspected", "target-trusted", "target-checked"}

func (k EventKind) String() string { return eventNames[k] }

// Event is one change of what a core believes. Fields that do not belong to its
// kind are zero.
type Event struct {
	Kind                EventKind
	Target              string
	Service             ids.Service
	Address             Endpoint
	Reason              string        // new state of the target, why it is suspected, or the outcome of a check
	Age                 time.Duration // of the evidence
	Version, OldVersion uint64        // of the configuration
	Routes              int           // routes
}

// eventLimit bounds the events between two calls of Events, so that a core
// whose events nobody takes does not grow.
const maxEvents = 4096

func (c *Core) addEvent(e Event) {
	if len(c.events) < maxEvents {
		c.events = append(c.events, e)
	}
}

// Events calls f with each event since the last call.
func (c *Core) TakeEvents(f func(Event)) {
	for _, e := range c.events {
		f(e)
	}
	c.events = c.events[:0]
}
