package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/limit"
)

const (
	// exchange is the interval between two exchanges of the simulated entries.
	exchange = 150 * time.Millisecond
	// window, overshoot and slack define how deployments verify limits; see allowed.
	window    = 8 * time.Second
	overshoot = 0.1
	slack     = 110_000
)

var startTime = time.Unix(1_000_000, 0)

// simulation runs the pools of several entries, which exchange reports in virtual time.
type simulation struct {
	pools   []*limit.Pool
	boots   []string
	started time.Time
	// partitioned holds the entries that are disconnected from all others.
	partitioned map[int]bool
	// admitted holds the admitted tokens in order of time.
	admitted []admission
	random   *rand.Rand
	// exchangeProbability is the probability that a pair exchanges in one round; 0 means always.
	exchangeProbability float64
}

type admission struct {
	at     time.Time
	tokens float64
}

func newSimulation(n int, seed uint64) *simulation { return newSimulationAt(startTime, n, seed) }

// newSimulationAt returns entries that start at the given time.
func newSimulationAt(started time.Time, n int, seed uint64) *simulation {
	e := &simulation{started: started, partitioned: map[int]bool{}, random: rand.New(rand.NewPCG(seed, 0))}
	for i := range n {
		e.pools = append(e.pools, limit.NewPool(started))
		e.boots = append(e.boots, fmt.Sprint("boot-", i))
		e.pools[i].SetEntries(n, true)
	}
	return e
}

func (e *simulation) exchangeAll(now time.Time) {
	for i, from := range e.pools {
		use := from.Report(now)
		for j, to := range e.pools {
			if e.exchangeProbability > 0 && e.random.Float64() > e.exchangeProbability {
				continue
			}
			if i != j && !e.partitioned[i] && !e.partitioned[j] {
				to.ApplyPeerUse(fmt.Sprint("entry-", i), e.boots[i], e.started, use, now)
			}
		}
	}
}

// offer sends requests of an account at a rate in tokens per second for the given time, unevenly
// distributed over the entries.
func (e *simulation) offer(rate limit.Rate, perSecond float64, from time.Time, length time.Duration) time.Time {
	const size = 3000.0
	step := time.Duration(size / perSecond * float64(time.Second))
	next := from
	for now := from; now.Before(from.Add(length)); now = now.Add(step) {
		if !now.Before(next) {
			e.exchangeAll(now)
			next = now.Add(exchange)
		}
		entry := min(int(e.random.ExpFloat64()*float64(len(e.pools))/2), len(e.pools)-1)
		if err := e.pools[entry].Admit("account", rate, size, now); err == nil {
			e.admitted = append(e.admitted, admission{at: now, tokens: size})
		}
	}
	return from.Add(length)
}

// TestHotAccountOfALargeDeployment simulates a large deployment, in which the reports of an entry
// arrive at intervals of more than a second. An account with a limit of many requests that
// becomes hot must stay within the limit.
func TestHotAccountOfALargeDeployment(t *testing.T) {
	for seed := range uint64(4) {
		c := qt.New(t)
		rate := limit.Rate{PerSecond: 260_000, Burst: 260_000}
		e := newSimulation(30, seed)
		e.exchangeProbability = 0.125
		calm := e.offer(rate, 140_000, startTime, 10*time.Second)
		end := e.offer(rate, 1_100_000, calm, 20*time.Second)
		worst, admitted := e.worstWindow(), e.between(calm, end)
		t.Logf("seed %d: worst window %.0f, allowed %.0f; admitted %.0f, limit %.0f", seed, worst, allowed(rate), admitted, rate.PerSecond*20)
		c.Check(worst <= allowed(rate), qt.IsTrue)
		c.Check(admitted >= 0.9*rate.PerSecond*20, qt.IsTrue)
	}
}

// between returns the tokens admitted in a period.
func (e *simulation) between(from, to time.Time) float64 {
	sum := 0.0
	for _, a := range e.admitted {
		if !a.at.Before(from) && a.at.Before(to) {
			sum += a.tokens
		}
	}
	return sum
}

