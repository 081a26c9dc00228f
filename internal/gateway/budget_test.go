package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// All entries together keep to the deployment's bound on repeats in any window, also
// when every request fails.
func TestRepeatsKeepToTheBudget(t *testing.T) {
	c := qt.New(t)
	const entries, perEntry = 5, 40
	bounds := RetryBounds{Ratio: 0.2, Window: 10 * time.Second, Slack: 56}
	now := time.Unix(1_000_000, 0)
	repeats, requests := 0, 0
	var budgets []*retryBudget
	for range entries {
		budgets = append(budgets, newRetryBudget(bounds))
	}
	for range perEntry {
		now = now.Add(bounds.Window / perEntry)
		for _, b := range budgets {
			b.first("service", now)
			requests++
			if b.take("service", entries, now) {
				repeats++
			}
		}
	}
	c.Assert(float64(repeats) <= bounds.Ratio*float64(requests)+bounds.Slack, qt.IsTrue, qt.Commentf("%d repeats of %d requests", repeats, requests))
	c.Assert(repeats > 0, qt.IsTrue)
	later := now.Add(2 * bounds.Window)
	c.Assert(budgets[0].take("service", entries, later), qt.IsTrue)
}

// An entry that stops takes what it can still finish and refuses the rest.
func TestStoppingEntryRefusesLongCalls(t *testing.T) {
	c := qt.New(t)
	g := &Gateway{}
	one := &call{}
	c.Assert(g.mayFinish(one) == nil, qt.IsTrue)
	g.Leave(10 * time.Second)
	c.Assert(g.mayFinish(one) == nil, qt.IsTrue)
	g.Leave(time.Second)
	c.Assert(g.mayFinish(one).Status, qt.Equals, 503)
}
