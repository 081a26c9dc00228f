package sidecar

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// metrics holds the counters and histograms of the sidecar. docs/METRICS.md describes them.
type metrics struct {
	queueTime  metric.Float64Histogram
	firstToken metric.Float64Histogram
	refusals   metric.Int64Counter
	dispatches metric.Int64Counter
	orders     metric.Int64Counter
}

func newMetrics(meter metric.Meter) (*metrics, error) {
	meter = orNoop(meter)
	m := &metrics{}
	var err error
	if m.queueTime, err = meter.Float64Histogram("lagoonlane.sidecar.queue.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival in the queue to its grant or refusal")); err != nil {
		return nil, errors.Wrap(err, "queue duration instrument")
	}
	if m.firstToken, err = meter.Float64Histogram("lagoonlane.sidecar.first_token.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from the hand-over to the first byte of the answer's body")); err != nil {
		return nil, errors.Wrap(err, "first token instrument")
	}
	if m.refusals, err = meter.Int64Counter("lagoonlane.sidecar.refusals", metric.WithUnit("{request}"),
		metric.WithDescription("Requests refused before dispatch, by reason")); err != nil {
		return nil, errors.Wrap(err, "refusals instrument")
	}
	if m.dispatches, err = meter.Int64Counter("lagoonlane.sidecar.dispatches", metric.WithUnit("{dispatch}"),
		metric.WithDescription("Dispatches that ended, by whether the answer was whole")); err != nil {
		return nil, errors.Wrap(err, "dispatches instrument")
	}
	if m.orders, err = meter.Int64Counter("lagoonlane.sidecar.orders", metric.WithUnit("{order}"),
		metric.WithDescription("Answers to orders, by result")); err != nil {
		return nil, errors.Wrap(err, "orders instrument")
	}
	return m, nil
}

// orNoop returns a meter that discards all measurements in place of nil.
func orNoop(meter metric.Meter) metric.Meter {
	if meter == nil {
		return noop.NewMeterProvider().Meter("")
	}
	return meter
}

// gauges holds the instruments that read the state of the queues at each collection.
type gauges struct {
	running, queued, limit metric.Int64ObservableGauge
	speed                  metric.Float64ObservableGauge
	answerBytes            metric.Int64ObservableGauge
}

// registerGauges registers the gauges of the sidecar.
func (s *Sidecar) registerGauges(meter metric.Meter) error {
	meter = orNoop(meter)
	g, err := newGauges(meter)
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s.observeGauges(o, g)
		return nil
	}, g.running, g.queued, g.limit, g.speed, g.answerBytes)
	return errors.Wrap(err, "gauges")
}

func newGauges(meter metric.Meter) (*gauges, error) {
	g := &gauges{}
	var err error
	if g.running, err = meter.Int64ObservableGauge("lagoonlane.sidecar.running", metric.WithUnit("{request}"),
		metric.WithDescription("Requests granted or running")); err != nil {
		return nil, errors.Wrap(err, "running instrument")
	}
	if g.queued, err = meter.Int64ObservableGauge("lagoonlane.sidecar.queued", metric.WithUnit("{request}"),
		metric.WithDescription("Requests in the queue")); err != nil {
		return nil, errors.Wrap(err, "queued instrument")
	}
	if g.limit, err = meter.Int64ObservableGauge("lagoonlane.sidecar.limit", metric.WithUnit("{request}"),
		metric.WithDescription("Concurrency that is allowed now")); err != nil {
		return nil, errors.Wrap(err, "limit instrument")
	}
	if g.speed, err = meter.Float64ObservableGauge("lagoonlane.sidecar.speed", metric.WithUnit("{token}/s"),
		metric.WithDescription("Learned speed in prefill-equivalent tokens")); err != nil {
		return nil, errors.Wrap(err, "speed instrument")
	}
	if g.answerBytes, err = meter.Int64ObservableGauge("lagoonlane.sidecar.answers.kept", metric.WithUnit("By"),
		metric.WithDescription("Finished answers that are kept for readers that come back")); err != nil {
		return nil, errors.Wrap(err, "answers instrument")
	}
	return g, nil
}

// observeGauges records the current state of all queues and of the retained answers.
func (s *Sidecar) observeGauges(o metric.Observer, g *gauges) {
	for _, id := range s.serverIDs {
		load := s.servers[id].queue.Load()
		label := metric.WithAttributes(attribute.String("backend_server", id))
		o.ObserveInt64(g.running, int64(load.Running), label)
		o.ObserveInt64(g.queued, int64(load.Queued), label)
		o.ObserveInt64(g.limit, int64(load.Limit), label)
		o.ObserveFloat64(g.speed, load.TokensPerSecond, label)
	}
	o.ObserveInt64(g.answerBytes, int64(s.table.retainedBytes()))
}

// recordQueueTime records the time that a request spent in the queue until its decision.
func (m *metrics) recordQueueTime(d *dispatch, wait time.Duration) {
	m.queueTime.Record(context.Background(), wait.Seconds(), metric.WithAttributes(
		attribute.String("backend_server", d.server.ID),
		attribute.String("tier", d.request.GetTier()),
		attribute.Bool("granted", d.ticket.Refusal() == nil)))
}

// recordFirstByte records the time until the first byte of an answer's body.
func (m *metrics) recordFirstByte(d *dispatch, wait time.Duration) {
	m.firstToken.Record(context.Background(), wait.Seconds(), metric.WithAttributes(
		attribute.String("backend_server", d.server.ID), attribute.String("tier", d.request.GetTier())))
}

// countRefusal counts a refusal by reason.
func (m *metrics) countRefusal(backendServer string, reason lanepb.RefusalReason) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("backend_server", backendServer), enumAttribute("reason", reason.String(), "REFUSAL_REASON_")))
}

// countDispatch counts a finished dispatch; err is nil if its answer was complete.
func (m *metrics) countDispatch(d *dispatch, err error) {
	m.dispatches.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("backend_server", d.server.ID), attribute.Bool("whole", err == nil)))
}

// countOrder counts a response to an order by result.
func (m *metrics) countOrder(backendServer string, result lanepb.OrderResponse_Result) {
	m.orders.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("backend_server", backendServer), enumAttribute("result", result.String(), "RESULT_")))
}

// enumAttribute returns a label with the lower-case name of an enum value, without prefix.
func enumAttribute(key, name, prefix string) attribute.KeyValue {
	return attribute.String(key, strings.ToLower(strings.TrimPrefix(name, prefix)))
}