// worstWindow returns the largest number of tokens admitted in any window.
func (e *simulation) worstWindow() float64 {
	worst := 0.0
	for _, a := range e.admitted {
		worst = max(worst, e.between(a.at, a.at.Add(window)))
	}
	return worst
}

func allowed(rate limit.Rate) float64 {
	return (rate.PerSecond*window.Seconds()+rate.Burst)*(1+overshoot) + slack
}

// TestHotAccountGetsItsLimit checks an account with ten times the demand of its limit: no window
// may exceed the limit, and nearly all of the limit must be used.
func TestHotAccountGetsItsLimit(t *testing.T) {
	for seed := range uint64(5) {
		c := qt.New(t)
		rate := limit.Rate{PerSecond: 29_000, Burst: 29_000}
		e := newSimulation(5, seed)
		calm := e.offer(rate, 15_000, startTime, 10*time.Second)
		end := e.offer(rate, 290_000, calm, 20*time.Second)
		c.Assert(e.worstWindow() <= allowed(rate), qt.IsTrue, qt.Commentf("seed %d: %v of %v", seed, e.worstWindow(), allowed(rate)))
		admitted := e.between(calm, end)
		c.Assert(admitted >= 0.95*rate.PerSecond*20, qt.IsTrue, qt.Commentf("seed %d: %v of %v", seed, admitted, rate.PerSecond*20))
	}
}

// TestAccountUnderItsLimitIsNotRefused checks that an account below its limit is not refused for
// any distribution of its requests over the entries.
func TestAccountUnderItsLimitIsNotRefused(t *testing.T) {
	for seed := range uint64(5) {
		c := qt.New(t)
		rate := limit.Rate{PerSecond: 60_000, Burst: 60_000}
		e := newSimulation(5, seed)
		end := e.offer(rate, 45_000, startTime.Add(10*time.Second), 20*time.Second)
		admitted := e.between(startTime, end)
		c.Assert(admitted >= 0.99*45_000*20, qt.IsTrue, qt.Commentf("seed %d: %v", seed, admitted))
	}
}

// TestCutEntryKeepsToItsPart checks that an entry without contact to the others is limited to its
// part of the limit.
func TestCutEntryKeepsToItsPart(t *testing.T) {
	c := qt.New(t)
	rate := limit.Rate{PerSecond: 29_000, Burst: 29_000}
	e := newSimulation(5, 1)
	now := e.offer(rate, 15_000, startTime, 10*time.Second)
	e.partitioned[0] = true
	e.pools[0].SetEntries(1, false)
	for _, pool := range e.pools[1:] {
		pool.SetEntries(4, true)
	}
	e.offer(rate, 290_000, now, 16*time.Second)
	c.Assert(e.worstWindow() <= allowed(rate), qt.IsTrue, qt.Commentf("%v of %v", e.worstWindow(), allowed(rate)))
}

// TestRestartedEntriesKeepTheLimit restarts all entries at once, so that no entry has a record of
// the earlier use.
func TestRestartedEntriesKeepTheLimit(t *testing.T) {
	c := qt.New(t)
	rate := limit.Rate{PerSecond: 85_000, Burst: 85_000}
	e := newSimulation(5, 1)
	now := e.offer(rate, 400_000, startTime, 10*time.Second)
	admitted := e.admitted
	e = newSimulationAt(now, 5, 2)
	e.admitted = admitted
	e.offer(rate, 400_000, now, 10*time.Second)
	c.Assert(e.worstWindow() <= allowed(rate), qt.IsTrue, qt.Commentf("%v of %v", e.worstWindow(), allowed(rate)))
}

