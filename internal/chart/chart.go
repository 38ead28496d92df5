// Package chart implements state machines that are defined by state charts in
// TOML files. Loading a chart maps its names to the integer constants of the
// caller; afterwards a transition is one table look-up and does not allocate.
package chart

import (
	"fmt"
	"strings"
)

// State is the index of a state in the list of names given to Load.
type State uint8

// Event is the index of an event in the list of names given to Load.
type Event uint8

// Action is the index of an action in the list of names given to Load.
type Action uint8

// Names binds the names used in a chart file to integers: the value of a name
// is its index. The file must use every state and every event listed, and no
// other; it may leave actions unused.
type Names struct {
	States  []string
	Events  []string
	Actions []string
}

// Chart is a compiled state chart. It is immutable and may be shared.
type Chart struct {
	name        string
	names       Names
	initial     State
	transitions []transition // indexed by state*len(events)+event
}

// transition is the entry of the transition table for one state and event.
type transition struct {
	defined bool
	to      State
	actions []Action
}

// Name returns the name given in the chart file.
func (c *Chart) Name() string { return c.name }

// Initial returns the state in which a new machine starts.
func (c *Chart) Initial() State { return c.initial }

// Next returns the state after event e in state s and the actions of that
// transition. ok is false, and the state unchanged, when s has no transition for e.
// The caller must not change the returned slice.
func (c *Chart) Next(s State, e Event) (to State, actions []Action, ok bool) {
	if int(s) >= len(c.names.States) || int(e) >= len(c.names.Events) {
		return s, nil, false
	}
	t := &c.transitions[int(s)*len(c.names.Events)+int(e)]
	if !t.defined {
		return s, nil, false
	}
	return t.to, t.actions, true
}

// StateName returns the name of s.
func (c *Chart) StateName(s State) string {
	if int(s) < len(c.names.States) {
		return c.names.States[s]
	}
	return fmt.Sprintf("state %d", s)
}

// Machine is a state machine defined by a Chart.
type Machine struct {
	chart *Chart
	state State
}

// New returns a machine in the initial state of c.
func (c *Chart) New() Machine { return Machine{chart: c, state: c.initial} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Fire applies e and returns the actions of the transition. ok is false when
// the current state has no transition for e. Fire does not allocate.
func (m *Machine) Fire(e Event) (actions []Action, ok bool) {
	m.state, actions, ok = m.chart.Next(m.state, e)
	return actions, ok
}

// Error lists every fault found in a chart file.
type Error struct {
	Chart  string
	Faults []string
}

// Error returns one line per fault.
func (e *Error) Error() string {
	return fmt.Sprintf("chart %s: %d fault(s)\n  %s", e.Chart, len(e.Faults), strings.Join(e.Faults, "\n  "))
}
