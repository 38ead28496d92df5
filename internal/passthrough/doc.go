// Package passthrough is the decision logic of layer-4 load balancing with direct
// server return: the instance forwards packets without reading their payload, and
// the backend server answers the caller directly. The package performs no I/O,
// reads no clock and starts no goroutines. The program that uses it supplies the
// time and carries out the decisions.
//
// In this package a caller is the client of a flow, and a target is one run of a
// backend server. An instance receives the packets from callers only. The first
// packet of a flow, which has SYN set, is its opening packet; the caller sends
// copies of it until it gets an answer. The instance places the new flow on a
// target and writes the target's routing cookie into the opening packet. Both ends
// echo the cookie, so every later packet identifies its target and any instance
// can forward it without shared state.
//
// The platform is the external service where backend servers publish their
// records and from which instances receive them.
//
// A Core is not safe for concurrent use.
package passthrough
