package gateway

import (
	"sync"
	"time"
)

const (
	// retryBuckets is the number of parts in which the retry window is counted.
	retryBuckets = 10
	// retryBoundFraction is the part of the deployment's bound that is used: entries don't know
	// each other's requests of this moment.
	retryBoundFraction = 0.7
)

// RetryBounds bound the repeated sends to a service over all entries.
type RetryBounds struct {
	// Ratio is the number of repeats for each request.
	Ratio float64
	// Window is the time over which they are counted.
	Window time.Duration
	// Slack is the number of repeats that are allowed in any window besides.
	Slack float64
}

// retryBudget counts the requests and repeats of each service at this entry, and
// keeps to this entry's part of the bounds. Times are those of the steady clock: the
// window must not jump with the time of day. It is safe for concurrent use.
type retryBudget struct {
	bounds RetryBounds

	mu       sync.Mutex
	services map[string]*retryWindow
}

// retryWindow holds the counts of the last window in a ring.
type retryWindow struct {
	bucket   int64
	requests [retryBuckets]float64
	retries  [retryBuckets]float64
}

func newRetryBudget(bounds RetryBounds) *retryBudget {
	return &retryBudget{bounds: bounds, services: map[string]*retryWindow{}}
}

// countRequest counts the first send of a request.
func (b *retryBudget) countRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.requests[w.bucket%retryBuckets]++
}

// take uses one repeat and reports whether there was one. Entries is the number of
// entries that share the slack.
func (b *retryBudget) take(service string, entries int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	if !b.allows(w, entries) {
		return false
	}
	w.retries[w.bucket%retryBuckets]++
	return true
}

// available reports whether there is a repeat to take.
func (b *retryBudget) available(service string, entries int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.window(service, now), entries)
}

func (b *retryBudget) allows(w *retryWindow, entries int) bool {
	requests, repeats := 0.0, 0.0
	for i := range retryBuckets {
		requests += w.requests[i]
		repeats += w.retries[i]
	}
	allowed := retryBoundFraction * (b.bounds.Ratio*requests + b.bounds.Slack/float64(max(entries, 1)))
	return repeats+1 <= allowed
}

func (b *retryBudget) window(service string, now time.Time) *retryWindow {
	w := b.services[service]
	length := max(b.bounds.Window/retryBuckets, time.Millisecond)
	slot := now.UnixNano() / int64(length)
	if w == nil {
		w = &retryWindow{bucket: slot}
		b.services[service] = w
	}
	for w.bucket < slot {
		w.bucket++
		w.requests[w.bucket%retryBuckets], w.retries[w.bucket%retryBuckets] = 0, 0
		if slot-w.bucket > retryBuckets {
			w.bucket = slot - retryBuckets
		}
	}
	return w
}
