package cell

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/standin/engine"
)

// Arrival is one request of a workload.
type Arrival struct {
	// At is the time since the start.
	At      time.Duration
	ID      string
	Tier    int
	Account int
	// Prefix is the number of the shared document that starts the prompt; -1: none.
	Prefix       int
	PrefixTokens int
	// OwnTokens follow the prefix.
	OwnTokens    int
	OutputTokens int
	// Deadline is the time that the caller allows.
	Deadline time.Duration
}

// TierMix describes the requests of one tier.
type TierMix struct {
	Name string
	// Share of the requests, 0 to 1.
	Share float64
	// The deadline is Base plus Factor times the time that the request takes
	// alone on the slowest engine.
	Base   time.Duration
	Factor float64
}

// Mix describes the requests of a deployment.
type Mix struct {
	Tiers    []TierMix
	Accounts int
	// AccountWeights are the shares of the accounts; a few are large.
	AccountWeights []float64
	// Median own prompt tokens and output tokens, and the spread of both: the
	// standard deviation of their natural logarithm.
	PromptMedian, OutputMedian float64
	Spread                     float64
	// Bounds of own prompt tokens and output tokens: a hundredfold apart.
	PromptMin, PromptMax int
	OutputMin, OutputMax int
	// PrefixShare of the requests start with one of Prefixes documents. The k-th
	// document is used in proportion to k to the power of -PrefixSkew.
	PrefixShare  float64
	Prefixes     int
	PrefixSkew   float64
	PrefixTokens int
}

// DefaultMix is the mix of both deployments' assistants.
func DefaultMix() Mix {
	return Mix{
		Tiers: []TierMix{
			{Name: "t0", Share: 0.10, Base: 3 * time.Second, Factor: 2},
			{Name: "t1", Share: 0.20, Base: 5 * time.Second, Factor: 2.5},
			{Name: "t2", Share: 0.30, Base: 8 * time.Second, Factor: 3},
			{Name: "t3", Share: 0.25, Base: 15 * time.Second, Factor: 4},
			{Name: "t4", Share: 0.15, Base: 30 * time.Second, Factor: 5},
		},
		Accounts: 5, AccountWeights: []float64{0.45, 0.3, 0.1, 0.1, 0.05},
		PromptMedian: 250, OutputMedian: 90, Spread: 1.1,
		PromptMin: 30, PromptMax: 3000, OutputMin: 8, OutputMax: 800,
		PrefixShare: 0.6, Prefixes: 60, PrefixSkew: 0.8, PrefixTokens: 640,
	}
}

// halfBatchTokenTime is the inter-token time of an engine of speed 1 with a half-full batch.
const halfBatchTokenTime = 22 * time.Millisecond

// Rate gives the arrivals a second at a time since the start.
type Rate func(at time.Duration) float64

// Steady is a constant rate.
func Steady(perSecond float64) Rate { return func(time.Duration) float64 { return perSecond } }

// Burst is a rate that rises tenfold over 30 s, stays for 30 s and falls back.
func Burst(low float64, start time.Duration) Rate {
	const rise, hold, peakRatio = 30 * time.Second, 30 * time.Second, 10
	return func(at time.Duration) float64 {
		elapsed := at - start
		switch {
		case elapsed < 0 || elapsed > rise+hold:
			return low
		case elapsed < rise:
			return low * (1 + (peakRatio-1)*float64(elapsed)/float64(rise))
		}
		return low * peakRatio
	}
}

// Generate returns the arrivals of a Poisson process up to an end. One seed
// always gives the same.
func (m Mix) Generate(seed uint64, rate Rate, peak float64, end time.Duration) []Arrival {
	random := rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
	var arrivals []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / peak * float64(time.Second))
		if at >= end {
			return arrivals
		}
		arrival := m.sampleArrival(random)
		// Thinning: a candidate of the peak rate is kept by the ratio of the rates.
		if random.Float64()*peak >= rate(at) {
			continue
		}
		arrival.At = at
		arrival.ID = fmt.Sprintf("r%d-%d", seed, len(arrivals))
		arrivals = append(arrivals, arrival)
	}
}

func (m Mix) sampleArrival(random *rand.Rand) Arrival {
	arrival := Arrival{
		Tier: sampleIndex(random, len(m.Tiers), func(i int) float64 { return m.Tiers[i].Share }),
		Account: sampleIndex(random, m.Accounts, func(i int) float64 {
			return m.AccountWeights[i]
		}),
		Prefix:       -1,
		OwnTokens:    sampleLogNormal(random, m.PromptMedian, m.Spread, m.PromptMin, m.PromptMax),
		OutputTokens: sampleLogNormal(random, m.OutputMedian, m.Spread, m.OutputMin, m.OutputMax),
	}
	if random.Float64() < m.PrefixShare {
		arrival.Prefix = m.samplePrefix(random)
		arrival.PrefixTokens = m.PrefixTokens
	}
	tier := m.Tiers[arrival.Tier]
	arrival.Deadline = tier.Base + time.Duration(tier.Factor*float64(arrival.serviceTime()))
	return arrival
}

// serviceTime returns the time that a request takes on the slowest engine with a half-full batch.
func (a Arrival) serviceTime() time.Duration {
	return time.Duration(a.PrefixTokens+a.OwnTokens)*engine.PrefillPerToken +
		time.Duration(a.OutputTokens)*halfBatchTokenTime
}

func (m Mix) samplePrefix(random *rand.Rand) int {
	weight := func(k int) float64 { return math.Pow(float64(k+1), -m.PrefixSkew) }
	totalWeight := 0.0
	for k := range m.Prefixes {
		totalWeight += weight(k)
	}
	return sampleIndex(random, m.Prefixes, func(k int) float64 { return weight(k) / totalWeight })
}

func sampleIndex(random *rand.Rand, n int, share func(int) float64) int {
	remaining := random.Float64()
	for i := range n {
		remaining -= share(i)
		if remaining < 0 {
			return i
		}
	}
	return n - 1
}

func sampleLogNormal(random *rand.Rand, median, spread float64, low, high int) int {
	return min(high, max(low, int(median*math.Exp(spread*random.NormFloat64()))))
}

// Capacity returns the requests a second that engines of some speeds can
// finish: the inverse of the mean time that a request takes of a full batch
// whose shared prefixes are cached.
func (m Mix) Capacity(seed uint64, speeds []float64, maxBatch int) float64 {
	const draws = 20_000
	random := rand.New(rand.NewPCG(seed, 1))
	timePerToken := float64(engine.StepBase)/float64(maxBatch) + float64(engine.StepPerSequence)
	totalTime := 0.0
	for range draws {
		arrival := m.sampleArrival(random)
		totalTime += float64(arrival.OwnTokens)*float64(engine.PrefillPerToken) + float64(arrival.OutputTokens)*timePerToken
	}
	totalSpeed := 0.0
	for _, s := range speeds {
		totalSpeed += s
	}
	return totalSpeed * draws * float64(time.Second) / totalTime
}

// Prompt returns the text of an arrival's prompt.
func (a Arrival) Prompt() string {
	var text strings.Builder
	if a.Prefix >= 0 {
		writeTokens(&text, fmt.Sprintf("doc%d ", a.Prefix), a.PrefixTokens)
	}
	writeTokens(&text, a.ID+" ", a.OwnTokens)
	return text.String()
}

// writeTokens repeats a phrase up to a number of tokens.
func writeTokens(text *strings.Builder, phrase string, tokens int) {
	size := tokens * engine.TokenBytes
	text.WriteString(strings.Repeat(phrase, size/len(phrase)+1)[:size])
}
