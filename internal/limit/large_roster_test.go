package limit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/limit"
)

// One account sends several times its limit through a hundred entries of very unlike demand, which
// exchange their use in pairs, four at a time. All are killed at once and start again: in no window may they
// admit more than the limit allows.
func TestHotAccountOverAHundredRestartedEntries(t *testing.T) {
	const (
		entries    = 103
		perRound   = 4
		round      = 300 * time.Millisecond
		step       = 10 * time.Millisecond
		length     = 20 * time.Second
		window     = 8 * time.Second
		tokens     = 3000.0
		overdemand = 3.3
		killedAt   = 13 * time.Second
		startedAt  = 14 * time.Second
		// listed is the time after its start at which a process knows the other entries.
		listed    = 100 * time.Millisecond
		overshoot = 0.1
		slack     = 110_000.0
	)
	rate := limit.Rate{PerSecond: 400_000, Burst: 1_200_000}
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(seed, 2))
			start := time.Unix(1_000_000, 0)
			pools, weights, sum := make([]*limit.Pool, entries), make([]float64, entries), 0.0
			next := make([]int, entries)
			for i := range pools {
				pools[i] = limit.NewPool(start)
				pools[i].SetEntries(entries, true)
				weights[i] = math.Exp(random.NormFloat64())
				sum += weights[i]
			}
			admitted := make([]float64, int(length/step))
			for n := range admitted {
				now := start.Add(time.Duration(n) * step)
				since := time.Duration(n) * step
				if since >= killedAt && since < startedAt {
					continue
				}
				if since == startedAt {
					for i := range pools {
						pools[i] = limit.NewPool(now)
						pools[i].AwaitEntries()
					}
				}
				if since == startedAt+listed {
					for i := range pools {
						pools[i].SetEntries(entries, true)
					}
				}
				for i, pool := range pools {
					mean := overdemand * rate.PerSecond * step.Seconds() / tokens * weights[i] / sum
					for range poisson(random, mean) {
						if pool.Admit("a", rate, tokens, now) == nil {
							admitted[n] += tokens
						}
					}
					if (n+i)%int(round/step) != 0 {
						continue
					}
					for range perRound {
						next[i] = (next[i] + 1) % entries
						if peer := next[i]; peer != i {
							pool.ApplyPeerUse(fmt.Sprint(peer), boot(since >= startedAt), began(start, since >= startedAt, startedAt), pools[peer].Report(now), now)
							pools[peer].ApplyPeerUse(fmt.Sprint(i), boot(since >= startedAt), began(start, since >= startedAt, startedAt), pool.Report(now), now)
						}
					}
				}
			}
			allowed := (rate.PerSecond*window.Seconds()+rate.Burst)*(1+overshoot) + slack
			most, running := 0.0, 0.0
			for n, a := range admitted {
				running += a
				if before := n - int(window/step); before >= 0 {
					running -= admitted[before]
				}
				most = max(most, running)
			}
			c.Assert(most <= allowed, qt.IsTrue, qt.Commentf("%.0f tokens in %v, allowed %.0f", most, window, allowed))
		})
	}
}

func boot(restarted bool) string { return fmt.Sprint("boot ", restarted) }

func began(start time.Time, restarted bool, after time.Duration) time.Time {
	if restarted {
		return start.Add(after)
	}
	return start
}

// poisson returns a Poisson-distributed number.
func poisson(random *rand.Rand, mean float64) int {
	n, product := 0, random.Float64()
	for limit := math.Exp(-mean); product > limit; n++ {
		product *= random.Float64()
	}
	return n
}
