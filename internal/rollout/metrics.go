package rollout

import (
	"context"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// metrics holds the instruments of a controller.
type metrics struct {
	sends        metric.Int64Counter
	containments metric.Int64Counter
}

func newMetrics(meter metric.Meter, c *Controller) (*metrics, error) {
	if meter == nil {
		meter = noop.Meter{}
	}
	m := &metrics{}
	var err error
	if m.sends, err = meter.Int64Counter("lagoonlane_rollout_sends", metric.WithDescription("sends during roll-outs, to the target and to others")); err != nil {
		return nil, errors.WithStack(err)
	}
	if m.containments, err = meter.Int64Counter("lagoonlane_rollout_containments", metric.WithDescription("targets that get nothing more")); err != nil {
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
		c.mu.Lock()
		defer c.mu.Unlock()
		for service, v := range c.services {
			if p := v.progress; p != nil {
				attributes := metric.WithAttributes(attribute.String("service", service), attribute.String("target", p.order.Target))
				o.ObserveInt64(state, int64(p.state), attributes)
				o.ObserveFloat64(share, float64(p.trials)/float64(max(p.sends, 1)), attributes)
			}
		}
		return nil
	}, state, share)
	return m, errors.WithStack(err)
}

func (m *metrics) countSend(p *orderProgress, target bool) {
	m.sends.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", p.order.Service), attribute.Bool("target", target)))
}

func (m *metrics) countContainment(p *orderProgress) {
	m.containments.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", p.order.Service), attribute.String("target", p.order.Target)))
}
