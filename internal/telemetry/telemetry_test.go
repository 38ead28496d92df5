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

// Guards against log events that are not written as one line of key=value pairs.
func TestLogLine(t *testing.T) {
	var out bytes.Buffer
	log := NewLogger(&out, slog.LevelInfo, "a1")
	log.Info("config-applied", ParseDetail(`revision=7 error="line 4: key=x" reason=two words`)...)
	log.Debug("hidden")
	line := out.String()
	assert.Equal(t, strings.Count(line, "\n"), 1)
	assert.Assert(t, strings.HasSuffix(line, `msg=config-applied instance=a1 revision=7 error="line 4: key=x" reason="two words"`+"\n"), line)
}

// Guards against log lines with stack traces, which contain paths of the build
// machine.
func TestLogErrorWithoutStack(t *testing.T) {
	var out bytes.Buffer
	NewLogger(&out, slog.LevelInfo, "a1").Warn("link-dial-failed", "error", eris.Wrap(eris.New("refused"), "dial"))
	assert.Assert(t, strings.HasSuffix(out.String(), `error="dial: refused"`+"\n"), out.String())
}

// Guards against metrics that are missing from the page or make it invalid JSON.
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

// Guards against hops of one request that appear in different traces, and
// against a sampled fraction that differs from the configured one.
func TestSpans(t *testing.T) {
	recorder := tracetest.NewSpanRecorder()
	tracer := newTracer(recorder, 0.25, "a1")
	sampled := 0
	for i := range uint64(4000) {
		if tracer.Sampled(i) {
			sampled++
		}
		tracer.Record(Hop{Name: "received", RequestID: i, Start: time.Unix(1, 0), Duration: time.Second})
		tracer.Record(Hop{Name: "answered", RequestID: i, Service: "counter", Target: "t1", Start: time.Unix(2, 0)})
	}
	assert.Assert(t, sampled > 850 && sampled < 1150, "%d of 4000", sampled)
	ended := recorder.Ended()
	assert.Equal(t, len(ended), 2*sampled)
	assert.Equal(t, ended[0].SpanContext().TraceID(), ended[1].SpanContext().TraceID())
	otherRecorder := tracetest.NewSpanRecorder()
	newTracer(otherRecorder, 1, "a2").Record(Hop{Name: "relayed", RequestID: binary.BigEndian.Uint64(requestIDBytes(ended[0])), Start: time.Unix(1, 0)})
	assert.Equal(t, ended[0].SpanContext().TraceID(), otherRecorder.Ended()[0].SpanContext().TraceID(), "at another instance")
	assert.Equal(t, ended[0].EndTime().Sub(ended[0].StartTime()), time.Second)
	assert.NilError(t, tracer.Close(context.Background()))
}

// requestIDBytes returns the request ID, which is the second half of the trace
// ID of a span.
func requestIDBytes(s sdktrace.ReadOnlySpan) []byte {
	id := s.SpanContext().TraceID()
	return id[8:]
}

// Guards against an exporter that loses buffered spans on Close, and against a
// disabled tracer that records spans.
func TestExporter(t *testing.T) {
	var out bytes.Buffer
	tracer, err := NewTracer(&out, 1, "a1")
	assert.NilError(t, err)
	tracer.Record(Hop{Name: "received", RequestID: 1, Start: time.Unix(1, 0)})
	assert.NilError(t, tracer.Close(context.Background()))
	assert.Assert(t, strings.Contains(out.String(), `"Name":"received"`))
	disabled, err := NewTracer(nil, 1, "a1")
	assert.NilError(t, err)
	assert.Assert(t, !disabled.Sampled(1))
	assert.NilError(t, disabled.Close(context.Background()))
}

type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) { <-s.release; return len(p), nil }

// Guards against a log stream that is not being read blocking the daemon, and
// against lines that are lost on Close.
func TestWriterNeverBlocks(t *testing.T) {
	blocked := blockedWriter{release: make(chan struct{})}
	w := NewAsyncWriter(blocked, 4)
	for range 100 {
		_, _ = w.Write([]byte("line\n"))
	}
	assert.Assert(t, w.Stats().Dropped >= 95)
	close(blocked.release)
	w.Close()
	var out bytes.Buffer
	w = NewAsyncWriter(&out, 16)
	for range 10 {
		_, _ = w.Write([]byte("line\n"))
	}
	w.Close()
	assert.Equal(t, strings.Count(out.String(), "line\n"), 10)
}
