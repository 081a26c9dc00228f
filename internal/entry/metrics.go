package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// Results of an attempt.
const (
	attemptAnswered    = "answered"
	attemptRefused     = "refused"
	attemptUnreachable = "unreachable"
	attemptFailed      = "failed"
	attemptNotClaimed  = "not-claimed"
)

// resultAnswered is the result of a request that got the answer of a backend server. For other
// requests the result is the kind of the problem.
const resultAnswered = "answered"

// durationBuckets are the bucket boundaries of the histograms, in seconds.
var durationBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 25, 60, 120, 300}

// metrics holds the instruments of the entry. docs/METRICS.md describes them.
type metrics struct {
	requests  metric.Int64Counter
	duration  metric.Float64Histogram
	firstByte metric.Float64Histogram
	running   metric.Int64UpDownCounter
	attempts  metric.Int64Counter
	retries   metric.Int64Counter
	resumes   metric.Int64Counter
	refreshes metric.Int64Counter
}

// newMetrics creates the instruments. A nil meter creates instruments that record nothing.
func newMetrics(meter metric.Meter) (*metrics, error) {
	if meter == nil {
		meter = noop.NewMeterProvider().Meter("")
	}
	m := &metrics{}
	counters := []struct {
		into              *metric.Int64Counter
		name, unit, about string
	}{
		{&m.requests, "lagoonlane.entry.requests", "{request}", "Requests that got their final answer, by result"},
		{&m.attempts, "lagoonlane.entry.attempts", "{attempt}", "Attempts at sidecars, by result"},
		{&m.retries, "lagoonlane.entry.retries", "{retry}", "Retries at another sidecar, by whether the budget allowed them"},
		{&m.resumes, "lagoonlane.entry.resumes", "{resume}", "Broken answer streams that were resumed"},
		{&m.refreshes, "lagoonlane.entry.load_refreshes", "{call}", "Loads that were asked for because no reply had carried them"},
	}
	for _, spec := range counters {
		counter, err := meter.Int64Counter(spec.name, metric.WithUnit(spec.unit), metric.WithDescription(spec.about))
		if err != nil {
			return nil, errors.Wrap(err, spec.name)
		}
		*spec.into = counter
	}
	return m, m.addOtherInstruments(meter)
}

// addOtherInstruments creates the up-down counter and the histograms.
func (m *metrics) addOtherInstruments(meter metric.Meter) error {
	var err error
	if m.running, err = meter.Int64UpDownCounter("lagoonlane.entry.running", metric.WithUnit("{request}"),
		metric.WithDescription("Requests that wait or run")); err != nil {
		return errors.Wrap(err, "create instrument lagoonlane.entry.running")
	}
	if m.duration, err = meter.Float64Histogram("lagoonlane.entry.request.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to the end of its answer"),
		metric.WithExplicitBucketBoundaries(durationBuckets...)); err != nil {
		return errors.Wrap(err, "create instrument lagoonlane.entry.request.duration")
	}
	if m.firstByte, err = meter.Float64Histogram("lagoonlane.entry.first_byte.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a request's arrival to the first byte of its answer"),
		metric.WithExplicitBucketBoundaries(durationBuckets...)); err != nil {
		return errors.Wrap(err, "create instrument lagoonlane.entry.first_byte.duration")
	}
	return nil
}

// recordRejected counts a request that was rejected before its route was known.
func (m *metrics) recordRejected(problem *Problem) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", string(problem.Kind)),
		attribute.String("outcome", string(problem.Outcome))))
}

// recordFinished records the result and duration of a request. A nil problem means a complete
// answer; r is nil if no attempt was made.
func (m *metrics) recordFinished(c *call, r *relay, problem *Problem) {
	ctx := context.Background()
	attributes := []attribute.KeyValue{
		attribute.String("route", c.route.GetName()),
		attribute.String("tier", c.tier.GetName()),
	}
	result, outcome := resultAnswered, ""
	if problem != nil {
		result, outcome = string(problem.Kind), string(problem.Outcome)
	}
	m.requests.Add(ctx, 1, metric.WithAttributes(append(attributes, attribute.String("result", result), attribute.String("outcome", outcome))...))
	labels := metric.WithAttributes(attributes...)
	m.duration.Record(ctx, time.Since(c.started).Seconds(), labels)
	if r != nil && r.chunks > 0 {
		m.firstByte.Record(ctx, r.firstChunkTime.Sub(c.started).Seconds(), labels)
	}
}

// recordAttempt counts one attempt at a sidecar.
func (m *metrics) recordAttempt(c *call, result string) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("route", c.route.GetName()), attribute.String("result", result)))
}

// recordRetry counts a retry and whether the retry budget allowed it.
func (m *metrics) recordRetry(allowed bool) {
	m.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("allowed", allowed)))
}

// attemptResult returns the value of the result attribute for an attempt.
func attemptResult(err error) string {
	var refused *RefusedError
	switch {
	case err == nil:
		return attemptAnswered
	case claimProblem(err) != nil:
		return attemptNotClaimed
	case errors.As(err, &refused):
		return attemptRefused
	case isUnreachable(err):
		return attemptUnreachable
	}
	return attemptFailed
}
