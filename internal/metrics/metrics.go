// Package metrics records the metrics of one instance with OpenTelemetry and
// exposes them in the Prometheus text format. The label values are bounded: a
// value outside the known set is counted as "other".
package metrics

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"sycamoreledge.example/internal/control"
	"sycamoreledge.example/internal/event"
	"sycamoreledge.example/internal/work"
)

// Error is the class of this package's errors.
var Error = errs.Class("metrics")

// meterName is the instrumentation scope of all instruments.
const meterName = "sycamoreledge"

// durationBuckets are the upper bounds of the duration histograms' buckets, in
// seconds.
var durationBuckets = []float64{
	0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15,
	0.25, 0.5, 1, 2, 5, 10, 30, 60,
}

// Options are the sources of the metrics that are read at each scrape. Metrics
// whose source is nil are not exposed.
type Options struct {
	// Services maps the name of each declared service to its kind.
	Services map[string]work.Kind
	// IsService reports whether the configuration in force has a service of
	// this name, for deployments that declare no services. If it is nil, only
	// Services counts.
	IsService func(name string) bool
	Events    *event.Logger
	Snapshot  func() *control.Snapshot
	// Pools returns the load of each pool that this instance dispatches to.
	Pools func() []control.PoolStatus
	// Attempts returns the number of dispatches to upstreams since the process
	// started.
	Attempts func() Attempts
	// Keys returns the number of stored idempotency keys and the size of their
	// stored outcomes in bytes.
	Keys func() (keys int, bytes int64)
}

// Metrics holds the instruments of one instance. Its methods are safe for
// concurrent use. RequestDone, PlatformCall and Close do nothing on a nil
// *Metrics.
type Metrics struct {
	opts                 Options
	handler              http.Handler
	provider             *sdk.MeterProvider
	requests             metric.Int64Counter
	requestDuration      metric.Float64Histogram
	platformCalls        metric.Int64Counter
	platformCallDuration metric.Float64Histogram
	labels               labelCache
}

// New creates and registers the instruments of one instance, and the Go runtime
// and process collectors.
func New(opts Options) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	exporter, err := otelprometheus.New(
		otelprometheus.WithRegisterer(registry),
		otelprometheus.WithoutScopeInfo(),
		otelprometheus.WithoutTargetInfo(),
	)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	m := &Metrics{
		opts:     opts,
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		provider: sdk.NewMeterProvider(sdk.WithReader(exporter)),
	}
	meter := m.provider.Meter(meterName)
	if err := m.createInstruments(meter); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := m.registerObservables(meter); err != nil {
		return nil, Error.Wrap(err)
	}
	return m, nil
}

// Handler returns the scrape handler, which serves all metrics in the Prometheus
// text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

func (m *Metrics) createInstruments(meter metric.Meter) error {
	var failed errs.Group
	var err error
	m.requests, err = meter.Int64Counter("requests",
		metric.WithDescription("Requests of callers by outcome."))
	failed.Add(err)
	m.requestDuration, err = meter.Float64Histogram("request_duration",
		metric.WithDescription("Time from the arrival of a request to the end of its answer."),
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(durationBuckets...))
	failed.Add(err)
	m.platformCalls, err = meter.Int64Counter("platform_calls",
		metric.WithDescription("Calls of the platform's object API by result."))
	failed.Add(err)
	m.platformCallDuration, err = meter.Float64Histogram("platform_call_duration",
		metric.WithDescription("Time of calls of the platform's object API."),
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(durationBuckets...))
	failed.Add(err)
	return failed.Err()
}

// RequestDone records the outcome and the duration of a caller's request.
func (m *Metrics) RequestDone(service string, kind work.Kind, outcome work.Outcome, reason work.Reason, elapsed time.Duration) {
	if m == nil {
		return
	}
	ctx := context.Background()
	service = m.serviceLabel(service)
	m.requests.Add(ctx, 1, m.labels.get(requestLabels{service, kind, outcome, reasonLabel(reason)}))
	m.requestDuration.Record(ctx, elapsed.Seconds(), m.labels.get(durationLabels{service, kind, outcome}))
}

// Attempts is the number of dispatches to upstreams by kind.
type Attempts struct {
	First, Retries, Hedges int64
}

// PlatformCall records a call to the platform's object API, such as "get", and
// its duration. The result is "ok" or the name of an error class of package
// platform.
func (m *Metrics) PlatformCall(call, result string, elapsed time.Duration) {
	if m == nil {
		return
	}
	ctx := context.Background()
	labels := m.labels.get(platformCallLabels{platformCallLabel(call), platformResultLabel(result)})
	m.platformCalls.Add(ctx, 1, labels)
	m.platformCallDuration.Record(ctx, elapsed.Seconds(), labels)
}

// serviceLabel returns the name of a known service, or otherValue.
func (m *Metrics) serviceLabel(name string) string {
	_, declared := m.opts.Services[name]
	if declared || m.opts.IsService != nil && m.opts.IsService(name) {
		return name
	}
	return otherValue
}

// Close shuts down the meter provider.
func (m *Metrics) Close(ctx context.Context) error {
	if m == nil {
		return nil
	}
	return Error.Wrap(m.provider.Shutdown(ctx))
}

func eventLabels(d event.Definition) metric.MeasurementOption {
	return metric.WithAttributes(
		attribute.String("event", strconv.Itoa(int(d.ID))),
		attribute.String("name", d.Name),
	)
}
