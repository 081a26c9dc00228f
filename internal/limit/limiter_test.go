package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// simulation runs several entries that receive each other's reports with a delay.
type simulation struct {
	now      time.Time
	limiters []*Limiter
	// reports holds the reports of each entry by exchange, the newest last.
	reports [][]map[string]*lanepb.AccountUse
	lag     int
}

func newGroup(entries, lag int) *simulation {
	g := &simulation{now: time.Unix(1_700_000_000, 0), reports: make([][]map[string]*lanepb.AccountUse, entries), lag: lag}
	for i := range entries {
		limiter := New(Options{PeerUse: func(name string) *lanepb.AccountUse { return g.peerUse(i, name) }, Seed: uint64(i + 1)})
		limiter.SetEntries(entries)
		g.limiters = append(g.limiters, limiter)
	}
	return g
}

// exchange collects a report from each entry.
func (g *simulation) exchange() {
	for i, limiter := range g.limiters {
		uses := map[string]*lanepb.AccountUse{}
		for _, use := range limiter.Report(g.now) {
			uses[use.GetAccount()] = use
		}
		g.reports[i] = append(g.reports[i], uses)
	}
}

func (g *simulation) peerUse(self int, name string) *lanepb.AccountUse {
	sum := &lanepb.AccountUse{}
	for i, reports := range g.reports {
		if i == self || len(reports) <= g.lag {
			continue
		}
		use := reports[len(reports)-1-g.lag][name]
		sum.Running += use.GetRunning()
		sum.RequestsPerSecond += use.GetRequestsPerSecond()
		sum.TokensPerSecond += use.GetTokensPerSecond()
	}
	return sum
}

// runResult aggregates a run: peak is the largest number of concurrent requests; the means are
// over the second half of the run.
type runResult struct {
	peak                       int
	running, requestsPerSecond float64
	tokensPerSecond            float64
	admitted, refused          int
	// refusedLate counts the refusals after learningSteps.
	refusedLate int
}

type runOptions struct {
	entries, lag int
	limits       *configpb.AccountLimits
	// arrivalsPerSecond is over all entries; firstEntryShare of them go to entry 0.
	arrivalsPerSecond float64
	firstEntryShare   float64
	service           time.Duration
	tokens            float64
	seed              uint64
}

const (
	runStep    = 10 * time.Millisecond
	runSeconds = 24
	// learningSteps is the number of steps until the entries' shares of the demand have settled.
	learningSteps = 600
)

func run(o runOptions) runResult {
	g := newGroup(o.entries, o.lag)
	random := rand.New(rand.NewPCG(o.seed, 3))
	type job struct {
		entry int
		end   time.Time
	}
	var jobs []job
	var m runResult
	steps := int(runSeconds * time.Second / runStep)
	for step := range steps {
		g.now = g.now.Add(runStep)
		if step%100 == 0 {
			g.exchange()
		}
		kept := jobs[:0]
		for _, j := range jobs {
			if g.now.Before(j.end) {
				kept = append(kept, j)
				continue
			}
			g.limiters[j.entry].Finish("depot", o.tokens, o.tokens, g.now)
		}
		jobs = kept
		for random.Float64() < o.arrivalsPerSecond*runStep.Seconds()/(1+o.arrivalsPerSecond*runStep.Seconds()) {
			entry := random.IntN(o.entries)
			if random.Float64() < o.firstEntryShare {
				entry = 0
			}
			if g.limiters[entry].Admit("depot", o.limits, o.tokens, g.now) != nil {
				m.refused++
				if step >= learningSteps {
					m.refusedLate++
				}
				continue
			}
			m.admitted++
			jobs = append(jobs, job{entry: entry, end: g.now.Add(o.service)})
			if step >= steps/2 {
				m.requestsPerSecond++
				m.tokensPerSecond += o.tokens
			}
		}
		m.peak = max(m.peak, len(jobs))
		if step >= steps/2 {
			m.running += float64(len(jobs)) / float64(steps/2)
		}
	}
	m.requestsPerSecond /= runSeconds / 2
	m.tokensPerSecond /= runSeconds / 2
	return m
}

