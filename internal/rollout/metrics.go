package rollout

import (
	"context"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// metrics are the instruments of a keeper.
type metrics struct {
	sends metric.Int64Counter
	stops metric.Int64Counter
}

func newMetrics(meter metric.Meter, k *Keeper) (*metrics, error) {
	if meter == nil {
		meter = noop.Meter{}
	}
	m := &metrics{}
	var err error
	if m.sends, err = meter.Int64Counter("lagoonlane_rollout_sends", metric.WithDescription("sends during roll-outs, to the target and to others")); err != nil {
		return nil, errors.WithStack(err)
	}
	if m.stops, err = meter.Int64Counter("lagoonlane_rollout_containments", metric.WithDescription("targets that get nothing more")); err != nil {
		return nil, errors.WithStack(err)
	}
	state, err := meter.Int64ObservableGauge("lagoonlane_rollout_state", metric.WithDescription("0 ordered, 1 active, 2 completed, 3 reverted"))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	share, err := meter.Float64ObservableGauge("lagoonlane_rollout_share", metric.WithDescription("part of this entry's sends that went to the target"))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		k.mu.Lock()
		defer k.mu.Unlock()
		for service, v := range k.services {
			if c := v.course; c != nil {
				attributes := metric.WithAttributes(attribute.String("service", service), attribute.String("target", c.order.Target))
				o.ObserveInt64(state, int64(c.state), attributes)
				o.ObserveFloat64(share, float64(c.trials)/float64(max(c.sends, 1)), attributes)
			}
		}
		return nil
	}, state, share)
	return m, errors.WithStack(err)
}

func (m *metrics) sent(c *course, target bool) {
	m.sends.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", c.order.Service), attribute.Bool("target", target)))
}

func (m *metrics) stopped(c *course) {
	m.stops.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", c.order.Service), attribute.String("target", c.order.Target)))
}
