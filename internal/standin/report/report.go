// Package report evaluates the counters of the stand-ins against the guarantees of
// the design. It uses no counters of arbutusdock itself.
package report

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/standin/wire"
)

// Names of the events that Evaluate uses. It ignores all others.
const (
	StopBegin = "stop-begin" // SIGTERM sent to an instance
	StopEnd   = "stop-end"   // that instance has exited
	Kill      = "kill"       // an instance was killed
)

const (
	// killWindowBefore and killWindowAfter delimit the start of a feed interruption
	// that is attributed to the kill of an instance. An interruption starts at the
	// last reading, up to one reading interval before the kill.
	killWindowBefore = 2 * time.Second
	killWindowAfter  = 5 * time.Second
	// maxRecoveryTime is the time within which such a feed must have recovered.
	maxRecoveryTime = 15 * time.Second
	// minAnsweredShare is the fraction of the operations of a class that must have
	// succeeded, so that a run in which everything is refused does not pass.
	minAnsweredShare = 0.95
)

// Event is an action of the demo or of a test.
type Event struct {
	At   int64 // Unix time in milliseconds
	Name string
	Note string
}

// Input holds the counters and events of one run.
type Input struct {
	Backends []wire.BackendCounts
	Callers  []wire.CallerResult
	Events   []Event
}

// Verdict holds the result of an evaluation: the number of violations of each
// guarantee.
type Verdict struct {
	BrokenFeeds         int // feed interruptions that no kill permits
	Misdelivered        int // requests at a wrong service, and responses with wrong content
	DuplicateExecutions int // non-idempotent operations that ran more than once
	LostAnswers         int // operations without a complete response in time
	FalseRefusals       int // requests that ran although they were refused as not run
	FailedByPlannedStop int // failures during the planned stop of an instance, other than refusals
	// AllowedBreaks counts feed interruptions that are permitted because an instance
	// was killed and the feed recovered in time.
	AllowedBreaks int
	// WastedExecutions counts requests that were told to retry although they had
	// run. This violates no guarantee: only idempotent requests get such a response,
	// and the response does not state whether they ran. But their results were not
	// used.
	WastedExecutions int
	// WastedCopies counts such requests that the caller may have sent more than once.
	// An instance that receives a copy cannot know that another one runs the request.
	WastedCopies int
	// LateWork counts requests and feeds that a backend server got more than 5 s
	// after the start of its drain, and feeds still open there at the end of the
	// grace period.
	LateWork int
	// Details describes the violations counted above and other failures.
	Details []string
}

// OK reports whether all guarantees were met.
func (v *Verdict) OK() bool { return len(v.Details) == 0 }

// Line returns the numbers of violations in one line.
func (v *Verdict) Line() string {
	return fmt.Sprintf("broken_flows=%d crossed=%d doubled=%d lost_answers=%d false_refusals=%d cut_by_planned_stop=%d",
		v.BrokenFeeds, v.Misdelivered, v.DuplicateExecutions, v.LostAnswers, v.FalseRefusals, v.FailedByPlannedStop)
}

func (v *Verdict) addViolation(counter *int, format string, args ...any) {
	*counter++
	v.Details = append(v.Details, fmt.Sprintf(format, args...))
}

// ParseEvents reads events from lines of the form "unix-ms name note".
func ParseEvents(r io.Reader) ([]Event, error) {
	var events []Event
	s := bufio.NewScanner(r)
	for s.Scan() {
		f := strings.SplitN(s.Text(), " ", 3)
		if len(f) < 2 {
			continue
		}
		at, err := strconv.ParseInt(f[0], 10, 64)
		if err != nil {
			return nil, eris.Wrapf(err, "parse time of event %q", s.Text())
		}
		e := Event{At: at, Name: f[1]}
		if len(f) == 3 {
			e.Note = f[2]
		}
		events = append(events, e)
	}
	return events, eris.Wrap(s.Err(), "read events")
}

