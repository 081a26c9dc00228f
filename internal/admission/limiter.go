package admission

import "time"

// Targets of the concurrency limit's control loop.
const (
	// firstTokenTarget is the target for the time to the first token.
	firstTokenTarget = 1800 * time.Millisecond
	// interTokenTarget is the target for the time between two output tokens.
	interTokenTarget = 36 * time.Millisecond
)

const (
	// initialLimit is the concurrency limit before any observation.
	initialLimit = 12
	// minLimit is the smallest concurrency limit.
	minLimit = 2
	// minLimitFactor and maxLimitFactor bound the relative change of the limit in one update.
	minLimitFactor, maxLimitFactor = 0.8, 1.1
	// maxPace bounds the inter-token time, even if the running requests would tolerate more.
	maxPace = 4 * interTokenTarget
	// shortPrefillTokens is a number of prompt tokens whose prefill time is negligible.
	shortPrefillTokens = 1024
	// engineWaitDivisor sets the fraction (1/n) of firstTokenTarget that the first token of a
	// short prompt may take. A longer time means that requests queue inside the backend server.
	engineWaitDivisor = 5
	// prefillTimeDivisor sets the fraction (1/n) of firstTokenTarget that running prefills may use.
	prefillTimeDivisor = 2
	// smallBatchFactor is the largest fraction of the mean inter-token time that is expected of
	// a batch of minLimit requests.
	smallBatchFactor = 0.6
	// minGap is the smallest inter-token time used as a divisor, in seconds.
	minGap = 1e-4
	// minPrefillTokens is the smallest bound on the prompt tokens in prefill.
	minPrefillTokens = 1024
)

// limiter estimates how many requests a backend server can run concurrently from observed
// response times. It fits the inter-token time to the number of running requests and allows
// as many requests as the most urgent of them tolerates.
type limiter struct {
	max   float64
	limit float64
	// gap fits the inter-token time, in seconds, to the number of running requests.
	gap linearFit
	// shortWait is the mean time to the first token of short prompts, in seconds.
	shortWait mean
	// shortWaitUpdated reports whether shortWait changed since the last update of the limit.
	shortWaitUpdated bool

	// limitReached reports whether the limit delayed a request in the current window.
	limitReached bool
}

func newLimiter(maxConcurrency int) *limiter {
	return &limiter{max: float64(maxConcurrency), limit: float64(min(maxConcurrency, initialLimit))}
}

func (l *limiter) value() int { return int(l.limit) }

// observeFirstToken records the time to the first token of a request. ahead is the number of
// prompt tokens in prefill when it started, its own included.
func (l *limiter) observeFirstToken(ahead float64, wait time.Duration) {
	if ahead <= shortPrefillTokens {
		l.shortWait.add(wait.Seconds())
		l.shortWaitUpdated = true
	}
}

// update adjusts the limit at the end of a window. gap is the window's mean inter-token time
// in seconds, running the number of running requests, and pace the time per token that the
// most urgent of them tolerates.
func (l *limiter) update(gap float64, running int, pace time.Duration) {
	l.gap.add(float64(running), gap)
	target := l.sustainable(pace)
	if !l.limitReached {
		target = min(target, l.limit)
	}
	target = min(l.limit*maxLimitFactor+1, max(l.limit*minLimitFactor, target))
	l.limit = min(l.max, max(minLimit, target))
	l.limitReached, l.shortWaitUpdated = false, false
}

// expectedGap returns the expected inter-token time, in seconds, of a batch of running
// requests. It is never less than interTokenTarget.
func (l *limiter) expectedGap(running int) float64 {
	expected := l.gap.predict(float64(max(minLimit, running)))
	if running <= minLimit {
		expected = min(expected, l.gap.seconds.value*smallBatchFactor)
	}
	return max(interTokenTarget.Seconds(), expected)
}

// sustainable returns the number of requests that can run within the targets.
func (l *limiter) sustainable(pace time.Duration) float64 {
	target := l.requestsAtPace(pace)
	if waitRatio := l.shortWait.value * engineWaitDivisor / firstTokenTarget.Seconds(); waitRatio > 1 && l.shortWaitUpdated {
		target = min(target, l.limit/waitRatio)
	}
	return target
}

// requestsAtPace returns the number of requests that can run with the given time per token.
func (l *limiter) requestsAtPace(pace time.Duration) float64 {
	allowed := min(maxPace, max(interTokenTarget, pace)).Seconds()
	if slope := l.gap.slope(); slope > 0 {
		return l.gap.size.value + (allowed-l.gap.seconds.value)/slope
	}
	return l.limit * allowed / max(l.gap.seconds.value, minGap)
}
