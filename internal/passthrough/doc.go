// Package passthrough decides what happens to packets of opaque flows: flows
// whose bytes only the caller and the backend server read, with backend servers
// that answer the caller directly. It has no I/O, clock or goroutines. The
// caller of the package injects the time and carries out the decisions.
//
// An instance sees the packets of callers only. It places a new flow on a
// target and writes the target's routing cookie into the opening packet. Both
// ends echo the cookie, so every later packet names its target and any instance
// can forward it without shared state.
//
// A Core is not safe for concurrent use.
package passthrough
