package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/upstream"
)

const (
	// directShare is the share of a rate limit that all entries together may use while no process
	// grants slots. Each has an equal part of it: entries don't learn of each other's requests in time
	// to use more.
	directShare = 0.25
	// permitTTL is how long a permit for a request without a slot can be used. Permits don't add up
	// while there is no request, so that the entries don't use theirs at the same time.
	permitTTL = 2 * time.Second
	// plainPermitTimeout is how long a request waits for a limited server of a plain service while others
	// could take it: some round trips to the process that keeps the limit.
	plainPermitTimeout = 30 * time.Millisecond
)

// recordNotice records what a backend server asks of its callers in an answer, and passes a new rate
// limit on to the process that granted the slot.
func (g *Gateway) recordNotice(call *call, placed *placement, answer *upstream.Answer, info AnswerInfo) {
	if answer.Status == http.StatusMisdirectedRequest {
		// Another backend server has answered.
		return
	}
	notice, err := g.options.Codec.DecodeNotice(answer.Status, answer.Header)
	if err != nil {
		g.metrics.recordMalformedNotice()
		g.limitedLogger.Warn().Str("request_id", call.info.ID).Str("backend_server", placed.server.ID).Err(err).Msg("malformed header of a backend server")
	}
	if !notice.HasRateLimit && (info.NotRun || !info.Signed) {
		notice.RateLimitUnknown = true
	}
	server := placed.server.Incarnation()
	if g.options.Backpressure.Record(server, notice) && placed.lease != nil {
		placed.lease.ReportRateLimit(server, g.options.Backpressure.LimitReport(server))
	}
}

// rateLimit returns the rate limit of a backend server in requests a second, or 0: the one that it has named, or what
// it tolerates while it is cold.
func (g *Gateway) rateLimit(server fleet.Server) float64 {
	limit, _ := g.options.Backpressure.RateLimit(server.Incarnation())
	cold, _ := g.coldLimit(server)
	if cold > 0 && (limit.PerSecond == 0 || cold < limit.PerSecond) {
		return cold
	}
	return limit.PerSecond
}

// coldLimit returns the requests a second that a cold backend server tolerates and how long it stays cold, or zeros if
// it isn't cold or tolerates any rate.
func (g *Gateway) coldLimit(server fleet.Server) (perSecond float64, left time.Duration) {
	manifest, _ := g.options.Manifest.Current()
	if manifest == nil || manifest.Services[server.Service] == nil {
		return 0, 0
	}
	perSecond = manifest.Services[server.Service].ColdRequestsPerSecond
	until := server.ColdUntil
	if told := g.options.Backpressure.ColdUntil(server.Incarnation()); told.After(until) {
		until = told
	}
	left = time.Until(until)
	if perSecond <= 0 || left <= 0 {
		return 0, 0
	}
	return perSecond, left
}

// accepting returns the backend servers of a list that want requests, or why none does.
func (g *Gateway) accepting(list []fleet.Server) ([]fleet.Server, *Failure) {
	var kept []fleet.Server
	var reason string
	// pause is the shortest time after which one of them wants requests again.
	pause := time.Duration(0)
	for _, server := range list {
		if block, blocked := g.options.Backpressure.Blocked(server.Incarnation()); blocked {
			reason = "backend server " + server.ID + " wants no requests: " + block.Reason()
			if block.Left > 0 && (pause == 0 || block.Left < pause) {
				pause = block.Left
			}
			continue
		}
		kept = append(kept, server)
	}
	if len(kept) == 0 && reason != "" {
		if pause == 0 {
			pause = defaultRetryAfter
		}
		return nil, unavailable(KindNoServer, pause, reason)
	}
	return kept, nil
}

// blocked reports whether a backend server wants no requests.
func (g *Gateway) blocked(server fleet.Server) bool {
	_, blocked := g.options.Backpressure.Blocked(server.Incarnation())
	return blocked
}

// registered reports whether an incarnation of a backend server is registered.
func (g *Gateway) registered(incarnation fleet.Incarnation) bool {
	server, ok := g.options.Directory.Server(incarnation.ID)
	return ok && server.Incarnation() == incarnation
}

