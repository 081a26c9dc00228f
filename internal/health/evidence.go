package health

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// Buckets of lanepb.Evidence histograms. Bucket i holds times from FirstBucket·BucketRatio^i up
// to the start of the next bucket. The first and the last bucket also hold times beyond the
// range. All processes must use the same buckets.
const (
	Buckets = 48
	// FirstBucket is the lower bound of bucket 0.
	FirstBucket = 100 * time.Microsecond
	// BucketRatio is the ratio of the lower bounds of consecutive buckets.
	BucketRatio = 1.333521432163324
)

// bucketOf returns the index of the bucket that holds a time.
func bucketOf(d time.Duration) int {
	if d <= FirstBucket {
		return 0
	}
	i := int(math.Log(float64(d)/float64(FirstBucket)) / math.Log(BucketRatio))
	return min(i, Buckets-1)
}

// BucketStart returns the lower bound of a bucket.
func BucketStart(i int) time.Duration {
	return time.Duration(float64(FirstBucket) * math.Pow(BucketRatio, float64(i)))
}

func newEvidence(key Key) *lanepb.Evidence {
	return &lanepb.Evidence{
		Pool:       key.Pool,
		Version:    key.Version,
		Route:      key.Route,
		FirstToken: make([]uint32, Buckets),
		InterToken: make([]uint32, Buckets),
	}
}

// KeyOf returns the key of evidence.
func KeyOf(e *lanepb.Evidence) Key {
	return Key{Pool: e.GetPool(), Version: e.GetVersion(), Route: e.GetRoute()}
}

// ObservedRequests returns the number of requests that the evidence covers, including those whose
// answers have started but not ended.
func ObservedRequests(e *lanepb.Evidence) uint64 {
	return max(e.GetRequests(), uint64(totalCount(e.GetFirstToken())))
}

// Merge adds up evidence of several processes by key. The result is sorted by key.
func Merge(evidence ...*lanepb.Evidence) []*lanepb.Evidence {
	sums := map[Key]*lanepb.Evidence{}
	var all []*lanepb.Evidence
	for _, e := range evidence {
		key := KeyOf(e)
		sum, ok := sums[key]
		if !ok {
			sum = newEvidence(key)
			sums[key] = sum
			all = append(all, sum)
		}
		addEvidence(sum, e)
	}
	sortEvidence(all)
	return all
}

// Sum adds up evidence regardless of its key.
func Sum(evidence ...*lanepb.Evidence) *lanepb.Evidence {
	sum := newEvidence(Key{})
	for _, e := range evidence {
		addEvidence(sum, e)
	}
	return sum
}

// Delta returns the part of a cumulative sum that was added after an earlier state of it (nil:
// the empty state). It returns false if the sum has not grown.
func Delta(earlier, current *lanepb.Evidence) (*lanepb.Evidence, bool) {
	delta := newEvidence(KeyOf(current))
	addEvidence(delta, current)
	if ObservedRequests(delta) <= ObservedRequests(earlier) && current.GetRequests() <= earlier.GetRequests() {
		return nil, false
	}
	delta.Requests -= min(earlier.GetRequests(), delta.Requests)
	delta.Errors -= min(earlier.GetErrors(), delta.Errors)
	delta.BadAnswers -= min(earlier.GetBadAnswers(), delta.BadAnswers)
	subtract(delta.FirstToken, earlier.GetFirstToken())
	subtract(delta.InterToken, earlier.GetInterToken())
	return delta, true
}

func subtract(sum, counts []uint32) {
	for i, n := range counts[:min(len(counts), len(sum))] {
		sum[i] -= min(n, sum[i])
	}
}

// An answer is overdue if it takes overdueBuckets buckets longer than the overdueQuantile of the
// baseline.
const (
	overdueQuantile = 0.9
	overdueBuckets  = DefaultSlowBuckets + 2
)

// OverdueThreshold returns how long a request may wait for its first part before this indicates a
// slow server, based on the evidence of healthy servers. It returns false if that has fewer than
// DefaultMinRequests times to first token.
func OverdueThreshold(baseline *lanepb.Evidence) (time.Duration, bool) {
	n := totalCount(baseline.GetFirstToken())
	if n < DefaultMinRequests {
		return 0, false
	}
	return BucketStart(quantileBucket(baseline.GetFirstToken(), overdueQuantile*n) + overdueBuckets), true
}

// Trim removes trailing empty buckets from the histograms to shorten messages.
func Trim(e *lanepb.Evidence) {
	e.FirstToken = trimmed(e.GetFirstToken())
	e.InterToken = trimmed(e.GetInterToken())
}

func trimmed(counts []uint32) []uint32 {
	for len(counts) > 0 && counts[len(counts)-1] == 0 {
		counts = counts[:len(counts)-1]
	}
	return counts
}

func addEvidence(sum, e *lanepb.Evidence) {
	sum.Requests += e.GetRequests()
	sum.Errors += e.GetErrors()
	sum.BadAnswers += e.GetBadAnswers()
	addHistogram(sum.FirstToken, e.GetFirstToken())
	addHistogram(sum.InterToken, e.GetInterToken())
}

// addHistogram adds counts to sum and ignores buckets beyond the end of sum, which a process with
// more buckets may send.
func addHistogram(sum, counts []uint32) {
	for i, n := range counts[:min(len(counts), len(sum))] {
		sum[i] += n
	}
}

func sortEvidence(all []*lanepb.Evidence) {
	slices.SortFunc(all, func(a, b *lanepb.Evidence) int {
		return cmp.Or(
			cmp.Compare(a.GetPool(), b.GetPool()),
			cmp.Compare(a.GetVersion(), b.GetVersion()),
			cmp.Compare(a.GetRoute(), b.GetRoute()),
		)
	})
}
