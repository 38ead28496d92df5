package telemetry

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/ring"
)

// Guards against log lines that are not one line of key=value words.
func TestLogLine(t *testing.T) {
	var out bytes.Buffer
	log := NewLogger(&out, slog.LevelInfo, "a1")
	log.Info("config-applied", ParseDetail(`revision=7 error="line 4: key=x" reason=two words`)...)
	log.Debug("hidden")
	line := out.String()
	assert.Equal(t, strings.Count(line, "\n"), 1)
	assert.Assert(t, strings.HasSuffix(line, `msg=config-applied instance=a1 revision=7 error="line 4: key=x" reason="two words"`+"\n"), line)
}

// Guards against stack traces, with paths of the build machine, in log lines.
func TestLogErrorWithoutStack(t *testing.T) {
	var out bytes.Buffer
	NewLogger(&out, slog.LevelInfo, "a1").Warn("link-dial-failed", "error", eris.Wrap(eris.New("refused"), "dial"))
	assert.Assert(t, strings.HasSuffix(out.String(), `error="dial: refused"`+"\n"), out.String())
}

// Guards against metrics that are missing from the page or break its JSON.
func TestRegistryPage(t *testing.T) {
	r := NewRegistry()
	r.Counter("callers_total").Add(2)
	r.Counter("callers_total").Add(1)
	q := ring.New[int](4)
	q.Push(1)
	r.RegisterRing("caller", q.Stats)
	w := httptest.NewRecorder()
	r.ServeHTTP(w, nil)
	var page map[string]any
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &page))
	assert.Equal(t, page["callers_total"], 3.0)
	assert.Equal(t, page["ring_caller_depth_entries"], 1.0)
	assert.Assert(t, page["memstats"] != nil)
}

// Guards against hops of one request in different traces, and against a
// sampling share that is not kept.
func TestSpans(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	tr := newTracer(spans, 0.25, "a1")
	sampled := 0
	for i := range uint64(4000) {
		if tr.Sampled(i) {
			sampled++
		}
		tr.Record(Hop{Name: "received", RequestID: i, Start: time.Unix(1, 0), Duration: time.Second})
		tr.Record(Hop{Name: "answered", RequestID: i, Service: "counter", Target: "t1", Start: time.Unix(2, 0)})
	}
	assert.Assert(t, sampled > 850 && sampled < 1150, "%d of 4000", sampled)
	ended := spans.Ended()
	assert.Equal(t, len(ended), 2*sampled)
	assert.Equal(t, ended[0].SpanContext().TraceID(), ended[1].SpanContext().TraceID())
	other := tracetest.NewSpanRecorder()
	newTracer(other, 1, "a2").Record(Hop{Name: "relayed", RequestID: binary.BigEndian.Uint64(traceBytes(ended[0])), Start: time.Unix(1, 0)})
	assert.Equal(t, ended[0].SpanContext().TraceID(), other.Ended()[0].SpanContext().TraceID(), "at another instance")
	assert.Equal(t, ended[0].EndTime().Sub(ended[0].StartTime()), time.Second)
	assert.NilError(t, tr.Close(context.Background()))
}

// traceBytes returns the request number in the trace id of a span.
func traceBytes(s sdktrace.ReadOnlySpan) []byte {
	id := s.SpanContext().TraceID()
	return id[8:]
}

// Guards against an exporter that loses buffered spans at the end, and a
// disabled tracer that records.
func TestExporter(t *testing.T) {
	var out bytes.Buffer
	tr, err := NewTracer(&out, 1, "a1")
	assert.NilError(t, err)
	tr.Record(Hop{Name: "received", RequestID: 1, Start: time.Unix(1, 0)})
	assert.NilError(t, tr.Close(context.Background()))
	assert.Assert(t, strings.Contains(out.String(), `"Name":"received"`))
	off, err := NewTracer(nil, 1, "a1")
	assert.NilError(t, err)
	assert.Assert(t, !off.Sampled(1))
	assert.NilError(t, off.Close(context.Background()))
}

type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) { <-s.release; return len(p), nil }

// Guards against a log stream that nobody reads and that stops the daemon, and
// against lines lost at the end.
func TestWriterNeverBlocks(t *testing.T) {
	s := stuck{release: make(chan struct{})}
	w := NewAsyncWriter(s, 4)
	for range 100 {
		_, _ = w.Write([]byte("line\n"))
	}
	assert.Assert(t, w.Stats().Dropped >= 95)
	close(s.release)
	w.Close()
	var out bytes.Buffer
	w = NewAsyncWriter(&out, 16)
	for range 10 {
		_, _ = w.Write([]byte("line\n"))
	}
	w.Close()
	assert.Equal(t, strings.Count(out.String(), "line\n"), 10)
}
