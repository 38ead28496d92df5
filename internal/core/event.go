package core

import (
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/message"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

// CallerEvent is a datagram from a caller that arrived on a service.
type CallerEvent struct {
	Service ids.Service
	Caller  ids.Endpoint
	Message *message.Message
}

// BackendEvent is a datagram from a backend server.
type BackendEvent struct {
	From    ids.Endpoint
	Message *message.Message
}

// PeerEvent is a message from another instance. RelayedDatagram is the decoded
// datagram when the message is a Relay.
type PeerEvent struct {
	Message         *peerwire.Message
	RelayedDatagram *message.Message
}

// ConfigEvent is the result of reading the platform, the external store of the
// configuration: the documents published after the requested revision, in order
// of revision. If the read failed, Err is set and the other fields are empty.
type ConfigEvent struct {
	Documents []Publication
	Revision  ids.Revision // latest revision of the platform
	Err       error
}

// Publication is one version of a configuration document as read from the
// platform.
type Publication struct {
	Key      string
	Revision ids.Revision
	Value    []byte // nil when the key was deleted
}

// InstancesEvent is the platform's list of instances.
type InstancesEvent struct {
	Instances []ListedInstance
}

// ListedInstance is one entry of the platform's list.
type ListedInstance struct {
	ID         ids.Instance
	DataCentre ids.DataCentre
	PeerAddr   string // IP:port of its link listener
	Leaving    bool
}

// HealthEvent is the result of a health check.
type HealthEvent struct {
	Service  ids.Service
	Target   ids.Target
	Healthy  bool
	Draining bool
	Load     float64 // reported share of slots in use, 0 to 1; negative when absent
	Duration time.Duration
}
