package follow

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"
)

// answer is what a source returns for one read.
type answer struct {
	update Update
	err    error
}

// script answers reads in turn and ends the follower after the last one.
type script struct {
	answers []answer
	calls   []string
	afters  []uint64
	waits   []time.Duration
	end     context.CancelFunc
}

func (s *script) next(ctx context.Context, call string, after uint64) (Update, error) {
	s.calls = append(s.calls, call)
	s.afters = append(s.afters, after)
	if len(s.answers) == 0 {
		s.end()
		<-ctx.Done()
		return Update{}, ctx.Err()
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a.update, a.err
}

func (s *script) ReadAll(ctx context.Context, _ time.Duration) (Update, error) {
	return s.next(ctx, "all", 0)
}

func (s *script) ReadChanges(ctx context.Context, after uint64, wait, _ time.Duration) (Update, error) {
	s.waits = append(s.waits, wait)
	return s.next(ctx, "changes", after)
}

func follow(t *testing.T, answers ...answer) (*script, []Update) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s := &script{answers: answers, end: cancel}
	var got []Update
	timing := Timing{Wait: time.Second, Interval: time.Millisecond, RetryMin: time.Millisecond, RetryMax: 2 * time.Millisecond}
	New(s, timing, func(u Update) { got = append(got, u) }, slog.New(slog.NewTextHandler(io.Discard, nil))).Run(ctx)
	return s, got
}

func target(name string, revision uint64) *Target { return &Target{Name: name, Revision: revision} }

// Guards against changes that are read from the wrong revision, and against a
// full read without need after an outage.
func TestResumeAfterOutage(t *testing.T) {
	down := eris.New("down")
	s, got := follow(t,
		answer{err: down},
		answer{update: Update{Complete: true, Revision: 5}},
		answer{update: Update{Revision: 7, Targets: []*Target{target("a", 7)}}},
		answer{err: down}, answer{err: down},
		answer{update: Update{Revision: 9}},
	)
	assert.DeepEqual(t, s.calls, []string{"all", "all", "changes", "changes", "changes", "changes", "changes"})
	assert.DeepEqual(t, s.afters, []uint64{0, 0, 5, 7, 7, 7, 9})
	assert.Equal(t, len(got), 3)
	// The end of an outage is noticed at once.
	assert.DeepEqual(t, s.waits, []time.Duration{time.Second, time.Second, 0, 0, time.Second})
	assert.Assert(t, got[0].AfterOutage && !got[1].AfterOutage && got[2].AfterOutage)
}

// Guards against lost history that leaves a gap.
func TestHistoryLost(t *testing.T) {
	s, got := follow(t,
		answer{update: Update{Complete: true, Revision: 5}},
		answer{err: eris.Wrap(ErrHistoryLost, "store")},
		answer{update: Update{Complete: true, Revision: 50}},
	)
	assert.DeepEqual(t, s.calls, []string{"all", "changes", "all", "changes"})
	assert.Assert(t, got[1].Complete && !got[1].AfterOutage)
}

// Guards against an older record that replaces a newer one: the pages of a full
// read overlap with the changes after it.
func TestOlderRecordsAreLeftOut(t *testing.T) {
	_, got := follow(t,
		answer{update: Update{Complete: true, Revision: 5, Targets: []*Target{target("a", 8), target("b", 3)}}},
		answer{update: Update{Revision: 9, Targets: []*Target{target("a", 6), target("a", 8), target("b", 9)}}},
	)
	assert.DeepEqual(t, got[1].Targets, []*Target{target("a", 8), target("b", 9)})
}

// Guards against reads that take longer than a change may take to be in force,
// counting a connection that goes silent at the worst moment.
func TestTimingFitsBound(t *testing.T) {
	for _, apply := range []time.Duration{3 * time.Second, 5 * time.Second} {
		timing := TimingFor(apply)
		const reconnect = 700 * time.Millisecond
		assert.Assert(t, timing.Wait+timing.Timeout+timing.Interval/4+reconnect <= apply)
		assert.Assert(t, timing.Interval < apply/4)
	}
}

// Guards against a read of the platform for each of many changes that come close
// together.
func TestPaced(t *testing.T) {
	s := &script{answers: make([]answer, 4)}
	p := Paced(s, 30*time.Millisecond)
	start := time.Now()
	for range 4 {
		_, err := p.ReadChanges(context.Background(), 0, 0, 0)
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(start) >= 90*time.Millisecond)
}
