package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/steady"
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

// A step of the time of day during a stop admitted what couldn't end any more, or refused
// what could: the clock of a bubble goes on, that of the machine does not.
func TestStopIsIndependentOfTheTimeOfDay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := &Gateway{}
		g.Leave(10 * time.Second)
		time.Sleep(time.Hour)
		c.Assert(g.mayFinish(&call{}) == nil, qt.IsTrue)
	})
}

// A step of the time of day gave the retry budget back too early, or kept it used up.
func TestRetryBudgetIsIndependentOfTheTimeOfDay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		// The slack is for one repeat.
		bounds := RetryBounds{Window: time.Minute, Slack: 1.1 / budgetPart}
		g := &Gateway{retries: newRetryBudget(bounds), options: Options{Entries: func() int { return 1 }}}
		one := &call{service: "service", deadline: steady.Now().Add(time.Hour)}
		c.Assert(g.mayTryAgain(one, &progress{}, verdictRejected), qt.IsTrue)
		time.Sleep(10 * bounds.Window)
		c.Assert(g.mayTryAgain(one, &progress{}, verdictRejected), qt.IsFalse)
	})
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
