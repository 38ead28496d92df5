// Package report sums up what the stand-ins have counted and judges it against
// the promises of the design. It uses no count of the product itself.
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

// Events that Judge knows. Other names are listed only.
const (
	StopBegin = "stop-begin" // SIGTERM sent to an instance
	StopEnd   = "stop-end"   // that instance has exited
	Kill      = "kill"       // an instance was killed
)

const (
	// killBefore and killAfter delimit the start of a feed break that the killing
	// of an instance explains. A break starts at the last reading, up to one
	// reading interval before the kill.
	killWindowBefore = 2 * time.Second
	killWindowAfter  = 5 * time.Second
	// comeBack is the time within which such a feed must be back.
	maxRecoveryTime = 15 * time.Second
	// minAnswered is the share of the operations of a class that must have been
	// answered, so that refusing everything does not pass as keeping promises.
	minAnsweredShare = 0.95
)

// Event is something that the demo or a test did.
type Event struct {
	At   int64 // Unix time in milliseconds
	Name string
	Note string
}

// Input is everything that was counted.
type Input struct {
	Backends []wire.BackendCounts
	Callers  []wire.CallerResult
	Events   []Event
}

// Verdict holds the broken promises.
type Verdict struct {
	BrokenFeeds         int
	Misdelivered        int
	DuplicateExecutions int
	LostAnswers         int
	FalseRefusals       int
	FailedByPlannedStop int
	// AllowedBreaks are feeds that broke once when an instance was killed and
	// came back in time.
	AllowedBreaks int
	// Wasted are requests that were told to come back although they had run. No
	// promise is broken: only idempotent requests are told so, and nothing is said
	// of whether they ran. Their run served nobody.
	WastedExecutions int
	// LateWork is work given to a backend server more than 5 s into its drain,
	// and feeds still open there at the end of its grace period.
	LateWork int
	// Details explains what was counted above and what else failed.
	Details []string
}

// OK reports whether every promise was kept.
func (v *Verdict) OK() bool { return len(v.Details) == 0 }

// Line returns the counts in one line.
func (v *Verdict) Line() string {
	return fmt.Sprintf("broken_flows=%d crossed=%d doubled=%d lost_answers=%d false_refusals=%d cut_by_planned_stop=%d",
		v.BrokenFeeds, v.Misdelivered, v.DuplicateExecutions, v.LostAnswers, v.FalseRefusals, v.FailedByPlannedStop)
}

func (v *Verdict) addViolation(n *int, format string, args ...any) {
	*n++
	v.Details = append(v.Details, fmt.Sprintf(format, args...))
}

// ParseEvents reads lines of "unix-ms name note".
func ParseEvents(r io.Reader) ([]Event, error) {
	var events []Event
	for s := bufio.NewScanner(r); s.Scan(); {
		f := strings.SplitN(s.Text(), " ", 3)
		if len(f) < 2 {
			continue
		}
		at, err := strconv.ParseInt(f[0], 10, 64)
		if err != nil {
			return nil, eris.Wrapf(err, "event %q", s.Text())
		}
		e := Event{At: at, Name: f[1]}
		if len(f) == 3 {
			e.Note = f[2]
		}
		events = append(events, e)
	}
	return events, nil
}

// Judge compares the counts with the promises.
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
		v.checkFailures(c.Failures, in.Events)
		for _, name := range slices.Sorted(maps.Keys(c.Classes)) {
			k := c.Classes[name]
			if isFeed(name) || name == "outcome query" {
				continue
			}
			if float64(k.OK) < minAnsweredShare*float64(k.Started) || k.Started == 0 {
				v.Details = append(v.Details, fmt.Sprintf("service: only %d of %d answered in class %s", k.OK, k.Started, name))
			}
		}
	}
	return v
}

// judgeRuns counts operations that ran more than once although they must not.
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
	type allowed struct {
		feed string
		kill int64
	}
	broke := map[allowed]bool{} // a kill allows one break of each feed
	for _, f := range failures {
		stop, kills := overlappingEvents(f, events)
		what := fmt.Sprintf("%s %s %s from %d to %d: %s", f.Kind, f.Class, f.ID, f.Start, f.End, f.Detail)
		cut := stop && len(kills) == 0
		switch f.Kind {
		case wire.KindWrongContent:
			v.addViolation(&v.Misdelivered, "%s", what)
			cut = false
		case wire.KindLost:
			v.addViolation(&v.LostAnswers, "%s", what)
		case wire.KindFeedEnded, wire.KindFeedSilent:
			feed := f.ID[:strings.LastIndex(f.ID, ".")]
			unused := slices.IndexFunc(kills, func(at int64) bool { return !broke[allowed{feed, at}] })
			if unused >= 0 && f.End != 0 && f.End-f.Start <= maxRecoveryTime.Milliseconds() {
				broke[allowed{feed, kills[unused]}] = true
				v.AllowedBreaks++
			} else {
				v.addViolation(&v.BrokenFeeds, "%s", what)
			}
		case wire.KindFailed:
			v.Details = append(v.Details, what)
		case wire.KindRefused:
			cut = false // true refusals under load; the share answered is judged instead
		}
		if cut {
			v.addViolation(&v.FailedByPlannedStop, "cut by planned stop: %s", what)
		}
	}
}

// during reports whether a failure overlaps a planned stop, and the times at which
// instances were killed that explain it.
func overlappingEvents(f wire.Failure, events []Event) (stop bool, kills []int64) {
	end := f.End
	if end == 0 {
		end = 1 << 62
	}
	began := map[string]int64{} // by the instance, which the note names; stops may overlap
	for _, e := range events {
		switch e.Name {
		case StopBegin:
			began[e.Note] = e.At
		case StopEnd:
			stop = stop || f.Start <= e.At && end >= began[e.Note]
		case Kill:
			from, to := e.At-killWindowBefore.Milliseconds(), e.At+killWindowAfter.Milliseconds()
			if f.Start <= to && (end >= from && !isFeed(f.Class) || f.Start >= from && isFeed(f.Class)) {
				kills = append(kills, e.At)
			}
		}
	}
	return stop, kills
}

func isFeed(class string) bool { return strings.HasSuffix(class, "feed") }

// Write prints the table, the rules and the verdict.
func Write(w io.Writer, in Input, v Verdict) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "user\tclass\tstarted\tok\trefused\tunknown\tlost\twrong\tfailed\tcomebacks\trepeats\tp50 ms\tp99 ms\tmax ms\t")
	ms := func(us int64) string { return strconv.FormatFloat(float64(us)/1000, 'f', 1, 64) }
	for _, c := range in.Callers {
		for _, name := range slices.Sorted(maps.Keys(c.Classes)) {
			k := c.Classes[name]
			if isFeed(name) {
				continue
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t\n", c.User, name, k.Started, k.OK, k.Refused,
				k.Unknown, k.Lost, k.WrongContent, k.Failed, k.Retries, k.Resends, ms(k.P50), ms(k.P99), ms(k.Max))
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
	fmt.Fprintf(w, "wasted: %d requests were told to come back although they had run\n", v.WastedExecutions)
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
