package chart

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// file is the content of a chart file.
type file struct {
	Name    string      `toml:"name"`
	Initial string      `toml:"initial"`
	States  []fileState `toml:"state"`
}

// fileState is a state in a chart file. On holds its transitions by event.
type fileState struct {
	Name  string                    `toml:"name"`
	Final bool                      `toml:"final"`
	On    map[string]fileTransition `toml:"on"`
}

// fileTransition is a transition in a chart file.
type fileTransition struct {
	To      string   `toml:"to"`
	Actions []string `toml:"actions"`
}

// Load compiles the chart in data and binds it to names. The error is an
// *Error that lists every fault of a file that is valid TOML, or the error of
// the TOML decoder.
func Load(data []byte, names Names) (*Chart, error) {
	var f file
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			return nil, fmt.Errorf("decode chart: unknown keys:\n%s", unknown.String())
		}
		return nil, fmt.Errorf("decode chart: %w", err)
	}
	l := loader{names: names, file: &f}
	c := l.compile()
	if len(l.faults) > 0 {
		slices.Sort(l.faults)
		return nil, &Error{Chart: f.Name, Faults: l.faults}
	}
	return c, nil
}

// MustLoad is Load for charts that are embedded in the program. It panics if
// the chart is invalid, which the tests of the embedding package rule out.
func MustLoad(data []byte, names Names) *Chart {
	c, err := Load(data, names)
	if err != nil {
		panic(err)
	}
	return c
}

// loader compiles a chart file and collects its faults.
type loader struct {
	names  Names
	file   *file
	faults []string
}

func (l *loader) fault(format string, a ...any) {
	l.faults = append(l.faults, fmt.Sprintf(format, a...))
}

// index returns the index of name in list, or -1 with a fault recorded for where.
func (l *loader) index(list []string, name, kind, where string) int {
	i := slices.Index(list, name)
	if i < 0 {
		l.fault("%s: unknown %s %q, allowed: %v", where, kind, name, list)
	}
	return i
}

func (l *loader) compile() *Chart {
	if l.file.Name == "" {
		l.fault("name: missing")
	}
	if n := len(l.names.States); n == 0 || n > 255 || len(l.names.Events) > 255 || len(l.names.Actions) > 255 {
		l.fault("names: need 1 to 255 states and at most 255 events and actions")
		return nil
	}
	c := &Chart{name: l.file.Name, names: l.names}
	c.transitions = make([]transition, len(l.names.States)*len(l.names.Events))
	if i := l.index(l.names.States, l.file.Initial, "state", "initial"); i >= 0 {
		c.initial = State(i)
	}
	defined := make([]bool, len(l.names.States))
	usedEvents := make([]bool, len(l.names.Events))
	for _, s := range l.file.States {
		l.addState(c, s, defined, usedEvents)
	}
	for i, ok := range defined {
		if !ok {
			l.fault("state %s: missing", l.names.States[i])
		}
	}
	for i, ok := range usedEvents {
		if !ok {
			l.fault("event %s: no transition", l.names.Events[i])
		}
	}
	if len(l.faults) == 0 {
		l.checkReachable(c)
	}
	return c
}

// addState adds the transitions of s to c and marks the state in defined and its
// events in usedEvents.
func (l *loader) addState(c *Chart, s fileState, defined, usedEvents []bool) {
	where := "state " + s.Name
	from := l.index(l.names.States, s.Name, "state", where)
	if from < 0 {
		return
	}
	if defined[from] {
		l.fault("%s: defined twice", where)
	}
	defined[from] = true
	if s.Final && len(s.On) > 0 {
		l.fault("%s: a final state has no transitions", where)
	}
	if !s.Final && len(s.On) == 0 {
		l.fault("%s: no transition and not final", where)
	}
	for event, target := range s.On {
		where := where + " on " + event
		e := l.index(l.names.Events, event, "event", where)
		to := l.index(l.names.States, target.To, "state", where)
		t := transition{defined: true, to: State(max(to, 0))}
		for _, a := range target.Actions {
			t.actions = append(t.actions, Action(max(l.index(l.names.Actions, a, "action", where), 0)))
		}
		if e >= 0 {
			usedEvents[e] = true
			c.transitions[from*len(l.names.Events)+e] = t
		}
	}
}

// checkReachable records a fault for every state that cannot be reached from the
// initial state.
func (l *loader) checkReachable(c *Chart) {
	reached := make([]bool, len(l.names.States))
	pending := []State{c.initial}
	for len(pending) > 0 {
		s := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if reached[s] {
			continue
		}
		reached[s] = true
		for e := range l.names.Events {
			if t := c.transitions[int(s)*len(l.names.Events)+e]; t.defined {
				pending = append(pending, t.to)
			}
		}
	}
	for s, ok := range reached {
		if !ok {
			l.fault("state %s: not reachable from %s", l.names.States[s], l.file.Initial)
		}
	}
}
