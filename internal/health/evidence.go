package health

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// Buckets of lanepb.Evidence histograms. Bucket i holds times from
// FirstBucket·BucketRatio^i up to the start of the next; the first and the
// last bucket also hold what lies beyond. Every process uses the same buckets.
const (
	Buckets = 48
	// FirstBucket is the lower bound of bucket 0.
	FirstBucket = 100 * time.Microsecond
	// BucketRatio is the ratio of one bucket's bound to the one before.
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

// KeyOf returns what evidence is about.
func KeyOf(e *lanepb.Evidence) Key {
	return Key{Pool: e.GetPool(), Version: e.GetVersion(), Route: e.GetRoute()}
}

// Seen returns the number of requests that evidence is about, those included whose
// answers have not ended.
func Seen(e *lanepb.Evidence) uint64 {
	return max(e.GetRequests(), uint64(totalCount(e.GetFirstToken())))
}

// Merge sums up evidence of several processes, one sum for each key, in the order of keys.
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

// Sum sums up evidence whatever it is about.
func Sum(evidence ...*lanepb.Evidence) *lanepb.Evidence {
	sum := newEvidence(Key{})
	for _, e := range evidence {
		addEvidence(sum, e)
	}
	return sum
}

// Since returns what a growing sum holds beyond an earlier state of it (nil: nothing). It
// reports false if the sum has not grown.
func Since(earlier, current *lanepb.Evidence) (*lanepb.Evidence, bool) {
	delta := newEvidence(KeyOf(current))
	addEvidence(delta, current)
	if Seen(delta) <= Seen(earlier) && current.GetRequests() <= earlier.GetRequests() {
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

// overdueQuantile and overdueBuckets make up the time from which on an answer counts as
// overdue: so many buckets longer than that part of the others took.
const (
	overdueQuantile = 0.9
	overdueBuckets  = DefaultSlowBuckets + 2
)

// Overdue returns how long a request may wait for its first part before that tells of a
// slow server, by the evidence of usual ones. It reports false if that is too little.
func Overdue(baseline *lanepb.Evidence) (time.Duration, bool) {
	n := totalCount(baseline.GetFirstToken())
	if n < DefaultMinRequests {
		return 0, false
	}
	return BucketStart(quantileBucket(baseline.GetFirstToken(), overdueQuantile*n) + overdueBuckets), true
}

// Trim cuts the empty buckets off the end of the histograms, for sending.
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

// addHistogram ignores buckets that this process does not know.
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
