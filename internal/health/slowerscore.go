package health

import "math"

// Stratum holds the latency histograms of two versions under the same conditions, such as on one
// route.
type Stratum struct{ Old, New []uint32 }

// SlowerScore returns the number of standard errors by which the new version's times, reduced by
// bucketShift buckets, rank above the old version's (stratified rank sums). It detects a shift of
// all times from few requests, as it compares only times of the same stratum. It hardly detects a
// fault that affects only few requests. Strata with too few old times are ignored.
func SlowerScore(strata []Stratum, bucketShift int) float64 {
	sum, variance := 0.0, 0.0
	for _, s := range strata {
		oldTotal, newTotal := totalCount(s.Old), totalCount(s.New)
		if oldTotal < DefaultMinRequests || newTotal == 0 {
			continue
		}
		for bucket, n := range s.New {
			if n == 0 {
				continue
			}
			greater := countAbove(s.Old, bucket-bucketShift)
			equal := countAbove(s.Old, bucket-bucketShift-1) - greater
			sum += float64(n) * (0.5 - (greater+equal/2)/oldTotal)
		}
		variance += newTotal / 12 * (1 + newTotal/oldTotal)
	}
	if variance == 0 {
		return 0
	}
	return sum / math.Sqrt(variance)
}
