// Package proof tests the invariants of docs/design.md section 1.2 on several
// real cores that are connected by simulated links and run on a virtual clock.
// It has no production code.
package proof
