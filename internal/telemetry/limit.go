package telemetry

import (
	"context"
	"log"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// MaxLinesPerSecond is the rate limit of one kind of log line that a fault may repeat. It is high
// enough to show the fault and its extent, and far below the capacity of the log.
const MaxLinesPerSecond = 20

// Limiter limits the rate of log lines that a fault could repeat endlessly, and counts the dropped
// lines. A nil Limiter limits the rate without counting.
type Limiter struct {
	dropped metric.Int64Counter
}

// NewLimiter returns a limiter that counts dropped lines in the metric
// lagoonlane_log_lines_limited. A nil meter exports no metric.
func NewLimiter(meter metric.Meter) (*Limiter, error) {
	if meter == nil {
		meter = noop.Meter{}
	}
	dropped, err := meter.Int64Counter("lagoonlane_log_lines_limited", metric.WithDescription("log lines beyond the rate of their kind"))
	return &Limiter{dropped: dropped}, errors.WithStack(err)
}

// Logger returns a logger that writes up to MaxLinesPerSecond lines per second. It drops the others
// and counts them with the attribute kind.
func (l *Limiter) Logger(logger zerolog.Logger, kind string) zerolog.Logger {
	sampler := &zerolog.BurstSampler{Burst: MaxLinesPerSecond, Period: time.Second}
	if l != nil {
		count := metric.WithAttributes(attribute.String("kind", kind))
		sampler.NextSampler = droppingSampler(func() { l.dropped.Add(context.Background(), 1, count) })
	}
	return logger.Sample(sampler)
}

// droppingSampler drops every line and calls the function for each.
type droppingSampler func()

// Sample implements zerolog.Sampler.
func (d droppingSampler) Sample(zerolog.Level) bool {
	d()
	return false
}

// ServerErrorLog returns the ErrorLog of an http.Server. It writes handler panics, accept errors and
// protocol errors as structured log lines of limited rate and length.
func (l *Limiter) ServerErrorLog(logger zerolog.Logger, server string) *log.Logger {
	limited := l.Logger(logger, "http server")
	return log.New(serverErrorWriter{logger: limited.With().Str("server", server).Logger()}, "", 0)
}

// maxServerErrorBytes limits the text of one line, as that of a panic contains the whole stack.
const maxServerErrorBytes = 4 << 10

type serverErrorWriter struct{ logger zerolog.Logger }

// Write implements io.Writer.
func (w serverErrorWriter) Write(text []byte) (int, error) {
	problem := strings.TrimRight(string(text[:min(len(text), maxServerErrorBytes)]), "\n")
	w.logger.Error().Str("problem", problem).Msg("http server")
	return len(text), nil
}
