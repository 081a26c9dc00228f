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
	// At is the scheduled time since the start of the run.
	At      time.Duration
	ID      string
	Tier    int
	Account int
	// PrefixIndex is the index of the shared document at the start of the prompt; -1 means
	// none.
	PrefixIndex  int
	PrefixTokens int
	// UniqueTokens is the number of unique prompt tokens after the prefix.
	UniqueTokens int
	OutputTokens int
	// Deadline is the time limit for the complete answer, counted from At.
	Deadline time.Duration
}

// TierMix describes the requests of one tier.
type TierMix struct {
	Name string
	// Share is the tier's fraction of all requests, from 0 to 1.
	Share float64
	// The deadline of a request is DeadlineBase plus DeadlineFactor times its service time.
	DeadlineBase   time.Duration
	DeadlineFactor float64
}

// Mix describes the distribution of the requests of a deployment.
type Mix struct {
	Tiers    []TierMix
	Accounts int
	// AccountWeights holds the fraction of requests of each account.
	AccountWeights []float64
	// PromptMedian and OutputMedian are the medians of unique prompt tokens and of output
	// tokens. Both are log-normal; Spread is the standard deviation of their natural
	// logarithm.
	PromptMedian, OutputMedian float64
	Spread                     float64
	// Bounds of the numbers of unique prompt tokens and of output tokens.
	PromptMin, PromptMax int
	OutputMin, OutputMax int
	// PrefixShare is the fraction of requests that start with one of Prefixes shared
	// documents of PrefixTokens tokens. The documents have a Zipf distribution: the
	// frequency of the k-th is proportional to k to the power of -PrefixSkew.
	PrefixShare  float64
	Prefixes     int
	PrefixSkew   float64
	PrefixTokens int
}

// DefaultMix returns the mix of the engine requests of all deployments. Prompt and output
// sizes vary by a factor of 100, and two of the five accounts send three quarters of
// the requests.
func DefaultMix() Mix {
	return Mix{
		Tiers: []TierMix{
			{Name: "t0", Share: 0.10, DeadlineBase: 3 * time.Second, DeadlineFactor: 2},
			{Name: "t1", Share: 0.20, DeadlineBase: 5 * time.Second, DeadlineFactor: 2.5},
			{Name: "t2", Share: 0.30, DeadlineBase: 8 * time.Second, DeadlineFactor: 3},
			{Name: "t3", Share: 0.25, DeadlineBase: 15 * time.Second, DeadlineFactor: 4},
			{Name: "t4", Share: 0.15, DeadlineBase: 30 * time.Second, DeadlineFactor: 5},
		},
		Accounts: 5, AccountWeights: []float64{0.45, 0.3, 0.1, 0.1, 0.05},
		PromptMedian: 250, OutputMedian: 90, Spread: 1.1,
		PromptMin: 30, PromptMax: 3000, OutputMin: 8, OutputMax: 800,
		PrefixShare: 0.6, Prefixes: 60, PrefixSkew: 0.8, PrefixTokens: 640,
	}
}

// halfBatchTokenTime is the inter-token time of an engine of speed 1 with a half-full
// batch.
const halfBatchTokenTime = 22 * time.Millisecond

// Rate returns the arrival rate, in requests per second, at a time since the start.
type Rate func(at time.Duration) float64

// ConstantRate returns a constant rate.
func ConstantRate(perSecond float64) Rate { return func(time.Duration) float64 { return perSecond } }

// BurstRate returns a rate that, from start on, rises linearly from low to ten times low
// over 30 s, stays there for 30 s and then returns to low.
func BurstRate(low float64, start time.Duration) Rate {
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

// Generate returns the arrivals of a Poisson process with the given rate before end.
// The rate must not exceed peak. The result depends only on the arguments.
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
		// Thinning: candidates arrive at the peak rate, and each is kept with probability
		// rate/peak.
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
		PrefixIndex:  -1,
		UniqueTokens: sampleLogNormal(random, m.PromptMedian, m.Spread, m.PromptMin, m.PromptMax),
		OutputTokens: sampleLogNormal(random, m.OutputMedian, m.Spread, m.OutputMin, m.OutputMax),
	}
	if random.Float64() < m.PrefixShare {
		arrival.PrefixIndex = m.samplePrefix(random)
		arrival.PrefixTokens = m.PrefixTokens
	}
	tier := m.Tiers[arrival.Tier]
	arrival.Deadline = tier.DeadlineBase + time.Duration(tier.DeadlineFactor*float64(arrival.serviceTime()))
	return arrival
}

// serviceTime returns the time that a request takes on an engine of speed 1, the
// slowest, with a half-full batch and an empty cache.
func (a Arrival) serviceTime() time.Duration {
	return time.Duration(a.PrefixTokens+a.UniqueTokens)*engine.PrefillPerToken +
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

// sampleIndex returns an index below n; share returns the probability of each.
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

// sampleLogNormal returns a log-normal value, clamped to the range from low to high.
func sampleLogNormal(random *rand.Rand, median, spread float64, low, high int) int {
	return min(high, max(low, int(median*math.Exp(spread*random.NormFloat64()))))
}

// Capacity returns the requests per second that engines of the given speeds can
// serve: their total speed divided by the mean engine time of a request, with full
// batches and with all shared prefixes cached.
func (m Mix) Capacity(seed uint64, speeds []float64, maxBatch int) float64 {
	const draws = 20_000
	random := rand.New(rand.NewPCG(seed, 1))
	timePerToken := float64(engine.StepBase)/float64(maxBatch) + float64(engine.StepPerSequence)
	totalTime := 0.0
	for range draws {
		arrival := m.sampleArrival(random)
		totalTime += float64(arrival.UniqueTokens)*float64(engine.PrefillPerToken) + float64(arrival.OutputTokens)*timePerToken
	}
	totalSpeed := 0.0
	for _, s := range speeds {
		totalSpeed += s
	}
	return totalSpeed * draws * float64(time.Second) / totalTime
}

// Prompt returns the text of the prompt: the shared document, if any, and text that is
// unique to the request.
func (a Arrival) Prompt() string {
	var text strings.Builder
	if a.PrefixIndex >= 0 {
		writeTokens(&text, fmt.Sprintf("doc%d ", a.PrefixIndex), a.PrefixTokens)
	}
	writeTokens(&text, a.ID+" ", a.UniqueTokens)
	return text.String()
}

// writeTokens writes a phrase repeatedly, cut off at the given number of tokens.
func writeTokens(text *strings.Builder, phrase string, tokens int) {
	size := tokens * engine.TokenBytes
	text.WriteString(strings.Repeat(phrase, size/len(phrase)+1)[:size])
}
