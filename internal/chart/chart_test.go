package chart

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

var testNames = Names{States: []string{"a", "b", "c"}, Events: []string{"go", "end"}, Actions: []string{"tell"}}

// Guards against faults in a chart file that are accepted or not reported.
func TestLoadListsAllFaults(t *testing.T) {
	_, err := Load([]byte(`
initial = "x"
[[state]]
name = "a"
[state.on.went]
to = "y"
actions = ["shout"]
[[state]]
name = "a"
final = true
[state.on.go]
to = "b"
[[state]]
name = "b"
`), testNames)
	var e *Error
	assert.Assert(t, errors.As(err, &e))
	assert.DeepEqual(t, e.Faults, []string{
		`event end: no transition`,
		`initial: unknown state "x", allowed: [a b c]`,
		`name: missing`,
		`state a on went: unknown action "shout", allowed: [tell]`,
		`state a on went: unknown event "went", allowed: [go end]`,
		`state a on went: unknown state "y", allowed: [a b c]`,
		`state a: a final state has no transitions`,
		`state a: defined twice`,
		`state b: no transition and not final`,
		`state c: missing`,
	})
	_, err = Load([]byte("nam = 1"), testNames)
	assert.ErrorContains(t, err, "1| nam = 1")
	_, err = Load([]byte("name='t'\ninitial='a'\n[[state]]\nname='a'\non.go.to='a'\non.end.to='b'\n"+
		"[[state]]\nname='b'\nfinal=true\n[[state]]\nname='c'\nfinal=true\n"), testNames)
	assert.ErrorContains(t, err, "state c: not reachable from a")
}

// Guards against a sequence of events that leads from draining back to serving,
// and against transitions that allocate memory.
func TestInstanceChart(t *testing.T) {
	pending := []State{InstanceDraining}
	seen := map[State]bool{}
	for len(pending) > 0 {
		s := pending[0]
		pending = pending[1:]
		for e := InstanceReady; e <= InstanceLeave; e++ {
			if to, _, ok := Instance.Next(s, e); ok && !seen[to] {
				seen[to] = true
				pending = append(pending, to)
			}
		}
	}
	assert.DeepEqual(t, seen, map[State]bool{InstanceDraining: true, InstanceGone: true})
	m := Instance.New()
	_, ok := m.Fire(InstanceLeave)
	assert.Assert(t, !ok && m.State() == InstanceJoining)
	assert.Equal(t, testing.AllocsPerRun(100, func() { m.Fire(InstanceReady); m.Fire(InstanceResume) }), 0.0)
}