// TestConcurrencyHoldsOverAllEntries checks that the concurrency over all entries stays near the
// limit in a burst, for any distribution of requests over the entries, and that the limit is
// used.
func TestConcurrencyHoldsOverAllEntries(t *testing.T) {
	for _, entries := range []int{1, 3, 6, 40} {
		for _, limit := range []int{5, 60, 600} {
			for _, first := range []float64{0, 0.9} {
				name := fmt.Sprintf("%d entries, limit %d, %.0f%% at one entry", entries, limit, 100*first)
				t.Run(name, func(t *testing.T) {
					m := run(runOptions{entries: entries, lag: 1, limits: &configpb.AccountLimits{MaxConcurrent: uint32(limit)},
						arrivalsPerSecond: float64(limit) * 2, firstEntryShare: first, service: 2 * time.Second, seed: 1})
					t.Logf("peak %d of %d (%+.0f%%), mean %.1f in the second half", m.peak, limit, 100*float64(m.peak-limit)/float64(limit), m.running)
					qt.Check(t, float64(m.peak) <= float64(limit)*1.25+2, qt.IsTrue, qt.Commentf("peak %d", m.peak))
					if limit >= entries {
						qt.Check(t, m.running >= 0.8*float64(limit), qt.IsTrue, qt.Commentf("mean %.1f", m.running))
					}
				})
			}
		}
	}
}

func TestRatesHoldOverAllEntries(t *testing.T) {
	for _, entries := range []int{1, 3, 6, 40} {
		for _, first := range []float64{0, 0.9} {
			t.Run(fmt.Sprintf("%d entries, %.0f%% at one entry", entries, 100*first), func(t *testing.T) {
				limits := &configpb.AccountLimits{RequestsPerSecond: 50}
				m := run(runOptions{entries: entries, lag: 1, limits: limits, arrivalsPerSecond: 150, firstEntryShare: first, seed: 1})
				t.Logf("%.1f requests per second, limit 50", m.requestsPerSecond)
				qt.Check(t, m.requestsPerSecond <= 55 && m.requestsPerSecond >= 40, qt.IsTrue)
				limits = &configpb.AccountLimits{TokensPerSecond: 5000}
				m = run(runOptions{entries: entries, lag: 1, limits: limits, arrivalsPerSecond: 150, firstEntryShare: first, tokens: 300, seed: 1})
				t.Logf("%.0f tokens per second, limit 5000", m.tokensPerSecond)
				qt.Check(t, m.tokensPerSecond <= 5500 && m.tokensPerSecond >= 4000, qt.IsTrue)
			})
		}
	}
}

// TestAccountUnderItsLimitsIsServed checks that an account below its limits is not refused, even if
// all its requests go to one entry. A few refusals are accepted until the shares have settled.
func TestAccountUnderItsLimitsIsServed(t *testing.T) {
	limits := &configpb.AccountLimits{MaxConcurrent: 60, RequestsPerSecond: 50, TokensPerSecond: 30_000}
	for _, first := range []float64{0, 0.9, 1} {
		m := run(runOptions{entries: 3, lag: 1, limits: limits, arrivalsPerSecond: 20, firstEntryShare: first, service: time.Second, tokens: 300, seed: 1})
		t.Logf("%.0f%% at one entry: %d admitted, %d refused, %d of them after 6 s", 100*first, m.admitted, m.refused, m.refusedLate)
		qt.Check(t, m.refusedLate, qt.Equals, 0)
		qt.Check(t, m.refused <= m.admitted/20, qt.IsTrue)
	}
}

func TestUnlimitedAccountIsNeverRefused(t *testing.T) {
	limiter := New(Options{})
	for range 1000 {
		qt.Assert(t, limiter.Admit("depot", nil, 1e6, time.Unix(1, 0)), qt.IsNil)
	}
}

func TestTokensAreCorrectedAtTheEnd(t *testing.T) {
	limiter := New(Options{})
	limits := &configpb.AccountLimits{TokensPerSecond: 100}
	now := time.Unix(1_700_000_000, 0)
	qt.Assert(t, limiter.Admit("depot", limits, 50, now), qt.IsNil)
	limiter.Finish("depot", 50, 500, now)
	var exceeded *ExceededError
	qt.Assert(t, limiter.Admit("depot", limits, 50, now), qt.ErrorAs, &exceeded)
	qt.Assert(t, exceeded.Kind, qt.Equals, KindTokens)
	qt.Assert(t, exceeded.RetryAfter, qt.Equals, 4*time.Second)
	qt.Assert(t, limiter.Admit("depot", limits, 50, now.Add(4100*time.Millisecond)), qt.IsNil)
}
