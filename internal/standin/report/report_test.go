package report

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/standin/wire"
)

func answeredClasses() map[string]*wire.ClassCounts {
	return map[string]*wire.ClassCounts{"claim": {Started: 100, OK: 99}}
}

// Guards against a verdict that misses the violation of a guarantee, or that counts
// permitted behaviour as a violation.
func TestEvaluate(t *testing.T) {
	events, err := ParseEvents(strings.NewReader("10000 stop-begin dc1-1\n14000 stop-end dc1-1\n20000 kill dc1-2\n"))
	assert.NilError(t, err)
	in := Input{Events: events}
	in.Backends = []wire.BackendCounts{{
		Targets: map[string]wire.TargetCounts{"counter/c1": {Service: "counter", WrongService: 2}},
		Executions: map[string]wire.ExecutionCounts{
			"counter.a.1.1": {Count: 1, Post: true}, "counter.a.1.2": {Count: 1, Post: true}, // two attempts of the same claim
			"counter.a.2.1": {Count: 3}, // a GET may run several times
		},
	}}
	in.Callers = []wire.CallerResult{{
		Classes: answeredClasses(),
		Refused: []string{"counter.a.1.1", "counter.a.9.1"},
		Failures: []wire.Failure{
			{ID: "alarm.f.1.1", Class: "alarm feed", Kind: wire.KindFeedSilent, Start: 19900, End: 24000}, // caused by the kill
			{ID: "alarm.f.1.2", Class: "alarm feed", Kind: wire.KindFeedSilent, Start: 24500, End: 26000}, // second interruption after the same kill
			{ID: "alarm.f.2.1", Class: "alarm feed", Kind: wire.KindFeedSilent, Start: 19900},             // never recovered
			{ID: "alarm.f.3.1", Class: "alarm feed", Kind: wire.KindFeedEnded, Start: 12000, End: 12500},
			{ID: "counter.a.3.1", Class: "claim", Kind: wire.KindUnknown, Start: 13000, End: 13100},
			{ID: "counter.a.4.1", Class: "claim", Kind: wire.KindUnknown, Start: 20100, End: 20300},
			{ID: "counter.a.5.1", Class: "claim", Kind: wire.KindRefused, Start: 13000, End: 13100},
			{ID: "counter.a.6.1", Class: "claim", Kind: wire.KindLost, Start: 1000, End: 2000},
		},
	}}
	v := Evaluate(in)
	assert.Equal(t, v.Line(), "broken_flows=3 crossed=2 doubled=1 lost_answers=1 false_refusals=1 cut_by_planned_stop=2")
	assert.Equal(t, v.AllowedBreaks, 1)
	assert.Assert(t, !v.OK())
}

// Guards against permitting a second interruption of a feed because of the same
// kill, and against confusing the ends of two overlapping planned stops.
func TestEvaluateSeveralKillsAndStops(t *testing.T) {
	events := []Event{{At: 10_000, Name: Kill}, {At: 10_500, Name: Kill}, {At: 30_000, Name: Kill}, {At: 50_000, Name: StopBegin, Note: "a"},
		{At: 52_000, Name: StopBegin, Note: "b"}, {At: 53_000, Name: StopEnd, Note: "a"}, {At: 54_000, Name: StopEnd, Note: "b"}}
	feedBreak := func(start int64) wire.Failure {
		return wire.Failure{ID: "alarm.f.1.1", Class: "alarm feed", Kind: wire.KindFeedSilent, Start: start, End: start + 1000}
	}
	v := Evaluate(Input{Events: events, Callers: []wire.CallerResult{{Failures: []wire.Failure{feedBreak(10_000), feedBreak(11_500), feedBreak(30_000)}}}})
	assert.Equal(t, v.AllowedBreaks, 3) // the first two interruptions match both early kills: one for each kill
	assert.Equal(t, v.BrokenFeeds, 0)
	v = Evaluate(Input{Events: events, Callers: []wire.CallerResult{{Failures: []wire.Failure{feedBreak(10_000), feedBreak(11_500), feedBreak(13_000)}}}})
	assert.Equal(t, v.BrokenFeeds, 1)
	v = Evaluate(Input{Events: events, Callers: []wire.CallerResult{{Failures: []wire.Failure{{Class: "claim", Kind: wire.KindUnknown, Start: 50_500, End: 51_000}}}}})
	assert.Equal(t, v.FailedByPlannedStop, 1)
}

// Guards against a demo that passes although few requests were answered.
func TestEvaluateRequiresAnswers(t *testing.T) {
	v := Evaluate(Input{Callers: []wire.CallerResult{{Classes: answeredClasses()}}})
	assert.Assert(t, v.OK(), "%v", v.Details)
	v = Evaluate(Input{Callers: []wire.CallerResult{{Classes: map[string]*wire.ClassCounts{"claim": {Started: 100, OK: 50}}}}})
	assert.Assert(t, !v.OK())
}

// Guards against a verdict on the events before a line that cannot be read, as if there
// were no others.
func TestUnreadableEventsAreAnError(t *testing.T) {
	_, err := ParseEvents(strings.NewReader("10000 kill dc1-1\n" + strings.Repeat("x", 1<<17) + "\n20000 kill dc1-2\n"))
	assert.ErrorContains(t, err, "read events")
}
