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

// LinesPerSecond bounds the lines of one kind that a fault may repeat: enough to see
// the fault and its spread, and far below what the log takes.
const LinesPerSecond = 20

// Limiter bounds the lines of a process that a fault could repeat without end. A nil
// Limiter bounds them too, and doesn't count.
type Limiter struct {
	dropped metric.Int64Counter
}

// NewLimiter returns a limiter that counts what it drops in
// lagoonlane_log_lines_limited. A nil meter counts nothing.
func NewLimiter(meter metric.Meter) (*Limiter, error) {
	if meter == nil {
		meter = noop.Meter{}
	}
	dropped, err := meter.Int64Counter("lagoonlane_log_lines_limited", metric.WithDescription("log lines beyond the rate of their kind"))
	return &Limiter{dropped: dropped}, errors.WithStack(err)
}

// Logger returns a logger that passes LinesPerSecond lines on and drops and counts the
// rest under a kind.
func (l *Limiter) Logger(logger zerolog.Logger, kind string) zerolog.Logger {
	sampler := &zerolog.BurstSampler{Burst: LinesPerSecond, Period: time.Second}
	if l != nil {
		count := metric.WithAttributes(attribute.String("kind", kind))
		sampler.NextSampler = droppingSampler(func() { l.dropped.Add(context.Background(), 1, count) })
	}
	return logger.Sample(sampler)
}

// droppingSampler drops every line and tells of it.
type droppingSampler func()

// Sample implements zerolog.Sampler.
func (d droppingSampler) Sample(zerolog.Level) bool {
	d()
	return false
}

// ServerErrors returns the log of a server of net/http: panics of handlers, failures
// to accept and broken protocols become bounded lines.
func (l *Limiter) ServerErrors(logger zerolog.Logger, server string) *log.Logger {
	limited := l.Logger(logger, "http server")
	return log.New(serverErrors{logger: limited.With().Str("server", server).Logger()}, "", 0)
}

// maxServerError bounds the text of one line: a panic brings the whole stack.
const maxServerError = 4 << 10

type serverErrors struct{ logger zerolog.Logger }

// Write implements io.Writer.
func (w serverErrors) Write(text []byte) (int, error) {
	problem := strings.TrimRight(string(text[:min(len(text), maxServerError)]), "\n")
	w.logger.Error().Str("problem", problem).Msg("http server")
	return len(text), nil
}
