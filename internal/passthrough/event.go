package passthrough

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// EventKind is the type of an event.
type EventKind uint8

// Kinds of events.
const (
	ConfigApplied   EventKind = iota // a configuration version became active
	TargetChanged                    // the lifecycle state or address of a target changed
	TargetLapsed                     // the record of a target is missing after an outage of the platform
	TargetSuspected                  // a target is suspected to have failed and gets no new flows for a while
	TargetTrusted                    // a suspected target has proved that it is alive
	TargetChecked                    // a health check found a target replaced, unreachable or slow to answer
	EvacuationBegan                  // the targets of a data centre get no new flows
	EvacuationEnded                  // the targets of a data centre get new flows again
	IsolationBegan                   // no new flow reaches a target; the instance leaves the rotation
	IsolationEnded                   // a target has answered again
)

var eventNames = [...]string{"config-applied", "target-changed", "target-lapsed", "target-suspected", "target-trusted", "target-checked", "evacuation-began", "evacuation-ended", "isolation-began", "isolation-ended"}

func (k EventKind) String() string { return eventNames[k] }

// Event is a change of the state of a core. Fields that do not apply to its kind
// are zero.
type Event struct {
	Kind                EventKind
	Target              string
	Service             ids.Service
	Address             Endpoint
	Reason              string        // new lifecycle state, cause of the suspicion, or outcome of the health check
	Age                 time.Duration // time since the unanswered packet was sent, or the check, the evacuation or the isolation began
	DataCentre          ids.DataCentre
	Era, Revision       uint64 // position of the request for an evacuation
	Version, OldVersion uint64 // new and former configuration version
	Routes              int    // number of routes in the new version
}

// maxEvents bounds the events between two calls of TakeEvents, so that memory
// stays bounded if it is not called. Further events are discarded.
const maxEvents = 4096

func (c *Core) addEvent(e Event) {
	if len(c.events) < maxEvents {
		c.events = append(c.events, e)
	}
}

// TakeEvents calls f with each event since the last call and removes the events.
func (c *Core) TakeEvents(f func(Event)) {
	for _, e := range c.events {
		f(e)
	}
	c.events = c.events[:0]
}
