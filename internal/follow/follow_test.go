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

// response is the result of one read.
type response struct {
	update Update
	err    error
}

// scriptedSource returns the given responses in order and stops the follower after the
// last one.
type scriptedSource struct {
	responses []response
	calls     []string
	afters    []uint64
	waits     []time.Duration
	end       context.CancelFunc
}

func (s *scriptedSource) next(ctx context.Context, call string, after uint64) (Update, error) {
	s.calls = append(s.calls, call)
	s.afters = append(s.afters, after)
	if len(s.responses) == 0 {
		s.end()
		<-ctx.Done()
		return Update{}, ctx.Err()
	}
	a := s.responses[0]
	s.responses = s.responses[1:]
	return a.update, a.err
}

func (s *scriptedSource) ReadAll(ctx context.Context, _ time.Duration) (Update, error) {
	return s.next(ctx, "all", 0)
}

func (s *scriptedSource) ReadChanges(ctx context.Context, after Position, wait, _ time.Duration) (Update, error) {
	s.waits = append(s.waits, wait)
	return s.next(ctx, "changes", after.Revision)
}

func runFollower(t *testing.T, responses ...response) (*scriptedSource, []Update) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s := &scriptedSource{responses: responses, end: cancel}
	var delivered []Update
	timing := Timing{Wait: time.Second, Interval: time.Millisecond, RetryMin: time.Millisecond, RetryMax: 2 * time.Millisecond}
	New(s, timing, func(u Update) { delivered = append(delivered, u) }, slog.New(slog.NewTextHandler(io.Discard, nil))).Run(ctx)
	return s, delivered
}

func target(name string, revision uint64) *Target { return &Target{Name: name, Revision: revision} }

// Guards against changes that are read from the wrong revision, and against an
// unnecessary full read after an outage.
func TestResumeAfterOutage(t *testing.T) {
	down := eris.New("down")
	s, got := runFollower(t,
		response{err: down},
		response{update: Update{Complete: true, Revision: 5}},
		response{update: Update{Revision: 7, Targets: []*Target{target("a", 7)}}},
		response{err: down}, response{err: down},
		response{update: Update{Revision: 9}},
	)
	assert.DeepEqual(t, s.calls, []string{"all", "all", "changes", "changes", "changes", "changes", "changes"})
	assert.DeepEqual(t, s.afters, []uint64{0, 0, 5, 7, 7, 7, 9})
	assert.Equal(t, len(got), 3)
	// The end of an outage is detected without waiting.
	assert.DeepEqual(t, s.waits, []time.Duration{time.Second, time.Second, 0, 0, time.Second})
	assert.Assert(t, got[0].AfterOutage && !got[1].AfterOutage && got[2].AfterOutage)
}

// Guards against changes that are missing after the history was lost.
func TestHistoryLost(t *testing.T) {
	s, got := runFollower(t,
		response{update: Update{Complete: true, Revision: 5}},
		response{err: eris.Wrap(ErrHistoryLost, "store")},
		response{update: Update{Complete: true, Revision: 50}},
	)
	assert.DeepEqual(t, s.calls, []string{"all", "changes", "all", "changes"})
	assert.Assert(t, got[1].Complete && !got[1].AfterOutage)
}

// Guards against an older record that replaces a newer one: the pages of a full
// read overlap with the changes after it.
func TestOlderRecordsIgnored(t *testing.T) {
	_, got := runFollower(t,
		response{update: Update{Complete: true, Revision: 5, Targets: []*Target{target("a", 8), target("b", 3)}}},
		response{update: Update{Revision: 9, Targets: []*Target{target("a", 6), target("a", 8), target("b", 9)}}},
	)
	assert.DeepEqual(t, got[1].Targets, []*Target{target("a", 8), target("b", 9)})
}

// Guards against a late response of an earlier era that is taken for news, and against one
// without an era that is not.
func TestLateResponseOfEarlierEra(t *testing.T) {
	s, got := runFollower(t,
		response{update: Update{Complete: true, Era: 4, Revision: 500}},
		response{update: Update{Era: 3, Revision: 1000, Targets: []*Target{target("a", 1000)}}},
		response{update: Update{Revision: 501, Targets: []*Target{target("b", 501)}}},
	)
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[1].Position(), Position{4, 501})
	assert.DeepEqual(t, s.afters, []uint64{0, 500, 500, 501})
}

// Guards against reads that exceed the time within which a change must be in force, in
// the worst case of a connection that becomes unresponsive.
func TestTimingFitsBound(t *testing.T) {
	for _, apply := range []time.Duration{3 * time.Second, 5 * time.Second} {
		timing := TimingFor(apply)
		const reconnect = 700 * time.Millisecond
		assert.Assert(t, timing.Wait+timing.Timeout+timing.Interval/4+reconnect <= apply)
		assert.Assert(t, timing.Interval < apply/4)
	}
}

// Guards against a separate read of the platform for each of many changes in quick
// succession.
func TestPaced(t *testing.T) {
	s := &scriptedSource{responses: make([]response, 4)}
	p := Paced(s, 30*time.Millisecond)
	start := time.Now()
	for range 4 {
		_, err := p.ReadChanges(context.Background(), Position{}, 0, 0)
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(start) >= 90*time.Millisecond)
}
