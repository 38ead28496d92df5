package telemetry

import (
	"context"
	"encoding/binary"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Hop is one step of a request at this instance. It is recorded as one span.
type Hop struct {
	Name      string
	RequestID uint64 // also sent with relayed requests, so that other instances use the same one
	Service   ids.Service
	Target    ids.Target // empty when no backend server is involved
	Start     time.Time
	Duration  time.Duration
}

// Tracer records the hops of sampled requests as spans.
type Tracer struct {
	provider        *sdktrace.TracerProvider
	tracer          trace.Tracer
	sampleThreshold uint64 // a request is sampled if the hash of its ID is at most this value
}

// NewTracer returns a tracer that writes to w, or one that records nothing if w
// is nil. sampleRatio is the fraction of requests that are traced, 0 to 1.
func NewTracer(w io.Writer, sampleRatio float64, instance ids.Instance) (*Tracer, error) {
	if w == nil || sampleRatio <= 0 {
		return &Tracer{}, nil
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, eris.Wrap(err, "create trace exporter")
	}
	return newTracer(sdktrace.NewBatchSpanProcessor(exporter), sampleRatio, instance), nil
}

func newTracer(processor sdktrace.SpanProcessor, sampleRatio float64, instance ids.Instance) *Tracer {
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithSpanProcessor(processor),
		sdktrace.WithSampler(sdktrace.AlwaysSample()), // Record drops requests that are not sampled
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.instance.id", string(instance)))),
	)
	threshold := ^uint64(0)
	if sampleRatio < 1 {
		threshold = uint64(sampleRatio * float64(1<<63) * 2)
	}
	return &Tracer{provider: provider, tracer: provider.Tracer("arbutusdock"), sampleThreshold: threshold}
}

// sampleSalt and parentSpanSalt make the hashes of a request ID for the sampling
// decision and for the parent span ID independent of each other.
const (
	sampleSalt     = 1
	parentSpanSalt = 2
)

// Sampled reports whether the hops of a request are traced. The decision depends
// only on the request ID, so all instances with the same sample ratio make the
// same decision.
func (t *Tracer) Sampled(request uint64) bool {
	return t.provider != nil && ids.Mix(request, sampleSalt) <= t.sampleThreshold
}

// Record emits the span of one hop if the request is sampled. All hops of a
// request have the same trace ID, on all instances.
func (t *Tracer) Record(h Hop) {
	if !t.Sampled(h.RequestID) {
		return
	}
	var traceID trace.TraceID
	var parentID trace.SpanID
	binary.BigEndian.PutUint64(parentID[:], ids.Mix(h.RequestID, parentSpanSalt)|1)
	copy(traceID[:8], parentID[:])
	binary.BigEndian.PutUint64(traceID[8:], h.RequestID)
	ctx := trace.ContextWithSpanContext(context.Background(), trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: traceID, SpanID: parentID, TraceFlags: trace.FlagsSampled,
	}))
	attrs := []attribute.KeyValue{attribute.String("arbutusdock.service", string(h.Service))}
	if h.Target != "" {
		attrs = append(attrs, attribute.String("arbutusdock.target", string(h.Target)))
	}
	_, span := t.tracer.Start(ctx, h.Name, trace.WithTimestamp(h.Start), trace.WithAttributes(attrs...))
	span.End(trace.WithTimestamp(h.Start.Add(h.Duration)))
}

// Close exports the spans that are still buffered and stops the tracer.
func (t *Tracer) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return eris.Wrap(t.provider.Shutdown(ctx), "close tracer")
}
