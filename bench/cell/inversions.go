package cell

import (
	"time"

	"github.com/lagoonlane/lagoonlane/bench/caller"
	"github.com/lagoonlane/lagoonlane/bench/standin/engine"
)

// dispatch is a request received by an engine. Its times count from the start of the
// run.
type dispatch struct {
	tier       int
	arrivedAt  time.Duration
	receivedAt time.Duration
}

// countInversions compares each request that was refused as not run with the
// dispatches of lower tiers before the last arrival.
func (r *Report) countInversions(started time.Time, samples []sample, records map[string][]engine.Record) {
	if len(samples) == 0 {
		return
	}
	lastArrival := samples[len(samples)-1].arrival.At
	var dispatches []dispatch
	for _, request := range samples {
		for _, record := range records[request.arrival.ID] {
			receivedAt := record.ReceivedAt.Sub(started)
			if receivedAt < lastArrival {
				dispatches = append(dispatches, dispatch{tier: request.arrival.Tier, arrivedAt: request.arrival.At, receivedAt: receivedAt})
			}
		}
	}
	for _, request := range samples {
		if request.result.Outcome != caller.OutcomeNotRun || request.arrival.At >= r.Window {
			continue
		}
		inverted, overtaken := compareRefused(request, dispatches)
		r.Inverted += inverted
		r.Overtaken += overtaken
	}
}

// compareRefused returns inverted and overtaken as 0 or 1. inverted is 1 if a
// request of a lower tier was dispatched after the refusal, at a time when the
// refused request could still have met its deadline. overtaken is 1 if a request of
// a lower tier arrived later and was dispatched before the refusal.
func compareRefused(refused sample, dispatches []dispatch) (inverted, overtaken int) {
	refusedAt := refused.arrival.At + refused.result.Total
	latestStart := refused.arrival.At + refused.arrival.Deadline - refused.arrival.serviceTime()
	for _, other := range dispatches {
		if other.tier <= refused.arrival.Tier {
			continue
		}
		if other.receivedAt > refusedAt && other.receivedAt < latestStart {
			inverted = 1
		}
		if other.arrivedAt > refused.arrival.At && other.receivedAt < refusedAt {
			overtaken = 1
		}
	}
	return inverted, overtaken
}
