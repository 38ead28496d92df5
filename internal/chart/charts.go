package chart

import _ "embed" // the chart files

//go:embed charts/instance.toml
var instanceFile []byte

//go:embed charts/backend.toml
var backendFile []byte

//go:embed charts/suspicion.toml
var suspicionFile []byte

// States of the chart Instance. The values equal those of peerwire.Lifecycle.
const (
	InstanceJoining State = iota
	InstanceServing
	InstanceDraining
	InstanceGone
)

// Events of the chart Instance.
const (
	InstanceReady  Event = iota // membership and configuration are up to date
	InstanceResume              // the process was paused
	InstanceStop                // a planned stop begins
	InstanceLeave               // the planned stop is complete
)

// Actions of the chart Instance.
const (
	InstanceAnnounce Action = iota // gossip the new record at once
	InstanceRefresh                // fetch membership and configuration again
)

// Instance is the lifecycle chart of a load balancer instance.
var Instance = MustLoad(instanceFile, Names{
	States:  []string{"joining", "serving", "draining", "gone"},
	Events:  []string{"ready", "resume", "stop", "leave"},
	Actions: []string{"announce", "refresh"},
})

// States of the chart Backend.
const (
	BackendStarting State = iota
	BackendServing
	BackendDraining
	BackendGone
)

// Events of the chart Backend.
const (
	BackendReady   Event = iota // slow start is over
	BackendRestart              // recovered or no longer drained; slow start begins again
	BackendDrain                // drained by configuration or by its health endpoint
	BackendRemove               // removed from the configuration
)

// Backend is the lifecycle chart of a backend server.
var Backend = MustLoad(backendFile, Names{
	States: []string{"starting", "serving", "draining", "gone"},
	Events: []string{"ready", "restart", "drain", "remove"},
})

// States of the chart Suspicion.
const (
	Trusted State = iota
	Suspected
)

// Events of the chart Suspicion.
const (
	SuspicionSilent Event = iota // heartbeats are missing, or health checks or requests failed
	SuspicionRefute              // the instance or backend server has shown that it is alive
)

// SuspicionGossip is the only action of the chart Suspicion.
const SuspicionGossip Action = 0

// Suspicion is the chart of the suspicion that an instance or a backend server
// has failed.
var Suspicion = MustLoad(suspicionFile, Names{
	States:  []string{"trusted", "suspected"},
	Events:  []string{"silent", "refute"},
	Actions: []string{"gossip"},
})