// Evaluate checks the counters against the guarantees.
func Evaluate(in Input) Verdict {
	var v Verdict
	runs := map[string]wire.ExecutionCounts{}
	for _, b := range in.Backends {
		maps.Copy(runs, b.Executions)
		for name, t := range b.Targets {
			if t.WrongService > 0 {
				v.Misdelivered += t.WrongService - 1
				v.addViolation(&v.Misdelivered, "crossed: %d requests of another service at %s", t.WrongService, name)
			}
			if n := t.LateWork + t.FeedsClosedByDrain; n > 0 {
				v.LateWork += n - 1
				v.addViolation(&v.LateWork, "draining backend server %s: %d times new work late in the drain, %d feeds open at its end", name, t.LateWork, t.FeedsClosedByDrain)
			}
		}
	}
	v.checkExecutions(runs)
	for _, c := range in.Callers {
		for _, id := range c.Refused {
			if runs[id].Count > 0 {
				v.addViolation(&v.FalseRefusals, "false refusal: %s was refused as not run but ran (post=%t)", id, runs[id].Post)
			}
		}
		for _, id := range c.Deferred {
			if runs[id].Count > 0 {
				v.WastedExecutions++
			}
		}
		for _, id := range c.DeferredCopies {
			if runs[id].Count > 0 {
				v.WastedCopies++
			}
		}
		v.checkFailures(c.Failures, in.Events)
		for _, name := range slices.Sorted(maps.Keys(c.Classes)) {
			class := c.Classes[name]
			if isFeed(name) || name == "outcome query" {
				continue
			}
			if float64(class.OK) < minAnsweredShare*float64(class.Started) || class.Started == 0 {
				v.Details = append(v.Details, fmt.Sprintf("service: only %d of %d answered in class %s", class.OK, class.Started, name))
			}
		}
	}
	return v
}

// checkExecutions counts non-idempotent operations that ran more than once.
func (v *Verdict) checkExecutions(runs map[string]wire.ExecutionCounts) {
	ops := map[string]int{}
	for s, r := range runs {
		if id, err := wire.ParseID(s); err == nil && r.Post {
			ops[id.OperationID()] += r.Count
		}
	}
	for _, op := range slices.Sorted(maps.Keys(ops)) {
		if ops[op] > 1 {
			v.addViolation(&v.DuplicateExecutions, "doubled: %s ran %d times", op, ops[op])
		}
	}
}

func (v *Verdict) checkFailures(failures []wire.Failure, events []Event) {
	type feedKill struct {
		feed string
		kill int64
	}
	excused := map[feedKill]bool{} // each kill permits one interruption of each feed
	for _, f := range failures {
		duringStop, kills := overlappingEvents(f, events)
		description := fmt.Sprintf("%s %s %s from %d to %d: %s", f.Kind, f.Class, f.ID, f.Start, f.End, f.Detail)
		causedByStop := duringStop && len(kills) == 0
		switch f.Kind {
		case wire.KindWrongContent:
			v.addViolation(&v.Misdelivered, "%s", description)
			causedByStop = false
		case wire.KindLost:
			v.addViolation(&v.LostAnswers, "%s", description)
		case wire.KindFeedEnded, wire.KindFeedSilent:
			feed := f.ID[:strings.LastIndex(f.ID, ".")]
			killIndex := slices.IndexFunc(kills, func(at int64) bool { return !excused[feedKill{feed, at}] })
			if killIndex >= 0 && f.End != 0 && f.End-f.Start <= maxRecoveryTime.Milliseconds() {
				excused[feedKill{feed, kills[killIndex]}] = true
				v.AllowedBreaks++
			} else {
				v.addViolation(&v.BrokenFeeds, "%s", description)
			}
		case wire.KindFailed:
			v.Details = append(v.Details, description)
		case wire.KindRefused:
			causedByStop = false // refusals under load are correct; minAnsweredShare limits them instead
		}
		if causedByStop {
			v.addViolation(&v.FailedByPlannedStop, "cut by planned stop: %s", description)
		}
	}
}

