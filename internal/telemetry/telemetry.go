// Package telemetry creates the logger, the metrics scope and the tracer of a process.
//
// # Usage
//
//	t, err := telemetry.New(telemetry.Options{Settings: s, ErrOut: os.Stderr})
//	defer t.Close(ctx)
//	log := telemetry.ComponentLogger(t.Log, "owner")
//	log.Info().Str("server", name).Msg("server acquired")
package telemetry

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	semconv "go.opentelemetry.io/otel/semconv/v1.37.0"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"pollenspindle.example/pollenspindle/internal/errortext"
	"pollenspindle.example/pollenspindle/internal/logqueue"
	"pollenspindle.example/pollenspindle/internal/settings"
)

// ErrSetup means that telemetry could not be set up or closed.
var ErrSetup = merry.Sentinel("telemetry could not be set up")

// reportInterval is the time between two transfers of metrics from their counters to the endpoint.
// One second keeps the values up to date for operators at little cost.
const reportInterval = time.Second

// Options configures [New].
type Options struct {
	Settings settings.Settings
	// Out receives spans of the stdout exporter, ErrOut the logs.
	Out    io.Writer
	ErrOut io.Writer
}

// Telemetry holds the logger, the metrics scope and the tracer of a process.
type Telemetry struct {
	Log     zerolog.Logger
	Metrics tally.Scope
	Tracer  trace.Tracer
	// Handler serves the metrics in Prometheus' text format.
	Handler http.Handler

	closers []func(context.Context) error
}

// Propagator propagates trace contexts between processes, in the W3C format.
var Propagator propagation.TextMapPropagator = propagation.TraceContext{}

// configureLogs makes loggers write errors with their causes, as the log is often an operator's only
// source for the reason why a lower layer has failed, and times precise enough to order the lines
// of several instances.
var configureLogs = sync.OnceFunc(func() {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	zerolog.ErrorMarshalFunc = func(err error) any { return errortext.Of(err) }
})

// New creates the telemetry of a process.
func New(opts Options) (*Telemetry, error) {
	configureLogs()
	t := &Telemetry{}
	if err := SetLevel(opts.Settings.Log.Level); err != nil {
		return nil, err
	}
	t.Log = newLogger(opts.ErrOut, opts.Settings.Instance)
	t.initMetrics(opts.Settings.Zone)
	if err := t.initTracer(opts); err != nil {
		return nil, err
	}
	return t, nil
}

func newLogger(out io.Writer, instance string) zerolog.Logger {
	return zerolog.New(out).With().Timestamp().Str("instance", instance).Logger()
}

// maxLogLines is the number of lines that wait to be written; further ones are dropped and counted.
const maxLogLines = 2048

// NewLogQueue returns an output for the logs of an instance that blocks nothing if nobody reads out, and that
// says how many lines were dropped once it is read again. It must be closed.
//
// A process whose standard output or error nobody reads any more is no longer ended by its next line.
func NewLogQueue(out io.Writer, instance string) *logqueue.Queue {
	signal.Ignore(syscall.SIGPIPE)
	return logqueue.New(out, logqueue.Options{Capacity: maxLogLines, Dropped: func(w io.Writer, n int64) {
		log := ComponentLogger(newLogger(w, instance), "log")
		log.Warn().Int64("dropped", n).Msg("log lines dropped")
	}})
}

// ComponentLogger returns log with the field part, the name of a component.
func ComponentLogger(log zerolog.Logger, part string) zerolog.Logger {
	return log.With().Str("part", part).Logger()
}

// SetLevel sets the log level of the process; it may be called at any time. An empty level means
// info.
func SetLevel(level string) error {
	if level == "" {
		level = zerolog.LevelInfoValue
	}
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return merry.Wrap(ErrSetup, merry.WithCause(err))
	}
	zerolog.SetGlobalLevel(l)
	return nil
}

// Close flushes spans and metrics and stops reporting.
func (t *Telemetry) Close(ctx context.Context) error {
	var first error
	// Close in reverse order: the span file must stay open until the tracer is flushed.
	for _, c := range slices.Backward(t.closers) {
		if err := c(ctx); err != nil && first == nil {
			first = merry.Wrap(ErrSetup, merry.WithCause(err))
		}
	}
	return first
}

// initMetrics creates the metrics scope. All metrics have the availability zone of this instance as
// a label, so that rejections can be distinguished by zone.
func (t *Telemetry) initMetrics(entryZone string) {
	var tags map[string]string
	if entryZone != "" {
		tags = map[string]string{"entry_zone": entryZone}
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	sanitize := tallyprom.DefaultSanitizerOpts
	// Label values may contain any text. The default options would merge availability zones
	// kigali-a and kigali_a into one series under a name that neither has.
	sanitize.ValueCharacters.Characters = []rune{'-', '_', '.', ':', '/'}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "pollenspindle",
		Tags:                   tags,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &sanitize,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	t.Metrics = scope
	t.Handler = promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	t.closers = append(t.closers, func(context.Context) error { return closer.Close() })
}

func (t *Telemetry) initTracer(opts Options) error {
	exporter, err := t.newExporter(opts)
	if err != nil {
		return err
	}
	if exporter == nil {
		t.Tracer = noop.NewTracerProvider().Tracer("pollenspindle")
		return nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(opts.Settings.Trace.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			semconv.ServiceName("pollenspindle"),
			semconv.ServiceInstanceID(opts.Settings.Instance),
		)),
	)
	t.Tracer = provider.Tracer("pollenspindle")
	t.closers = append(t.closers, provider.Shutdown)
	return nil
}

// newExporter returns nil if spans are not exported.
func (t *Telemetry) newExporter(opts Options) (sdktrace.SpanExporter, error) {
	var exporter sdktrace.SpanExporter
	var err error
	switch opts.Settings.Trace.Exporter {
	case "", "none":
		return nil, nil
	case "stdout":
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(opts.Out))
	case "file":
		exporter, err = t.newFileExporter(opts.Settings.Trace.Endpoint)
	case "otlp":
		exporter, err = otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(opts.Settings.Trace.Endpoint))
	default:
		err = merry.Errorf("unknown trace exporter %q", opts.Settings.Trace.Exporter)
	}
	if err != nil {
		return nil, merry.Wrap(ErrSetup, merry.WithCause(err))
	}
	return exporter, nil
}

func (t *Telemetry) newFileExporter(path string) (sdktrace.SpanExporter, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	t.closers = append(t.closers, func(context.Context) error { return f.Close() })
	return stdouttrace.New(stdouttrace.WithWriter(f))
}
