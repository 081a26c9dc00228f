// Package telemetry sets up the structured log and the metrics of a process. Secrets must not be
// passed to it: callers log identifiers, not keys or bodies.
package telemetry

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// NewLogger returns a JSON logger with a level of debug, info, warn or error. It returns
// *LevelError for an unknown level.
func NewLogger(w io.Writer, level, role, id string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.WithStack(&LevelError{Level: level})
	}
	logger := zerolog.New(w).Level(parsed).With().Timestamp().Str("role", role).Str("process", id).Logger()
	return logger, nil
}

// LevelError reports an unknown log level.
type LevelError struct{ Level string }

func (e *LevelError) Error() string { return "unknown log level " + e.Level }

// Metrics holds the OpenTelemetry meter of a process and the HTTP handler that exports its metrics.
type Metrics struct {
	// Meter creates instruments.
	Meter metric.Meter
	// Handler serves the metrics in the Prometheus text format.
	Handler http.Handler
}

// NewMetrics returns the metrics of one process.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Wrap(err, "metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	return &Metrics{
		Meter:   provider.Meter("github.com/lagoonlane/lagoonlane"),
		Handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}, nil
}