// overlappingEvents reports whether a failure overlaps a planned stop, and returns
// the times of the kills that can have caused it.
func overlappingEvents(f wire.Failure, events []Event) (duringStop bool, kills []int64) {
	end := f.End
	if end == 0 {
		end = 1 << 62
	}
	stopBegin := map[string]int64{} // by instance, from the note of the event; stops can overlap
	for _, e := range events {
		switch e.Name {
		case StopBegin:
			stopBegin[e.Note] = e.At
		case StopEnd:
			duringStop = duringStop || f.Start <= e.At && end >= stopBegin[e.Note]
		case Kill:
			from, to := e.At-killWindowBefore.Milliseconds(), e.At+killWindowAfter.Milliseconds()
			if f.Start <= to && (end >= from && !isFeed(f.Class) || f.Start >= from && isFeed(f.Class)) {
				kills = append(kills, e.At)
			}
		}
	}
	return duringStop, kills
}

func isFeed(class string) bool { return strings.HasSuffix(class, "feed") }

// Write prints the tables, the permitted interruptions, the violations and the
// verdict.
func Write(w io.Writer, in Input, v Verdict) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "user\tclass\tstarted\tok\trefused\tunknown\tlost\twrong\tfailed\tcomebacks\trepeats\tp50 ms\tp99 ms\tmax ms\t")
	ms := func(us int64) string { return strconv.FormatFloat(float64(us)/1000, 'f', 1, 64) }
	for _, c := range in.Callers {
		for _, name := range slices.Sorted(maps.Keys(c.Classes)) {
			class := c.Classes[name]
			if isFeed(name) {
				continue
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", c.User, name, class.Started, class.OK, class.Refused,
				class.Unknown, class.Lost, class.WrongContent, class.Failed, class.Retries, class.Resends, ms(class.P50), ms(class.P99), ms(class.Max))
		}
	}
	fmt.Fprintln(t, "\nuser\tfeeds opened\treadings\tmissing\trepeated\tolder\trefreshes\tbreaks\t")
	for _, c := range in.Callers {
		f := c.Feeds
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", c.User, f.Opened, f.Readings, f.Missing, f.Repeated, f.OutOfOrder, f.Refreshes, f.Breaks)
	}
	fmt.Fprintln(t, "\nservice\trequests\truns\tshed\tcancelled\texpired\tforeign\tfeeds cut\tlate work\t")
	sum := map[string]wire.TargetCounts{}
	for _, b := range in.Backends {
		for _, n := range b.Targets {
			s := sum[n.Service]
			s.Requests, s.Executions, s.Shed = s.Requests+n.Requests, s.Executions+n.Executions, s.Shed+n.Shed
			s.Cancelled, s.Expired, s.WrongService = s.Cancelled+n.Cancelled, s.Expired+n.Expired, s.WrongService+n.WrongService
			s.FeedsClosedByDrain, s.LateWork = s.FeedsClosedByDrain+n.FeedsClosedByDrain, s.LateWork+n.LateWork
			sum[n.Service] = s
		}
	}
	for _, name := range slices.Sorted(maps.Keys(sum)) {
		s := sum[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", name, s.Requests, s.Executions, s.Shed, s.Cancelled, s.Expired, s.WrongService, s.FeedsClosedByDrain, s.LateWork)
	}
	if err := t.Flush(); err != nil {
		return eris.Wrap(err, "write table")
	}
	fmt.Fprintf(w, "\nallowed breaks: %d feeds whose last reading was between %s before and %s after the killing of an instance broke once and came back within %s\n",
		v.AllowedBreaks, killWindowBefore, killWindowAfter, maxRecoveryTime)
	fmt.Fprintf(w, "wasted: %d requests were told to come back although they had run, and %d of which the caller may have sent copies\n", v.WastedExecutions, v.WastedCopies)
	for i, d := range v.Details {
		if i == 40 {
			fmt.Fprintf(w, "... and %d more\n", len(v.Details)-i)
			break
		}
		fmt.Fprintln(w, d)
	}
	result := "ok"
	if !v.OK() {
		result = "failed"
	}
	_, err := fmt.Fprintf(w, "%s\ndemo: %s\n", v.Line(), result)
	return eris.Wrap(err, "write verdict")
}
