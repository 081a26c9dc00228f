package cell

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/caller"
	"github.com/lagoonlane/lagoonlane/bench/standin/engine"
)

// cacheWarmupTime is the time after the start from which the prefix caches are
// regarded as filled.
const cacheWarmupTime = 20 * time.Second

// callerGraceTime is how long a caller waits for the final response after its deadline.
const callerGraceTime = time.Second

// sample is a request and its result.
type sample struct {
	arrival Arrival
	result  caller.Result
}

// good reports whether the caller received the complete answer by the deadline.
func (s sample) good() bool {
	return s.result.Outcome == caller.OutcomeWhole && s.result.Total <= s.arrival.Deadline
}

// TierReport holds the results of the requests of one tier.
type TierReport struct {
	Name    string
	Offered int
	Good    int
	// Outcomes counts the requests that weren't good by outcome; a complete answer after
	// the deadline counts as "late".
	Outcomes map[string]int
	// FirstTokenP99 is the 99th percentile of the time to the first token of good requests.
	FirstTokenP99 time.Duration
}

// GoodShare returns the fraction of offered requests that were good; 1 if none were offered.
func (t TierReport) GoodShare() float64 {
	if t.Offered == 0 {
		return 1
	}
	return float64(t.Good) / float64(t.Offered)
}

// Report holds the results of one run. It covers the requests that arrived in the
// window.
type Report struct {
	Router string
	Tiers  []TierReport
	// PrefillTokens counts the prompt tokens computed by all engines.
	PrefillTokens int
	// AbandonedPrefill counts prompt tokens computed for requests that weren't good.
	AbandonedPrefill int
	// RepeatedPrefill counts prompt tokens computed for good requests although another
	// engine had them cached.
	RepeatedPrefill int
	// WarmPrefill and WarmWastedPrefill count the computed and the wasted prompt tokens of
	// requests that arrived after cacheWarmupTime.
	WarmPrefill       int
	WarmWastedPrefill int
	// GoodInWindow counts good requests that ended within the window.
	GoodInWindow int
	// FirstCopies counts the repeated tokens that the computing engine had never cached
	// before.
	FirstCopies int
	// Inverted counts refused requests for which a lower tier's request was dispatched
	// after the refusal, at a time when they could still have met their deadline.
	Inverted int
	// Overtaken counts refused requests for which a lower tier's request that arrived
	// later was dispatched before the refusal.
	Overtaken int
	// GoodTokens counts the output tokens of good requests.
	GoodTokens int
	// Window is the time over which requests arrived.
	Window time.Duration
	// WrongAnswers counts answers whose text didn't belong to the request.
	WrongAnswers int
	// Doubled counts requests that engines received more than once in total.
	Doubled int
	// NotRunButDispatched counts requests that were refused as not run although an
	// engine had received them.
	NotRunButDispatched int
	// Outcomes sums the outcomes of all tiers.
	Outcomes map[string]int
	// Problems counts the problem types of requests that weren't good, over all tiers.
	Problems map[string]int
}

// Good returns the number of good requests and the number of offered requests.
func (r Report) Good() (good, offered int) {
	for _, tier := range r.Tiers {
		good += tier.Good
		offered += tier.Offered
	}
	return good, offered
}

// Goodput returns the good requests per second that ended within the window.
func (r Report) Goodput() float64 { return float64(r.GoodInWindow) / r.Window.Seconds() }

// WastedShare returns the wasted fraction of the computed prompt tokens: abandoned
// and repeated ones.
func (r Report) WastedShare() float64 {
	return float64(r.AbandonedPrefill+r.RepeatedPrefill) / float64(max(1, r.PrefillTokens))
}

// WarmWastedShare returns the wasted fraction for requests that arrived after
// cacheWarmupTime.
func (r Report) WarmWastedShare() float64 {
	return float64(r.WarmWastedPrefill) / float64(max(1, r.WarmPrefill))
}

// Event is an action at a set time of a run, such as a fault.
type Event struct {
	At time.Duration
	Do func()
}

// Drive sends the arrivals through a router in an open loop: each at its scheduled
// time, regardless of the progress of earlier ones. It waits for all of them and
// reports on those that arrive in the window.
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
	// Engines cancel the calls of disconnected callers after a delay.
	time.Sleep(2 * orphanTimeout)
	return c.report(name, mix, samples, started, window)
}

// orphanTimeout bounds the time until an engine or a sidecar cancels a call that has
// no reader.
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
		report.Tiers[i].FirstTokenP99 = quantile(firstTokenTimes[i], 0.99)
	}
	report.countInversions(started, samples, records)
	return report
}

// outcomeName returns the name of the outcome of a request that wasn't good.
func (s sample) outcomeName() string {
	if s.result.Outcome == caller.OutcomeWhole {
		return "late"
	}
	return string(s.result.Outcome)
}

// addEngineWork adds the engines' records of a request to the report.
func (r *Report) addEngineWork(request sample, records []engine.Record) {
	if request.result.Outcome == caller.OutcomeWrong {
		r.WrongAnswers++
	}
	if len(records) > 1 {
		r.Doubled++
	}
	if len(records) > 0 && request.result.Outcome == caller.OutcomeNotRun {
		r.NotRunButDispatched++
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
			r.WarmWastedPrefill += abandoned + repeated
		}
	}
}

// quantile returns the q-quantile of the values, or 0 if there are none. It sorts
// them.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
