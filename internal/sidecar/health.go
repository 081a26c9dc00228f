package sidecar

import (
	"sync"
	"time"
)

const (
	// unhealthyAfter is the number of consecutive failures to reach a backend server after
	// which it is unhealthy.
	unhealthyAfter = 3
	// unhealthyFor is how long an unhealthy backend server gets no requests, unless it is
	// reached before. It is longer than the interval of load reports, so that each failed
	// report extends it.
	unhealthyFor = enginePollInterval + enginePollInterval/2
)

// health tracks whether a backend server is reachable. Its zero value is healthy.
type health struct {
	mu sync.Mutex
	// failures is the number of consecutive failures.
	failures int
	// unhealthyUntil is when the backend server counts as healthy again.
	unhealthyUntil time.Time
	// pausedUntil is until when the backend server has asked for no requests.
	pausedUntil time.Time
}

// recordSuccess records a call that reached the backend server, which makes it healthy.
func (h *health) recordSuccess() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = 0
	h.unhealthyUntil = time.Time{}
}

// recordFailure records a call that didn't reach the backend server.
func (h *health) recordFailure(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures++
	if h.failures >= unhealthyAfter {
		h.unhealthyUntil = now.Add(unhealthyFor)
	}
}

// recordPause records that the backend server wants no requests for a time.
func (h *health) recordPause(now time.Time, pause time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := now.Add(pause); until.After(h.pausedUntil) {
		h.pausedUntil = until
	}
}

// pauseLeft returns how long the backend server still wants no requests.
func (h *health) pauseLeft(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.pausedUntil.Sub(now), 0)
}

// healthy reports whether requests may be sent to the backend server.
func (h *health) healthy(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !now.Before(h.unhealthyUntil) && !now.Before(h.pausedUntil)
}
