// Package tracing sets up OpenTelemetry tracing. Each hop of a request (caller, entry host, shard owner, runner, worker
// and store) records a span. The trace context is propagated in the W3C traceparent header and in gRPC metadata.
package tracing

import (
	"context"
	"os"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// Exporter is the destination of spans.
type Exporter string

// Exporters of spans.
const (
	ExporterNone   Exporter = "none"
	ExporterStdout Exporter = "stdout" // JSON lines to the file Config.Target; to standard output if empty
	ExporterOTLP   Exporter = "otlp"   // OTLP over HTTP to Config.Target, "IP:port"
)

// Config configures the tracing of one process.
type Config struct {
	Exporter    Exporter
	Target      string
	SampleRatio float64 // fraction of the traces started by this process that are recorded, 0 to 1
	Host        string
	Datacentre  string
}

// Setup installs the global tracer provider and propagator. The returned function flushes and stops the provider.
func Setup(ctx context.Context, cfg Config) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	exporter, err := newExporter(ctx, cfg)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if exporter == nil {
		return func(context.Context) error { return nil }, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "fulmard"),
			attribute.String("host.name", cfg.Host),
			attribute.String("datacentre", cfg.Datacentre),
		)),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

// newExporter returns nil for ExporterNone. It fails if the exporter is unknown or its target cannot be opened.
func newExporter(ctx context.Context, cfg Config) (sdktrace.SpanExporter, error) {
	switch cfg.Exporter {
	case "", ExporterNone:
		return nil, nil
	case ExporterStdout:
		if cfg.Target == "" {
			return stdouttrace.New()
		}
		file, err := os.OpenFile(cfg.Target, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, errors.Annotate(err, "opening the trace file")
		}
		return stdouttrace.New(stdouttrace.WithWriter(file))
	case ExporterOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(cfg.Target), otlptracehttp.WithInsecure())
	}
	return nil, errors.NotValidf("trace exporter %q", cfg.Exporter)
}
