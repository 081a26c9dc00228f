package claim

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// metrics holds the instruments of Claims.
type metrics struct {
	appends metric.Int64Counter
	claims  metric.Int64Counter
}

func newMetrics(meter metric.Meter) *metrics {
	appends, err := meter.Int64Counter("lagoonlane.claim.appends",
		metric.WithDescription("Appends to the claim stream, by result."))
	if err != nil {
		appends = noop.Int64Counter{}
	}
	claims, err := meter.Int64Counter("lagoonlane.claim.claims",
		metric.WithDescription("Claims, by decision: won, lost or failed."))
	if err != nil {
		claims = noop.Int64Counter{}
	}
	return &metrics{appends: appends, claims: claims}
}

func (m *metrics) countAppend(ctx context.Context, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.appends.Add(ctx, 1, metric.WithAttributes(attribute.String("result", result)))
}

func (m *metrics) countDecision(ctx context.Context, p *pendingClaim) {
	decision := "lost"
	if p.err != nil {
		decision = "failed"
	} else if p.result.Won {
		decision = "won"
	}
	m.claims.Add(ctx, 1, metric.WithAttributes(attribute.String("decision", decision)))
}
