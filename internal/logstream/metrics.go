package logstream

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// metrics are the instruments of a client.
type metrics struct {
	appends      metric.Int64Counter
	readFailures metric.Int64Counter
}

func newMetrics(meter metric.Meter, holder *config.Holder) *metrics {
	appends, err := meter.Int64Counter("lagoonlane.config.appends",
		metric.WithDescription("Appends to the configuration stream, by kind of record and result."))
	if err != nil {
		appends = noop.Int64Counter{}
	}
	failures, err := meter.Int64Counter("lagoonlane.config.read_failures",
		metric.WithDescription("Reads of the configuration stream that failed."))
	if err != nil {
		failures = noop.Int64Counter{}
	}
	// If registering the gauge fails, the other instruments still work.
	_, _ = meter.Int64ObservableGauge("lagoonlane.config.offset",
		metric.WithDescription("Offset of the configuration in force at this process."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(holder.Current().GetOffset()))
			return nil
		}))
	return &metrics{appends: appends, readFailures: failures}
}

func (m *metrics) recordReadFailure(ctx context.Context) { m.readFailures.Add(ctx, 1) }

func (m *metrics) recordAppend(ctx context.Context, record *configpb.Record, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.appends.Add(ctx, 1, metric.WithAttributes(
		attribute.String("kind", recordKind(record)),
		attribute.String("result", result)))
}

func recordKind(record *configpb.Record) string {
	switch record.GetBody().(type) {
	case *configpb.Record_Command:
		return "command"
	case *configpb.Record_Snapshot:
		return "snapshot"
	case *configpb.Record_Lease:
		return "lease"
	case *configpb.Record_Progress:
		return "progress"
	case *configpb.Record_Containment:
		return "containment"
	}
	return "unknown"
}
