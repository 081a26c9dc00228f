package admission

import "time"

// Targets that the concurrency limit is steered by.
const (
	// firstTokenTarget is the time to the first token that callers should see.
	firstTokenTarget = 1800 * time.Millisecond
	// interTokenTarget is the time from one output token to the next.
	interTokenTarget = 36 * time.Millisecond
)

const (
	// initialLimit is the concurrency before anything is learned.
	initialLimit = 12
	// minLimit is the smallest concurrency.
	minLimit = 2
	// minLimitFactor and maxLimitFactor bound one change of the limit, as a factor.
	minLimitFactor, maxLimitFactor = 0.8, 1.1
	// maxPace bounds the inter-token time, whatever the running requests allow.
	maxPace = 4 * interTokenTarget
	// shortPrefillTokens is a number of prompt tokens whose prefill takes next to no time.
	shortPrefillTokens = 1024
	// engineWaitDivisor is the part (1/n) of firstTokenTarget that a short prompt may
	// take: more means that requests wait inside the backend server.
	engineWaitDivisor = 5
	// prefillTimeDivisor is the part (1/n) of firstTokenTarget that running prefill may fill.
	prefillTimeDivisor = 2
	// smallBatchFactor is the part of the inter-token time that is left when the
	// batch is made small, at most.
	smallBatchFactor = 0.6
	// minGap keeps divisions by an inter-token time finite, in seconds.
	minGap = 1e-4
	// minPrefillTokens is the smallest bound of the prompt tokens in prefill.
	minPrefillTokens = 1024
)

// limiter learns how many requests a backend server can run at a time, from the
// times that its answers show. It fits the inter-token time to the number of requests
// that run, and allows as many as the most urgent of them can bear.
type limiter struct {
	max   float64
	limit float64
	// gap fits the inter-token time, in seconds, to the number of running requests.
	gap linearFit
	// shortWait is the mean time to the first token of short prompts, in seconds.
	shortWait mean
	// shortWaitUpdated is true if shortWait changed since the last change of the limit.
	shortWaitUpdated bool

	// limitReached is true if the limit held a request back in this window.
	limitReached bool
}

func newLimiter(maxConcurrency int) *limiter {
	return &limiter{max: float64(maxConcurrency), limit: float64(min(maxConcurrency, initialLimit))}
}

func (l *limiter) value() int { return int(l.limit) }

// observeFirstToken takes the time to the first token of a request that was
// started beside so many prompt tokens in prefill.
func (l *limiter) observeFirstToken(ahead float64, wait time.Duration) {
	if ahead <= shortPrefillTokens {
		l.shortWait.add(wait.Seconds())
		l.shortWaitUpdated = true
	}
}

// update changes the limit after a window in which so many requests ran, with a
// mean inter-token time in seconds. The pace is the time that the most urgent of
// them has for each token.
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

// expectedGap returns the inter-token time, in seconds, that a batch of so many
// requests is expected to have, and at least its target.
func (l *limiter) expectedGap(running int) float64 {
	expected := l.gap.predict(float64(max(minLimit, running)))
	if running <= minLimit {
		expected = min(expected, l.gap.seconds.value*smallBatchFactor)
	}
	return max(interTokenTarget.Seconds(), expected)
}

// sustainable returns how many requests can run within the targets.
func (l *limiter) sustainable(pace time.Duration) float64 {
	target := l.requestsAtPace(pace)
	if waitRatio := l.shortWait.value * engineWaitDivisor / firstTokenTarget.Seconds(); waitRatio > 1 && l.shortWaitUpdated {
		target = min(target, l.limit/waitRatio)
	}
	return target
}

// requestsAtPace returns how many requests can run at a pace.
func (l *limiter) requestsAtPace(pace time.Duration) float64 {
	allowed := min(maxPace, max(interTokenTarget, pace)).Seconds()
	if slope := l.gap.slope(); slope > 0 {
		return l.gap.size.value + (allowed-l.gap.seconds.value)/slope
	}
	return l.limit * allowed / max(l.gap.seconds.value, minGap)
}
