// Package metrics provides the tally scope of a process and a handler that serves it in the Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which the scope reports counters to the reporter.
const reportInterval = time.Second

// prefix is the prefix of all metric names.
const prefix = "fulmarcourse"

// Metrics is the metric scope of one process and its scrape handler.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns a scope tagged with the host and its data centre.
func NewMetrics(host, datacentre string) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: registry,
		Gatherer:   registry,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          prefix,
		Tags:            map[string]string{"host": host, "datacentre": datacentre},
		CachedReporter:  reporter,
		Separator:       tallyprom.DefaultSeparator,
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts,
		// tally's internal cardinality metrics would add a series per scope on each host.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close flushes the scope and stops reporting.
func (m *Metrics) Close() error {
	return errors.Trace(m.closer.Close())
}
