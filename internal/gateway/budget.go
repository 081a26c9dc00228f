package gateway

import (
	"slices"
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
	// startedAt is when this process started, or zero if no earlier one can have retried within the window.
	startedAt time.Time
	// liveEntries returns the number of live entries including this one, and whether they are a majority of the known ones.
	liveEntries func() (entries int, hasQuorum bool)

	mu       sync.Mutex
	services map[string]*retryWindow
	entries  entryWindow
}

// retryWindow holds the counts of the last window in a ring of buckets.
type retryWindow struct {
	bucket   int64
	requests [retryBuckets]float64
	retries  [retryBuckets]float64
}

// entryWindow holds the largest numbers of live entries in the last window, in a ring of buckets.
type entryWindow struct {
	bucket int64
	most   [retryBuckets + 1]int
}

func newRetryBudget(bounds RetryBounds, startedAt time.Time, liveEntries func() (entries int, hasQuorum bool)) *retryBudget {
	return &retryBudget{bounds: bounds, startedAt: startedAt, liveEntries: liveEntries, services: map[string]*retryWindow{}}
}

// countRequest counts a request that is sent.
func (b *retryBudget) countRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.requests[w.bucket%retryBuckets]++
	b.mostEntries(now)
}

// take consumes one retry and reports whether one was available.
func (b *retryBudget) take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	if !b.allows(w, now) {
		return false
	}
	w.retries[w.bucket%retryBuckets]++
	return true
}

// available reports whether a retry is available, without consuming it.
func (b *retryBudget) available(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.window(service, now), now)
}

func (b *retryBudget) allows(w *retryWindow, now time.Time) bool {
	requests, retries := 0.0, 0.0
	for i := range retryBuckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	return retries+1 <= retryBoundFraction*(b.bounds.Ratio*requests+b.slack(now))
}

// slack returns this entry's part of the slack. An earlier process of this machine may have used its part in the window
// before this one started, and an entry that was alive in the last window its own.
func (b *retryBudget) slack(now time.Time) float64 {
	entries := b.mostEntries(now)
	if !b.startedAt.IsZero() && now.Sub(b.startedAt) < b.bounds.Window+b.bucketLength() {
		return 0
	}
	return b.bounds.Slack / float64(max(entries, 1))
}

// mostEntries returns the largest number of live entries in the last window. Without a majority, the others are likely to
// serve although this entry can't reach them.
func (b *retryBudget) mostEntries(now time.Time) int {
	bucket := now.UnixNano() / int64(b.bucketLength())
	w := &b.entries
	size := int64(len(w.most))
	n, hasQuorum := b.liveEntries()
	if !hasQuorum {
		n = max(n, slices.Max(w.most[:]))
	}
	for w.bucket = max(w.bucket, bucket-size); w.bucket < bucket; {
		w.bucket++
		w.most[w.bucket%size] = 0
	}
	w.most[w.bucket%size] = max(w.most[w.bucket%size], n)
	return slices.Max(w.most[:])
}

func (b *retryBudget) bucketLength() time.Duration {
	return max(b.bounds.Window/retryBuckets, time.Millisecond)
}

func (b *retryBudget) window(service string, now time.Time) *retryWindow {
	w := b.services[service]
	bucket := now.UnixNano() / int64(b.bucketLength())
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
