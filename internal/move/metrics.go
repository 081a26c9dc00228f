package move

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// driverMetrics holds the instruments of a Driver.
type driverMetrics struct{ progress metric.Int64Counter }

func newDriverMetrics(meter metric.Meter) driverMetrics {
	progress, _ := meter.Int64Counter("lagoonlane.move.progress",
		metric.WithDescription("Steps of moves that this process appended, by state and result."))
	return driverMetrics{progress: progress}
}

// recordProgress counts an appended step, or a failed attempt to append it.
func (m driverMetrics) recordProgress(ctx context.Context, p *configpb.MoveProgress, err error) {
	m.progress.Add(ctx, 1, metric.WithAttributes(
		attribute.String("state", p.GetState().String()), attribute.Bool("ok", err == nil)))
}
