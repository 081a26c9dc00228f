package claim_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/platform/platformtest"
)

// claimLoad is a rate of claims spread over a number of entries.
type claimLoad struct {
	entries         int
	claimsPerSecond int
	// maxAppendsPerSecond bounds the appends per second of all entries together, including
	// bursts.
	maxAppendsPerSecond float64
}

const (
	loadDuration = 20 * time.Second
	// loadLogDelay is the duration of an append to the log and of a read.
	loadLogDelay = 4 * time.Millisecond
)

// measureLoad sends claims at random times. It returns their sorted latencies and the rate of
// appends.
func measureLoad(t *testing.T, l claimLoad) (latencies []time.Duration, appendsPerSecond float64) {
	log := platformtest.NewLog()
	var entries []*entry
	for i := range l.entries {
		e := startEntry(log, fmt.Sprintf("e%d", i))
		e.conn.SetDelay(loadLogDelay)
		entries = append(entries, e)
	}
	var mu sync.Mutex
	var calls sync.WaitGroup
	rng := rand.New(rand.NewPCG(1, 15))
	for i := range l.claimsPerSecond * int(loadDuration/time.Second) {
		e := entries[rng.IntN(len(entries))]
		delay := time.Duration(rng.Int64N(int64(loadDuration)))
		calls.Go(func() {
			time.Sleep(delay)
			began := time.Now()
			_, err := e.Claim(t.Context(), newClaim(fmt.Sprint("key-", i), fmt.Sprint("d-", i), ""))
			mu.Lock()
			defer mu.Unlock()
			qt.Check(t, err, qt.IsNil)
			latencies = append(latencies, time.Since(began))
		})
	}
	calls.Wait()
	for _, e := range entries {
		e.stop()
	}
	slices.Sort(latencies)
	return latencies, float64(log.Next(platform.StreamClaims)-1) / loadDuration.Seconds()
}

// Guards against claims that exceed their share of the log's appends, or that wait much longer
// than the append rate of one process requires.
func TestClaimsStayWithinAppendBudget(t *testing.T) {
	for _, l := range []claimLoad{
		{entries: 3, claimsPerSecond: 20, maxAppendsPerSecond: 65},
		{entries: 3, claimsPerSecond: 100, maxAppendsPerSecond: 65},
		{entries: 10, claimsPerSecond: 450, maxAppendsPerSecond: 210},
	} {
		synctest.Test(t, func(t *testing.T) {
			latencies, appendsPerSecond := measureLoad(t, l)
			p50, p99 := latencies[len(latencies)/2], latencies[len(latencies)*99/100]
			t.Logf("%d entries, %d claims/s: %.1f appends/s, p50 %s, p99 %s", l.entries, l.claimsPerSecond, appendsPerSecond, p50, p99)
			qt.Check(t, appendsPerSecond <= l.maxAppendsPerSecond, qt.IsTrue)
			qt.Check(t, p99 < 100*time.Millisecond, qt.IsTrue)
		})
	}
}
