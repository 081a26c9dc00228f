package slots

import (
	"time"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/backpressure"
	"github.com/lagoonlane/lagoonlane/internal/fleet"
)

const (
	// probeShare is the largest share of an engine's rate limit that probes may use.
	probeShare = 0.05
	// idleProbeInterval is the time between probes while no entry asks for slots.
	idleProbeInterval = 2 * time.Second
	// maxProbeInterval bounds the time between probes of an engine with a very low rate limit.
	maxProbeInterval = time.Minute
	// toldByProbe names the source of a rate limit that a probe has found.
	toldByProbe = "the sidecar's probe"
)

// recordRateLimit applies what an entry or a probe reports of an incarnation's rate limit, unless
// a later statement or incarnation is known. The limit doesn't carry over to another incarnation.
func (s *Server) recordRateLimit(now time.Time, engine fleet.Incarnation, report *backpressure.LimitReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setRateLimit(now, engine, report)
}

// setRateLimit is recordRateLimit for a caller that holds s.mu.
func (s *Server) setRateLimit(now time.Time, engine fleet.Incarnation, report *backpressure.LimitReport) {
	switch {
	case engine == s.engine:
	case s.engine == fleet.Incarnation{}:
		s.engine = engine
	case engine.Replaces(s.engine):
		s.engine, s.rateLimit, s.coldUntil = engine, backpressure.RateLimit{}, time.Time{}
		s.queue.SetRateLimit(now, 0)
	default:
		return
	}
	limit, ok := report.Limit(now)
	if !ok || !limit.Newer(s.rateLimit) {
		return
	}
	if limit.PerSecond != s.rateLimit.PerSecond {
		s.limitedLogger.Info().Str("backend_server", engine.ID).Float64("rate_limit", limit.PerSecond).Float64("previous", s.rateLimit.PerSecond).
			Int64("rate_limit_age_ms", report.AgeMS).Str("told", limit.By).Str("outcome", "applied").Msg("rate limit")
	}
	s.rateLimit = limit
	s.applyRateLimit(now)
}

// toldByCold names the source of the limit of an engine that is warming up.
const toldByCold = "the warm-up of the engine"

// recordCold applies what an entry knows of the engine's warm-up. The longest remaining time that an entry knows
// counts.
func (s *Server) recordCold(now time.Time, request *Request) {
	if request.ColdRate <= 0 || request.ColdLeftMS <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engine != request.Server {
		return
	}
	if until := now.Add(time.Duration(request.ColdLeftMS) * time.Millisecond); until.After(s.coldUntil) {
		s.coldUntil = until
	}
	s.coldRate = request.ColdRate
	s.applyRateLimit(now)
}

// effectiveRate returns the rate to which the engine is limited, in requests a second, or 0. The caller holds s.mu.
func (s *Server) effectiveRate(now time.Time) (rate float64, cold bool) {
	rate = s.rateLimit.PerSecond
	if now.Before(s.coldUntil) && (rate == 0 || s.coldRate < rate) {
		return s.coldRate, true
	}
	return rate, false
}

// applyRateLimit limits the queue to this process's share of the limit. The caller holds s.mu.
func (s *Server) applyRateLimit(now time.Time) {
	rate, _ := s.effectiveRate(now)
	if s.rateShare != nil && rate > 0 {
		rate *= s.rateShare()
	}
	s.queue.SetRateLimit(now, rate)
}

// rateLimitReport returns the engine's rate limit, or nil if there is none.
func (s *Server) rateLimitReport(now time.Time) *backpressure.LimitReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate, cold := s.effectiveRate(now)
	switch {
	case cold:
		return &backpressure.LimitReport{PerSecond: rate, By: toldByCold}
	case rate == 0:
		return nil
	}
	return s.rateLimit.Report(now)
}

// load returns the state of the queue.
func (s *Server) load(now time.Time) admission.SlotLoad {
	load := s.queue.Load(now)
	load.RateLimitWait = s.queue.RateLimitWait(now)
	return load
}

// currentProbeInterval returns the time between probes. Probes of an engine with a rate limit use
// a small share of it. Until the first request of an entry, the limit is unknown and the state of the
// engine is of little use. The caller holds s.mu.
func (s *Server) currentProbeInterval() time.Duration {
	switch {
	case s.rateLimit.PerSecond == 0 && (len(s.conns) == 0 || s.engine == fleet.Incarnation{}):
		return idleProbeInterval
	case s.rateLimit.PerSecond == 0:
		return probeInterval
	}
	interval := min(1/(probeShare*s.rateLimit.PerSecond), maxProbeInterval.Seconds())
	return max(probeInterval, time.Duration(interval*float64(time.Second)))
}

// probesRarely reports whether the last probe says too little of the engine's present requests.
func (s *Server) probesRarely() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentProbeInterval() > unaccountedMaxAge
}

// mayProbe reports whether the engine is to be probed now, and counts the probe.
func (s *Server) mayProbe(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	interval := s.currentProbeInterval()
	if s.probe == nil || now.Before(s.probesPausedUntil) || interval > probeInterval && now.Sub(s.lastProbe) < interval {
		return false
	}
	if interval > probeInterval && s.queue.RateLimitWait(now) > 0 && now.Sub(s.lastProbe) < maxProbeInterval {
		// Requests go first: a probe would make the callers that were told when to return wait longer.
		return false
	}
	s.lastProbe = now
	s.queue.CountRequest(now)
	return true
}

// recordProbe applies what an engine asks for in a report. A report without a rate limit doesn't lift
// one: the engine names it in its answers to requests. The caller holds s.mu.
func (s *Server) recordProbe(now time.Time, state EngineState) {
	if state.NoticeError != nil {
		s.limitedLogger.Warn().Err(state.NoticeError).Msg("malformed header in the report of the engine")
	}
	if state.Notice.HasRateLimit {
		s.setRateLimit(now, s.engine, &backpressure.LimitReport{PerSecond: max(state.Notice.RateLimit, backpressure.MinRate), By: toldByProbe})
	}
}
