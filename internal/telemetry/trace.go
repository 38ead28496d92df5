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

// Hop describes one span: a step of a request at this instance.
type Hop struct {
	Name      string
	RequestID uint64 // identifies the request; relays carry it to other instances
	Service   ids.Service
	Target    ids.Target // empty when no backend server is involved
	Start     time.Time
	Duration  time.Duration
}

// Tracer turns hops of sampled requests into spans.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	below    uint64 // a request is sampled when its hash is at most this
}

// NewTracer returns a tracer that writes to w, or one that records nothing
// when w is nil. sample is the share of requests that are traced, 0 to 1.
func NewTracer(w io.Writer, sample float64, instance ids.Instance) (*Tracer, error) {
	if w == nil || sample <= 0 {
		return &Tracer{}, nil
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, eris.Wrap(err, "create trace exporter")
	}
	return newTracer(sdktrace.NewBatchSpanProcessor(exporter), sample, instance), nil
}

func newTracer(p sdktrace.SpanProcessor, sample float64, instance ids.Instance) *Tracer {
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithSpanProcessor(p),
		sdktrace.WithSampler(sdktrace.AlwaysSample()), // Record has sampled already
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.instance.id", string(instance)))),
	)
	below := ^uint64(0)
	if sample < 1 {
		below = uint64(sample * float64(1<<63) * 2)
	}
	return &Tracer{provider: provider, tracer: provider.Tracer("arbutusdock"), below: below}
}

// sampleKey and parentKey derive independent values from a request number.
const (
	sampleKey = 1
	parentKey = 2
)

// Sampled reports whether the hops of a request are traced. The choice depends
// on the request alone, so that all instances with the same sampling share
// make the same one.
func (t *Tracer) Sampled(request uint64) bool {
	return t.provider != nil && ids.Mix(request, sampleKey) <= t.below
}

// Record emits the span of one hop. All hops of a request share a trace id, at
// other instances as well.
func (t *Tracer) Record(h Hop) {
	if !t.Sampled(h.RequestID) {
		return
	}
	var id trace.TraceID
	var parent trace.SpanID
	binary.BigEndian.PutUint64(parent[:], ids.Mix(h.RequestID, parentKey)|1)
	copy(id[:8], parent[:])
	binary.BigEndian.PutUint64(id[8:], h.RequestID)
	ctx := trace.ContextWithSpanContext(context.Background(), trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: id, SpanID: parent, TraceFlags: trace.FlagsSampled,
	}))
	attrs := []attribute.KeyValue{attribute.String("arbutusdock.service", string(h.Service))}
	if h.Target != "" {
		attrs = append(attrs, attribute.String("arbutusdock.target", string(h.Target)))
	}
	_, span := t.tracer.Start(ctx, h.Name, trace.WithTimestamp(h.Start), trace.WithAttributes(attrs...))
	span.End(trace.WithTimestamp(h.Start.Add(h.Duration)))
}

// Close writes the spans that are still buffered.
func (t *Tracer) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return eris.Wrap(t.provider.Shutdown(ctx), "close tracer")
}
