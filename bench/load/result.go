package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lagoonlane/lagoonlane/bench/caller"
	"github.com/lagoonlane/lagoonlane/bench/cell"
)

// Range and precision of the histograms, in microseconds.
const (
	lowestMicros      = 1
	highestMicros     = 600_000_000
	significantDigits = 3
)

// tierStats accumulates the measurements of one tier.
type tierStats struct {
	name       string
	offered    int
	good       int
	late       int
	outcomes   map[string]int
	problems   map[string]int
	total      *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
}

func newTierStats(name string) *tierStats {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
	}
	return &tierStats{
		name: name, outcomes: map[string]int{}, problems: map[string]int{},
		total: histogram(), firstToken: histogram(), interToken: histogram(),
	}
}

// add counts a request and reports whether it was good: its answer was complete and met
// the deadline.
func (t *tierStats) add(arrival cell.Arrival, result caller.Result) bool {
	t.offered++
	t.outcomes[string(result.Outcome)]++
	if result.Problem != "" {
		t.problems[result.Problem]++
	}
	if result.Outcome != caller.OutcomeWhole {
		return false
	}
	recordDuration(t.total, result.Total)
	if result.FirstToken > 0 {
		recordDuration(t.firstToken, result.FirstToken)
	}
	for _, gap := range result.Gaps {
		recordDuration(t.interToken, gap)
	}
	if result.Total > arrival.Deadline {
		t.late++
		return false
	}
	t.good++
	return true
}

func recordDuration(histogram *hdrhistogram.Histogram, d time.Duration) {
	// Durations outside the range are clamped to it, so RecordValue doesn't fail.
	_ = histogram.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// Quantiles summarises a distribution of durations, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

const microsPerMilli = 1000

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	valueAtPercentile := func(percentile float64) float64 { return float64(h.ValueAtPercentile(percentile)) / microsPerMilli }
	return Quantiles{
		Count: h.TotalCount(), P50: valueAtPercentile(50), P90: valueAtPercentile(90), P99: valueAtPercentile(99), P999: valueAtPercentile(99.9),
		Max: float64(h.Max()) / microsPerMilli,
	}
}

// TierResult holds the results of the requests of one tier.
type TierResult struct {
	Name    string `json:"name"`
	Offered int    `json:"offered"`
	// Good counts requests with a complete and correct answer by the deadline; Late
	// counts those that received it after the deadline.
	Good int `json:"good"`
	Late int `json:"late"`
	// Outcomes counts all requests by outcome; Problems counts the reported problems by
	// type.
	Outcomes   map[string]int `json:"outcomes"`
	Problems   map[string]int `json:"problems,omitempty"`
	Total      Quantiles      `json:"total"`
	FirstToken Quantiles      `json:"first_token"`
	InterToken Quantiles      `json:"inter_token"`
	// GoodBySecond counts the good requests by the second in which they ended.
	GoodBySecond []int `json:"good_by_second"`

	distribution []hdrhistogram.Bracket
}

// Result holds the results of a run.
type Result struct {
	Tiers  []TierResult  `json:"tiers"`
	Window time.Duration `json:"window_ns"`
	// GoodPerSecond is the number of good requests of all tiers, divided by the window in
	// seconds.
	GoodPerSecond float64 `json:"good_per_second"`
	Offered       int     `json:"offered"`
	// WrongAnswers counts answers with the text of another request; NoFinalAnswer counts requests
	// without an answer or with one that was cut off.
	WrongAnswers  int `json:"wrong"`
	NoFinalAnswer int `json:"no_final_answer"`
	// Doubled and NotRunButDispatched are set by CheckRuns.
	Doubled             int `json:"doubled"`
	NotRunButDispatched int `json:"not_run_but_seen"`

	// OutcomeByID holds the outcomes by request id. CheckRuns compares them with the runs on the
	// backend servers.
	OutcomeByID map[string]caller.Outcome `json:"-"`
}

func (r *runner) result() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := Result{Window: r.options.Window, OutcomeByID: r.outcomeByID}
	good := 0
	for i, tier := range r.tiers {
		good += tier.good
		result.Offered += tier.offered
		result.WrongAnswers += tier.outcomes[string(caller.OutcomeWrong)]
		result.NoFinalAnswer += tier.outcomes[string(caller.OutcomeNoAnswer)] + tier.outcomes[string(caller.OutcomeCut)]
		result.Tiers = append(result.Tiers, TierResult{
			Name: tier.name, Offered: tier.offered, Good: tier.good, Late: tier.late,
			Outcomes: tier.outcomes, Problems: tier.problems,
			Total: quantiles(tier.total), FirstToken: quantiles(tier.firstToken), InterToken: quantiles(tier.interToken),
			GoodBySecond: r.goodBySecond[i], distribution: tier.total.CumulativeDistribution(),
		})
	}
	result.GoodPerSecond = float64(good) / r.options.Window.Seconds()
	return result
}
