package health

import (
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// shrinkageRequests is the number of requests at the old version's mean rate that are added to
// each slice, as a slice with few requests gives an unreliable rate.
const shrinkageRequests = 5.0

// WorseInPairedSlices reports whether a new version is worse than the old one when both are
// compared slice by slice of time. A disturbance that affects both at once is thus expected of
// the new one too, even if the shares of the versions change between slices. Both lists must
// cover the same slices. It returns true if there is too little evidence of the old version.
func WorseInPairedSlices(old, new []*lanepb.Evidence, tolerance Tolerance) bool {
	t := tolerance.withDefaults()
	all := Sum(old...)
	if all.GetRequests() < t.MinRequests {
		return true
	}
	return t.higherRate(old, new, errorProportion) || t.higherRate(old, new, badAnswerProportion) ||
		t.slowerTimes(old, new, all.GetFirstToken(), firstTokenTimes) ||
		t.slowerTimes(old, new, all.GetInterToken(), interTokenTimes)
}

// proportion is the number of requests with a property, and the total number of requests.
type proportion struct{ count, total float64 }

func errorProportion(e *lanepb.Evidence) proportion {
	return proportion{float64(e.GetErrors()), float64(e.GetRequests())}
}

func badAnswerProportion(e *lanepb.Evidence) proportion {
	return proportion{float64(e.GetBadAnswers()), float64(e.GetRequests())}
}

func firstTokenTimes(e *lanepb.Evidence) []uint32 { return e.GetFirstToken() }

func interTokenTimes(e *lanepb.Evidence) []uint32 { return e.GetInterToken() }

// higherRate tests whether a property is more frequent with the new version.
func (t Tolerance) higherRate(old, new []*lanepb.Evidence, count func(*lanepb.Evidence) proportion) bool {
	return t.exceedsExpected(countSlices(old, count), countSlices(new, count), t.ErrorFloor)
}

// slowerTimes tests whether the new version has more times above the old version's quantiles,
// over all slices.
func (t Tolerance) slowerTimes(old, new []*lanepb.Evidence, all []uint32, times func(*lanepb.Evidence) []uint32) bool {
	for _, q := range quantiles {
		bucket := quantileBucket(all, q*totalCount(all))
		aboveBucket := func(bucket int) func(*lanepb.Evidence) proportion {
			return func(e *lanepb.Evidence) proportion {
				return proportion{countAbove(times(e), bucket), totalCount(times(e))}
			}
		}
		oldCounts, newCounts := countSlices(old, aboveBucket(bucket)), countSlices(new, aboveBucket(bucket+t.SlowBuckets))
		if t.exceedsExpected(oldCounts, newCounts, t.StalledFraction) {
			return true
		}
	}
	return false
}

func countSlices(slices []*lanepb.Evidence, count func(*lanepb.Evidence) proportion) []proportion {
	counts := make([]proportion, len(slices))
	for i, e := range slices {
		counts[i] = count(e)
	}
	return counts
}

// exceedsExpected tests the new version's counts against the counts expected from the old
// version's rates in the same slices.
func (t Tolerance) exceedsExpected(old, new []proportion, floor float64) bool {
	var oldSum, newSum proportion
	for i := range old {
		oldSum = proportion{oldSum.count + old[i].count, oldSum.total + old[i].total}
		newSum = proportion{newSum.count + new[i].count, newSum.total + new[i].total}
	}
	if newSum.total == 0 || oldSum.total == 0 {
		return false
	}
	mean := oldSum.count / oldSum.total
	expected := 0.0
	for i := range old {
		expected += new[i].total * (old[i].count + shrinkageRequests*mean) / (old[i].total + shrinkageRequests)
	}
	return binomialTail(newSum.total, newSum.count, max(expected/newSum.total, floor)) <= t.FalseAlarm
}
