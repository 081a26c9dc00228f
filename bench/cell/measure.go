package cell

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/caller"
	"github.com/lagoonlane/lagoonlane/bench/standin/engine"
)

// cacheWarmupTime is how long after the start caches count as filled.
const cacheWarmupTime = 20 * time.Second

// callerGraceTime is how long after its deadline a caller waits for a last word.
const callerGraceTime = time.Second

// sample is one request and how it ended.
type sample struct {
	arrival Arrival
	result  caller.Result
}

// good reports whether the caller had its whole answer in time.
func (s sample) good() bool {
	return s.result.Outcome == caller.OutcomeWhole && s.result.Total <= s.arrival.Deadline
}

// TierReport is the result of one tier.
type TierReport struct {
	Name    string
	Offered int
	Good    int
	// Outcomes of those that were not good; a whole answer that came late is "late".
	Outcomes map[string]int
	// FirstToken is the 99th percentile of the good ones.
	FirstToken time.Duration
}

// Share returns the part of the offered requests that was good.
func (t TierReport) Share() float64 {
	if t.Offered == 0 {
		return 1
	}
	return float64(t.Good) / float64(t.Offered)
}

// Report is the result of one run.
type Report struct {
	Router string
	Tiers  []TierReport
	// PrefillTokens were computed by the engines in all.
	PrefillTokens int
	// AbandonedPrefill were computed for requests without a good end.
	AbandonedPrefill int
	// RepeatedPrefill were computed for good ones though another engine had them cached.
	RepeatedPrefill int
	// WarmPrefill and WarmWasted are the computed and the wasted prefill tokens of the
	// requests that arrived after cacheWarmupTime, when caches had filled.
	WarmPrefill int
	WarmWasted  int
	// GoodInWindow requests were good and ended while requests still arrived.
	GoodInWindow int
	// FirstCopies of the repeated tokens were an engine's first copy of a prefix.
	FirstCopies int
	// Inverted requests were refused, and between the refusal and the last moment at
	// which they could still have been served an engine was given a lower tier's request.
	Inverted int
	// Overtaken requests were refused, and while they waited an engine was given a
	// lower tier's request that had arrived after them.
	Overtaken int
	// GoodTokens is the number of output tokens of good requests.
	GoodTokens int
	// Window is the time over which requests arrived.
	Window time.Duration
	// Wrong counts answers that were not the caller's own.
	Wrong int
	// Doubled counts requests that more than one engine, or one more than once, was given.
	Doubled int
	// NotRunButSeen counts requests refused as not run that an engine was given.
	NotRunButSeen int
	// Outcomes over all tiers.
	Outcomes map[string]int
	// Problems counts the kinds of problems over all tiers.
	Problems map[string]int
}

// Good returns the number of good requests, and of all.
func (r Report) Good() (good, offered int) {
	for _, tier := range r.Tiers {
		good += tier.Good
		offered += tier.Offered
	}
	return good, offered
}

// Goodput returns the good requests a second that ended in the arrival window.
func (r Report) Goodput() float64 { return float64(r.GoodInWindow) / r.Window.Seconds() }

// WastedShare returns the wasted part of all prefill tokens.
func (r Report) WastedShare() float64 {
	return float64(r.AbandonedPrefill+r.RepeatedPrefill) / float64(max(1, r.PrefillTokens))
}

// WarmWastedShare returns the same of the requests that arrived after the caches had filled.
func (r Report) WarmWastedShare() float64 {
	return float64(r.WarmWasted) / float64(max(1, r.WarmPrefill))
}

// Event is a change during a run, such as a fault.
type Event struct {
	At time.Duration
	Do func()
}

// Drive sends the arrivals through a router, each at its time, whatever became of
// those before it, and waits for all. It reports on those that arrive in the window.
func (c *Cell) Drive(name string, router Router, mix Mix, arrivals []Arrival, window time.Duration, events []Event) Report {
	samples := make([]sample, len(arrivals))
	started := time.Now()
	var tasks sync.WaitGroup
	for _, event := range events {
		tasks.Go(func() {
			time.Sleep(event.At)
			event.Do()
		})
	}
	for i, arrival := range arrivals {
		time.Sleep(time.Until(started.Add(arrival.At)))
		tasks.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), arrival.Deadline+callerGraceTime)
			defer cancel()
			samples[i] = sample{arrival: arrival, result: router.Send(ctx, arrival)}
		})
	}
	tasks.Wait()
	// Calls whose callers left are ended by the engines themselves.
	time.Sleep(2 * orphanTimeout)
	return c.report(name, mix, samples, started, window)
}

// orphanTimeout is how long engines and sidecars may take to end what nobody reads.
const orphanTimeout = 10 * time.Second

func (c *Cell) report(name string, mix Mix, samples []sample, started time.Time, window time.Duration) Report {
	report := Report{Router: name, Window: window, Outcomes: map[string]int{}, Problems: map[string]int{}}
	firstTokenTimes := make([][]time.Duration, len(mix.Tiers))
	for _, tier := range mix.Tiers {
		report.Tiers = append(report.Tiers, TierReport{Name: tier.Name, Outcomes: map[string]int{}})
	}
	records := c.Records()
	for _, request := range samples {
		if request.arrival.At >= window {
			continue
		}
		tier := &report.Tiers[request.arrival.Tier]
		tier.Offered++
		report.addEngineWork(request, records[request.arrival.ID])
		if request.good() {
			tier.Good++
			report.GoodTokens += request.result.Tokens
			if request.arrival.At+request.result.Total <= window {
				report.GoodInWindow++
			}
			firstTokenTimes[request.arrival.Tier] = append(firstTokenTimes[request.arrival.Tier], request.result.FirstToken)
			continue
		}
		outcome := request.outcomeName()
		tier.Outcomes[outcome]++
		report.Outcomes[outcome]++
		if request.result.Problem != "" {
			report.Problems[request.result.Problem]++
		}
	}
	for i := range report.Tiers {
		report.Tiers[i].FirstToken = quantile(firstTokenTimes[i], 0.99)
	}
	report.countInversions(started, samples, records)
	return report
}

func (s sample) outcomeName() string {
	if s.result.Outcome == caller.OutcomeWhole {
		return "late"
	}
	return string(s.result.Outcome)
}

// addEngineWork adds what the engines did for a request.
func (r *Report) addEngineWork(request sample, records []engine.Record) {
	if request.result.Outcome == caller.OutcomeWrong {
		r.Wrong++
	}
	if len(records) > 1 {
		r.Doubled++
	}
	if len(records) > 0 && request.result.Outcome == caller.OutcomeNotRun {
		r.NotRunButSeen++
	}
	for _, record := range records {
		abandoned, repeated := record.PrefillTokens, 0
		if request.good() && record.Finished {
			abandoned, repeated = 0, record.RepeatedTokens
			r.FirstCopies += record.FirstCopyTokens
		}
		r.PrefillTokens += record.PrefillTokens
		r.AbandonedPrefill += abandoned
		r.RepeatedPrefill += repeated
		if request.arrival.At >= cacheWarmupTime {
			r.WarmPrefill += record.PrefillTokens
			r.WarmWasted += abandoned + repeated
		}
	}
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