// TestRestartedLargeDeploymentKeepsTheLimit restarts all entries of a large deployment while an
// account is hot: for a while they have no reports of each other.
func TestRestartedLargeDeploymentKeepsTheLimit(t *testing.T) {
	for seed := range uint64(3) {
		c := qt.New(t)
		rate := limit.Rate{PerSecond: 260_000, Burst: 260_000}
		e := newSimulation(30, seed)
		e.exchangeProbability = 0.125
		now := e.offer(rate, 1_100_000, startTime, 10*time.Second)
		admitted := e.admitted
		e = newSimulationAt(now, 30, seed+10)
		e.exchangeProbability, e.admitted = 0.125, admitted
		e.offer(rate, 1_100_000, now, 10*time.Second)
		t.Logf("seed %d: worst window %.0f, allowed %.0f", seed, e.worstWindow(), allowed(rate))
		c.Check(e.worstWindow() <= allowed(rate), qt.IsTrue)
	}
}

func TestRefusalHasRetryDelay(t *testing.T) {
	c := qt.New(t)
	p := limit.NewPool(startTime)
	rate := limit.Rate{PerSecond: 1000, Burst: 1000}
	c.Assert(p.Admit("a", rate, 250, startTime), qt.IsNil)
	err := p.Admit("a", rate, 10, startTime)
	var exceeded *limit.ExceededError
	c.Assert(errors.As(err, &exceeded), qt.IsTrue)
	c.Assert(exceeded.RetryAfter > 0, qt.IsTrue)
	p.Refund("a", 250)
	c.Assert(p.Admit("a", rate, 10, startTime), qt.IsNil)
}

// TestRequestLargerThanTheBurst checks that a request larger than the burst overdraws the bucket
// and that later requests wait until it has refilled.
func TestRequestLargerThanTheBurst(t *testing.T) {
	c := qt.New(t)
	p := limit.NewPool(startTime)
	rate := limit.Rate{PerSecond: 1000, Burst: 1000}
	c.Assert(p.Admit("a", rate, 3000, startTime), qt.IsNil)
	err := p.Admit("a", rate, 1, startTime)
	var exceeded *limit.ExceededError
	c.Assert(errors.As(err, &exceeded), qt.IsTrue)
	c.Assert(exceeded.RetryAfter >= 2700*time.Millisecond, qt.IsTrue)
	c.Assert(p.Admit("a", rate, 1, startTime.Add(2700*time.Millisecond)), qt.IsNotNil)
	c.Assert(p.Admit("a", rate, 1, startTime.Add(exceeded.RetryAfter)), qt.IsNil)
}

// TestHotAccountWithUnlikeSizes checks a hot account with requests of very different sizes. Large
// requests, which often belong to the higher tiers, must be admitted as often as small ones, and
// the limit must be used.
func TestHotAccountWithUnlikeSizes(t *testing.T) {
	sizes := []float64{800, 3400, 3500, 6000, 12_000}
	for _, n := range []int{1, 5, 31} {
		c := qt.New(t)
		rate := limit.Rate{PerSecond: 40_000, Burst: 40_000}
		submitted, admitted := make([]int, len(sizes)), make([]int, len(sizes))
		for seed := range uint64(8) {
			e := newSimulation(n, seed)
			next := startTime
			for now := startTime; now.Before(startTime.Add(20 * time.Second)); now = now.Add(25 * time.Millisecond) {
				if !now.Before(next) {
					e.exchangeAll(now)
					next = now.Add(exchange)
				}
				i := e.random.IntN(len(sizes))
				submitted[i]++
				if e.pools[e.random.IntN(n)].Admit("account", rate, sizes[i], now) == nil {
					admitted[i]++
					e.admitted = append(e.admitted, admission{at: now, tokens: sizes[i]})
				}
			}
			c.Check(e.worstWindow() <= allowed(rate), qt.IsTrue)
			c.Check(e.between(startTime, startTime.Add(time.Minute)) >= 0.9*rate.PerSecond*20, qt.IsTrue)
		}
		t.Logf("%d entries: admitted %v of %v requests", n, admitted, submitted)
		small, large := float64(admitted[0])/float64(submitted[0]), float64(admitted[4])/float64(submitted[4])
		c.Check(large >= 0.8*small, qt.IsTrue, qt.Commentf("large %.2f, small %.2f", large, small))
	}
}
