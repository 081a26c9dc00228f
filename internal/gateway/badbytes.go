package gateway

import (
	"context"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/lagoonlane/lagoonlane/internal/membudget"
	"github.com/lagoonlane/lagoonlane/internal/upstream"
)

// Kinds of invalid bytes in addition to those of upstream.ExcessKind.
const (
	badMalformed  = "malformed"
	badEventOrder = "event-order"
	badMemory     = "memory"
)

// classifyBadBytes returns which kind of invalid or excess bytes from a backend server made an
// exchange fail, with the number of bytes read and the limit. The kind is empty if the failure
// has another cause; limit is 0 if none applies.
func classifyBadBytes(err error) (kind string, read, limit int64) {
	var excess *upstream.ExcessError
	var malformed *upstream.MalformedError
	var exhausted *membudget.ExhaustedError
	var order *EventOrderError
	switch {
	case errors.As(err, &excess):
		return string(excess.Kind), excess.Read, excess.Limit
	case errors.As(err, &malformed):
		return badMalformed, malformed.Read, 0
	case errors.As(err, &exhausted):
		return badMemory, exhausted.Held + exhausted.Requested, exhausted.Total
	case errors.As(err, &order):
		return badEventOrder, 0, 0
	}
	return "", 0, 0
}

// recordBadBytes counts invalid or excess bytes and returns a function that adds their kind,
// number and limit to a log line.
func (g *Gateway) recordBadBytes(call *call, err error) func(*zerolog.Event) {
	kind, read, limit := classifyBadBytes(err)
	if kind == "" {
		return func(*zerolog.Event) {}
	}
	g.metrics.badBytes.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", call.service), attribute.String("kind", kind)))
	return func(e *zerolog.Event) { e.Str("bad_bytes", kind).Int64("read", read).Int64("limit", limit) }
}
