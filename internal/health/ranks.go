package health

import "math"

// Stratum holds the times of two versions under the same conditions, such as on one route.
type Stratum struct{ Old, New []uint32 }

// SlowerScore returns by how many standard errors the new version's times, made faster by
// some buckets, rank above the old version's (rank sums, stratified). It sees a shift of
// all times in a few requests, as it compares each with others of its kind; what befalls a
// few requests only, it hardly sees. Strata with too few old times don't count.
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
