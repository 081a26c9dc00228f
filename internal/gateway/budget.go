package gateway

import (
	"sync"
	"time"
)

const (
	// retryBuckets is the number of buckets into which the retry window is divided.
	retryBuckets = 10
	// retryBoundFraction is the fraction of the deployment's bound that is used. The rest is a
	// margin, because an entry doesn't have the current request counts of the other entries.
	retryBoundFraction = 0.7
)

// RetryBounds limits the retries of requests to a service across all entries.
type RetryBounds struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
	// Slack is the number of retries allowed in any window in addition to Ratio.
	Slack float64
}

// retryBudget counts the requests and retries of each service at this entry, and limits the
// retries to this entry's share of the bounds. Times are those of the clock that counts
// suspension, so that a step of the wall clock doesn't move the window. It is safe for concurrent use.
type retryBudget struct {
	bounds RetryBounds

	mu       sync.Mutex
	services map[string]*retryWindow
}

// retryWindow holds the counts of the last window in a ring of buckets.
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

// take consumes one retry and reports whether one was available. The slack is divided by
// entries, the number of live entries.
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

// available reports whether a retry is available, without consuming it.
func (b *retryBudget) available(service string, entries int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.window(service, now), entries)
}

func (b *retryBudget) allows(w *retryWindow, entries int) bool {
	requests, retries := 0.0, 0.0
	for i := range retryBuckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := retryBoundFraction * (b.bounds.Ratio*requests + b.bounds.Slack/float64(max(entries, 1)))
	return retries+1 <= allowed
}

func (b *retryBudget) window(service string, now time.Time) *retryWindow {
	w := b.services[service]
	length := max(b.bounds.Window/retryBuckets, time.Millisecond)
	bucket := now.UnixNano() / int64(length)
	if w == nil {
		w = &retryWindow{bucket: bucket}
		b.services[service] = w
	}
	for w.bucket < bucket {
		w.bucket++
		w.requests[w.bucket%retryBuckets], w.retries[w.bucket%retryBuckets] = 0, 0
		if bucket-w.bucket > retryBuckets {
			w.bucket = bucket - retryBuckets
		}
	}
	return w
}
