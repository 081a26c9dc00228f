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

// Kinds of bad bytes beside those of upstream.ExcessKind.
const (
	badMalformed  = "malformed"
	badEventOrder = "event-order"
	badMemory     = "memory"
)

// classifyBadBytes says what of a backend server's bytes made an exchange fail; empty if that
// is not why it failed. Limit is 0 where there is none.
func classifyBadBytes(err error) (kind string, read, limit int64) {
	var excess *upstream.ExcessError
	var malformed *upstream.MalformedError
	var exhausted *membudget.ExhaustedError
	var order *EventError
	switch {
	case errors.As(err, &excess):
		return string(excess.Kind), excess.Read, excess.Limit
	case errors.As(err, &malformed):
		return badMalformed, malformed.Read, 0
	case errors.As(err, &exhausted):
		return badMemory, exhausted.Held + exhausted.Asked, exhausted.Total
	case errors.As(err, &order):
		return badEventOrder, 0, 0
	}
	return "", 0, 0
}

// recordBadBytes counts bad bytes and adds what came to a log line.
func (g *Gateway) recordBadBytes(call *call, err error) func(*zerolog.Event) {
	kind, read, limit := classifyBadBytes(err)
	if kind == "" {
		return func(*zerolog.Event) {}
	}
	g.metrics.badBytes.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", call.service), attribute.String("kind", kind)))
	return func(e *zerolog.Event) { e.Str("bad_bytes", kind).Int64("read", read).Int64("limit", limit) }
}