// findPlainServer chooses a server of a plain service. One with a rate limit gets the request only
// when the process that keeps the limit grants it.
func (g *Gateway) findPlainServer(ctx context.Context, call *call, list []fleet.Server, options placementOptions) (*placement, *Failure) {
	var unlimited, candidates []fleet.Server
	now := time.Now()
	for _, server := range list {
		limited := g.rateLimit(server) > 0
		if !limited {
			unlimited = append(unlimited, server)
		}
		if !limited || g.servers.rateLimitWait(server.ID, now) == 0 {
			candidates = append(candidates, server)
		}
	}
	if len(unlimited) == 0 {
		return g.waitForSlot(ctx, call, list, options)
	}
	server := g.servers.leastLoaded(candidates, now)
	if g.rateLimit(server) > 0 {
		// The others can take the request at once.
		attempt, cancel := context.WithTimeout(ctx, plainPermitTimeout)
		defer cancel()
		if placed, failure := g.waitForSlot(attempt, call, []fleet.Server{server}, options); failure == nil {
			return placed, nil
		}
		server = g.servers.leastLoaded(unlimited, now)
	}
	return &placement{server: server, release: func(admission.Outcome) {}}, nil
}

// acquireDirect reports whether an engine may get the call without a slot, and counts it.
func (t *ticketSet) acquireDirect(server fleet.Server) bool {
	g := t.gateway
	if limit := g.rateLimit(server); limit > 0 {
		wait := g.servers.takePermit(server.ID, directShare*limit/float64(max(g.options.Entries(), 1)), time.Now())
		if wait > 0 {
			reason := fmt.Sprintf("no process grants slots; rate limit of %g requests a second", limit)
			if report := g.options.Backpressure.LimitReport(server.Incarnation()); report != nil {
				reason += fmt.Sprintf(", named %d ms ago to %s", report.AgeMS, report.By)
			}
			t.recordRateLimited(reason, wait)
			return false
		}
	}
	return g.servers.acquireDirect(server.ID)
}

// recordRateLimited records a refusal for the rate limit of an engine.
func (t *ticketSet) recordRateLimited(reason string, retryAfter time.Duration) {
	t.rateLimited++
	t.refusalReason = reason
	t.recordRetryAfter(retryAfter)
}

// takePermit takes a permit for a request without a slot. If there is none, it returns the time until
// the next one. Permits come at random times with a mean rate a second.
func (t *serverTable) takePermit(id string, rate float64, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id)
	pause := func() time.Duration {
		return time.Duration(min(rand.ExpFloat64()/rate, time.Hour.Seconds()) * float64(time.Second))
	}
	if s.nextPermit.IsZero() {
		s.nextPermit = now.Add(pause())
	}
	if oldest := now.Add(-permitTTL); s.nextPermit.Before(oldest) {
		s.nextPermit = oldest.Add(pause())
	}
	if wait := s.nextPermit.Sub(now); wait > 0 {
		return wait
	}
	s.nextPermit = s.nextPermit.Add(pause())
	return 0
}

// rateLimitWait returns how long a server takes no request because of its rate limit, as far as is
// known.
func (t *serverTable) rateLimitWait(id string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(id).rateLimitWait(now)
}

func (s *serverStats) rateLimitWait(now time.Time) time.Duration {
	return max(s.slotLoad.RateLimitWait-now.Sub(s.slotLoadAt), 0)
}

// observeRateLimits registers gauges for the rate limits of backend servers.
func (g *Gateway) observeRateLimits(meter metric.Meter) error {
	if meter == nil {
		return nil
	}
	rate, err := meter.Float64ObservableGauge("lagoonlane_gateway_rate_limit", metric.WithDescription("rate limit that a backend server has named, in requests a second, by the process that it told"))
	if err != nil {
		return errors.WithStack(err)
	}
	age, err := meter.Float64ObservableGauge("lagoonlane_gateway_rate_limit_age", metric.WithUnit("s"), metric.WithDescription("time since a backend server last named its rate limit"))
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, limited := range g.options.Backpressure.Limited() {
			attributes := metric.WithAttributes(attribute.String("backend_server", limited.Server.ID), attribute.String("told", limited.By))
			o.ObserveFloat64(rate, limited.PerSecond, attributes)
			o.ObserveFloat64(age, limited.Age.Seconds(), attributes)
		}
		return nil
	}, rate, age)
	return errors.WithStack(err)
}
