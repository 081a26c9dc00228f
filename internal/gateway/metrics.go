package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/lagoonlane/lagoonlane/internal/promptmemory"
)

// latencyBounds are the bucket bounds of the latency histograms in seconds, from a fast answer
// of a plain service to the longest route timeout.
var latencyBounds = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1, 1.5, 2, 4, 8, 15}

// metrics holds the instruments of a gateway.
type metrics struct {
	requests   metric.Int64Counter
	sends      metric.Int64Counter
	cutAnswers metric.Int64Counter
	firstEvent metric.Float64Histogram
	slotWait   metric.Float64Histogram
	badBytes   metric.Int64Counter
	malformed  metric.Int64Counter
	placements metric.Int64Counter
	duration   metric.Float64Histogram
	claims     metric.Int64Counter
	kept       metric.Float64Counter
}

func newMetrics(meter metric.Meter, delay func() time.Duration, memoryUsed func() int64, requests *Requests, blockedParts func() int) (*metrics, error) {
	if meter == nil {
		meter = noop.Meter{}
	}
	m := &metrics{}
	var err error
	if m.requests, err = meter.Int64Counter("lagoonlane_gateway_requests", metric.WithDescription("requests by outcome and status")); err != nil {
		return nil, errors.WithStack(err)
	}
	if m.sends, err = meter.Int64Counter("lagoonlane_gateway_sends", metric.WithDescription("sends to backend servers by verdict")); err != nil {
		return nil, errors.WithStack(err)
	}
	if m.cutAnswers, err = meter.Int64Counter("lagoonlane_gateway_answers_cut", metric.WithDescription("accepted requests without a whole answer by what ended them")); err != nil {
		return nil, errors.WithStack(err)
	}
	if m.badBytes, err = meter.Int64Counter("lagoonlane_gateway_bad_bytes", metric.WithDescription("exchanges with bytes of backend servers that are no answer or too many, by kind")); err != nil {
		return nil, errors.WithStack(err)
	}
	if m.malformed, err = meter.Int64Counter("lagoonlane_gateway_malformed_notices", metric.WithDescription("answers with a malformed header about what the backend server asks of its callers")); err != nil {
		return nil, errors.WithStack(err)
	}
	if m.placements, err = meter.Int64Counter("lagoonlane_gateway_placements", metric.WithDescription("placements at engines by the process that granted the slot")); err != nil {
		return nil, errors.WithStack(err)
	}
	if m.claims, err = meter.Int64Counter("lagoonlane_gateway_prompt_memory_claims", metric.WithDescription("placements of requests of whose prompt an engine probably holds a part, by whether such an engine got the request")); err != nil {
		return nil, errors.WithStack(err)
	}
	if m.kept, err = meter.Float64Counter("lagoonlane_gateway_prompt_memory_tokens", metric.WithDescription("prompt tokens that the chosen engines were expected to hold")); err != nil {
		return nil, errors.WithStack(err)
	}
	for name, target := range map[string]*metric.Float64Histogram{
		"lagoonlane_gateway_first_event": &m.firstEvent,
		"lagoonlane_gateway_slot_wait":   &m.slotWait,
		"lagoonlane_gateway_duration":    &m.duration,
	} {
		if *target, err = meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(latencyBounds...)); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	return m, m.observe(meter, delay, memoryUsed, requests, blockedParts)
}

// observe registers gauges for the scheduling delay, the running requests, the buffered bytes and the blocked prompt
// parts.
func (m *metrics) observe(meter metric.Meter, delay func() time.Duration, memoryUsed func() int64, requests *Requests, blockedParts func() int) error {
	delayGauge, err := meter.Float64ObservableGauge("lagoonlane_process_delay", metric.WithUnit("s"))
	if err != nil {
		return errors.WithStack(err)
	}
	memoryGauge, err := meter.Int64ObservableGauge("lagoonlane_gateway_held", metric.WithUnit("By"))
	if err != nil {
		return errors.WithStack(err)
	}
	runningGauge, err := meter.Int64ObservableGauge("lagoonlane_gateway_running", metric.WithDescription("requests that wait or run"))
	if err != nil {
		return errors.WithStack(err)
	}
	blockedGauge, err := meter.Int64ObservableGauge("lagoonlane_gateway_blocked_prompt_parts", metric.WithDescription("prompt parts that crash engines and are kept from them"))
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveFloat64(delayGauge, delay().Seconds())
		o.ObserveInt64(memoryGauge, memoryUsed())
		o.ObserveInt64(runningGauge, requests.Running())
		o.ObserveInt64(blockedGauge, int64(blockedParts()))
		return nil
	}, delayGauge, memoryGauge, runningGauge, blockedGauge)
	return errors.WithStack(err)
}

func (m *metrics) recordRequest(call *call, p *callProgress, failure *Failure, elapsed time.Duration) {
	ctx := context.Background()
	outcome, status := "answered", p.status
	if failure != nil {
		outcome, status = string(failure.Kind), failure.Status
	}
	service := attribute.String("service", call.service)
	m.requests.Add(ctx, 1, metric.WithAttributes(service, attribute.String("outcome", outcome), attribute.String("status", strconv.Itoa(status))))
	m.duration.Record(ctx, elapsed.Seconds(), metric.WithAttributes(service))
	if failure != nil && failure.CutBy != "" {
		m.cutAnswers.Add(ctx, 1, metric.WithAttributes(service, attribute.String("cause", string(failure.CutBy)), attribute.Bool("started", p.started())))
	}
	if p.firstEvent > 0 {
		m.firstEvent.Record(ctx, p.firstEvent.Seconds(), metric.WithAttributes(service))
	}
	if call.engine != nil {
		m.slotWait.Record(ctx, p.waited.Seconds(), metric.WithAttributes(service))
	}
}

func (m *metrics) recordSend(call *call, v verdict) {
	m.sends.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", call.service), attribute.String("verdict", v.String())))
}

// recordPlacement counts a placement at an engine: by its sidecar, by a deputy, or "direct", without
// a slot.
func (m *metrics) recordPlacement(by string) {
	m.placements.Add(context.Background(), 1, metric.WithAttributes(attribute.String("by", by)))
}

// recordClaim counts a placement of a call of whose prompt some engines probably hold a part, by engine.
func (m *metrics) recordClaim(claims map[string]promptmemory.Claim, chosen string) {
	if len(claims) == 0 {
		return
	}
	outcome := "outweighed"
	if claim, ok := claims[chosen]; ok {
		outcome = "taken"
		m.kept.Add(context.Background(), claim.Tokens)
	}
	m.claims.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

func (m *metrics) recordMalformedNotice() { m.malformed.Add(context.Background(), 1) }
