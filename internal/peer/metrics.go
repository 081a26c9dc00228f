package peer

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// metrics are the instruments of a Node.
type metrics struct {
	exchanges metric.Int64Counter
	bytes     metric.Int64Counter
}

// newMetrics creates the instruments. Where creation fails, the meter returns a no-op instrument.
func newMetrics(meter metric.Meter) metrics {
	exchanges, _ := meter.Int64Counter("lagoonlane.peer.exchanges",
		metric.WithDescription("Exchanges with peers, by result."))
	bytes, _ := meter.Int64Counter("lagoonlane.peer.sent", metric.WithUnit("By"),
		metric.WithDescription("Bytes of messages sent to peers in exchanges that this process began."))
	return metrics{exchanges: exchanges, bytes: bytes}
}

func (m metrics) recordExchange(ctx context.Context, sent int, ok bool) {
	m.exchanges.Add(ctx, 1, metric.WithAttributes(attribute.Bool("ok", ok)))
	m.bytes.Add(ctx, int64(sent))
}
