package admission_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// longAnswerMix returns the classes of a deployment whose two upper tiers produce long answers and
// whose lowest tier produces short ones.
func longAnswerMix(load float64) []class {
	return []class{
		{rank: 0, perSecond: 8 * load, prompt: 2400, output: 240, objective: 600 * time.Millisecond, deadline: 12 * time.Second, lateHold: 600 * time.Millisecond},
		{rank: 1, perSecond: 10 * load, prompt: 230, output: 190, objective: 500 * time.Millisecond, deadline: 10 * time.Second, lateHold: 250 * time.Millisecond},
		{rank: 2, perSecond: 14 * load, prompt: 650, output: 14, objective: time.Second, deadline: 2500 * time.Millisecond},
	}
}

// TestOverloadRefusesEarly simulates overloads that last: a request that will not be served must be
// told so early, so that its caller can come back when there is a slot.
func TestOverloadRefusesEarly(t *testing.T) {
	// maxHoldShare is the largest accepted mean hold of refused requests, as a share of the objective.
	const maxHoldShare = 0.4
	for name, mix := range map[string][]class{
		"long answers in the upper tiers": longAnswerMix(2.4),
		"long answers in the lowest tier": requestMix(1.7),
		"lasting overload of all tiers":   longAnswerMix(4),
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				c := qt.New(t)
				s := newSim(seed, mixedSlowdowns)
				results := s.run(mix)
				for i, r := range results {
					t.Logf("tier %d: %d on time, %d late, %d refused of %d, held %v", i, r.onTime, r.late, r.refused, r.submitted, r.meanHold())
					if r.refused > r.submitted/20 {
						c.Check(r.meanHold() < time.Duration(maxHoldShare*float64(mix[i].objective)), qt.IsTrue, qt.Commentf("tier %d", i))
					}
				}
			})
		}
	}
}
