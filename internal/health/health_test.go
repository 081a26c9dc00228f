package health

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// TestWindowDropsOldSlots guards against counting observations that are older than the window.
func TestWindowDropsOldSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		collector := NewCollector(CollectorOptions{})
		key := Key{Pool: "m", Version: "v", Route: "r"}
		collector.Observe(Observation{Pool: "m", Version: "v", Route: "r", Failed: true})
		time.Sleep(10 * time.Second)
		collector.Observe(Observation{Pool: "m", Version: "v", Route: "r"})
		c.Assert(collector.Window(key, 5*time.Second).GetRequests(), qt.Equals, uint64(1))
		c.Assert(collector.Window(key, time.Minute).GetRequests(), qt.Equals, uint64(2))
		c.Assert(collector.Window(key, time.Minute).GetErrors(), qt.Equals, uint64(1))
		time.Sleep(55 * time.Second)
		c.Assert(collector.Window(key, time.Minute).GetRequests(), qt.Equals, uint64(1))
		c.Assert(collector.Window(key, 10*time.Minute).GetRequests(), qt.Equals, uint64(2))
	})
}

// TestTakeReturnsEachObservationOnce guards against counting evidence twice when it is exchanged
// between processes.
func TestTakeReturnsEachObservationOnce(t *testing.T) {
	c := qt.New(t)
	collector := NewCollector(CollectorOptions{})
	collector.Observe(Observation{Pool: "m", Version: "v", Route: "r", FirstToken: 20 * time.Millisecond})
	collector.Add(collector.Take()...)
	c.Assert(collector.Take(), qt.HasLen, 0)
	c.Assert(collector.Window(Key{"m", "v", "r"}, time.Minute).GetRequests(), qt.Equals, uint64(2))
}

func TestBucketsAreInOrder(t *testing.T) {
	c := qt.New(t)
	for i := range Buckets {
		c.Assert(bucketOf(BucketStart(i)+time.Microsecond), qt.Equals, i)
	}
	c.Assert(bucketOf(24*time.Hour), qt.Equals, Buckets-1)
}

// sampleEvidence returns evidence of n requests with exponential latencies around a mean.
func sampleEvidence(random *rand.Rand, version string, n int, failRate float64, mean time.Duration) *lanepb.Evidence {
	collector := NewCollector(CollectorOptions{})
	for range n {
		collector.Observe(Observation{
			Pool: "m", Version: version, Route: "r",
			Failed:     random.Float64() < failRate,
			FirstToken: time.Duration((0.2 + random.ExpFloat64()) * float64(mean)),
			InterToken: time.Duration((0.8 + 0.4*random.Float64()) * float64(mean) / 10),
		})
	}
	return collector.Window(Key{"m", version, "r"}, time.Minute)
}

// TestJudgeSeparatesFaultsFromNoise guards against false alarms on noisy versions and against
// missing faulty ones, under 100 seeds each.
func TestJudgeSeparatesFaultsFromNoise(t *testing.T) {
	cases := []struct {
		name     string
		failRate float64
		slower   float64
		requests int
		want     Decision
	}{
		{"good", 0.01, 1, 300, Healthy},
		{"a little slower", 0.01, 1.2, 300, Healthy},
		{"all fail", 1, 1, 4, Faulty},
		{"a third fails", 0.33, 1, 60, Faulty},
		{"three times slower", 0.01, 3, 60, Faulty},
		{"ten times slower", 0.01, 10, 8, Faulty},
		{"too few", 0, 1, 3, Undecided},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(100) {
				random := rand.New(rand.NewPCG(seed, 1))
				old := sampleEvidence(random, "old", 1000, 0.01, 100*time.Millisecond)
				mean := time.Duration(tc.slower * float64(100*time.Millisecond))
				verdict := Judge(old, sampleEvidence(random, "new", tc.requests, tc.failRate, mean), Tolerance{})
				c.Assert(verdict.Decision, qt.Equals, tc.want, qt.Commentf("seed %d: %s", seed, verdict.Reason))
			}
		})
	}
}

// TestRateNeedsEnoughEvidence guards against estimating a rate from few requests in a short time.
func TestRateNeedsEnoughEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		collector := NewCollector(CollectorOptions{})
		key := Key{Pool: "m", Version: "v", Route: "r"}
		collector.Observe(Observation{Pool: "m", Version: "v", Route: "r"})
		time.Sleep(2 * time.Second)
		_, known := collector.Rate(key, time.Minute)
		c.Assert(known, qt.IsFalse, qt.Commentf("one request in two seconds must not suffice for a rate"))
		for range minRateRequests {
			collector.Observe(Observation{Pool: "m", Version: "v", Route: "r"})
		}
		rate, known := collector.Rate(key, time.Minute)
		c.Assert(known, qt.IsTrue)
		c.Assert(rate, qt.Equals, 15.5)
		time.Sleep(2 * time.Minute)
		rate, known = collector.Rate(key, time.Minute)
		c.Assert(known, qt.IsTrue)
		c.Assert(rate, qt.Equals, 0.0)
	})
}

// TestSlowerScoreDetectsShiftOfAllTimes guards against missing a slow version because the times
// differ widely between routes.
func TestSlowerScoreDetectsShiftOfAllTimes(t *testing.T) {
	c := qt.New(t)
	times := func(random *rand.Rand, n int, mean time.Duration) []uint32 {
		counts := make([]uint32, Buckets)
		for range n {
			counts[bucketOf(time.Duration(math.Exp(0.8*random.NormFloat64())*float64(mean)))]++
		}
		return counts
	}
	scores := func(factor time.Duration, bucketShift int) (least, most float64) {
		least, most = math.Inf(1), math.Inf(-1)
		for seed := range uint64(100) {
			random := rand.New(rand.NewPCG(seed, 1))
			var strata []Stratum
			for _, mean := range []time.Duration{20 * time.Millisecond, 80 * time.Millisecond, 300 * time.Millisecond} {
				strata = append(strata, Stratum{Old: times(random, 150, mean), New: times(random, 13, factor*mean)})
			}
			score := SlowerScore(strata, bucketShift)
			least, most = min(least, score), max(most, score)
		}
		return least, most
	}
	_, most := scores(1, 0)
	c.Assert(most < 3, qt.IsTrue, qt.Commentf("highest score for equal times: %f", most))
	least, _ := scores(3, 0)
	c.Assert(least > 4, qt.IsTrue, qt.Commentf("lowest score for times three times as long: %f", least))
	c.Assert(SlowerScore(nil, 0), qt.Equals, 0.0)
	c.Assert(SlowerScore([]Stratum{{Old: make([]uint32, Buckets), New: make([]uint32, Buckets)}}, 0), qt.Equals, 0.0)
}
