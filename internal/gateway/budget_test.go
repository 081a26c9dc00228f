package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/steady"
)

// All entries together must stay within the deployment's retry bound in any window, even if
// every request fails.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	c := qt.New(t)
	const entries, perEntry = 5, 40
	bounds := RetryBounds{Ratio: 0.2, Window: 10 * time.Second, Slack: 56}
	now := time.Unix(1_000_000, 0)
	retries, requests := 0, 0
	var budgets []*retryBudget
	for range entries {
		budgets = append(budgets, newRetryBudget(bounds))
	}
	for range perEntry {
		now = now.Add(bounds.Window / perEntry)
		for _, b := range budgets {
			b.countRequest("service", now)
			requests++
			if b.take("service", entries, now) {
				retries++
			}
		}
	}
	c.Assert(float64(retries) <= bounds.Ratio*float64(requests)+bounds.Slack, qt.IsTrue, qt.Commentf("%d repeats of %d requests", retries, requests))
	c.Assert(retries > 0, qt.IsTrue)
	later := now.Add(2 * bounds.Window)
	c.Assert(budgets[0].take("service", entries, later), qt.IsTrue)
}

// A step of the wall clock during a shutdown admitted calls that couldn't end in time, or
// refused calls that could. In the synctest bubble the wall clock advances by an hour while the
// clock that counts suspension doesn't.
func TestStopIsIndependentOfTheTimeOfDay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := &Gateway{}
		call := &call{deadline: steady.Now().Add(time.Minute)}
		g.BeginShutdown(10 * time.Second)
		time.Sleep(time.Hour)
		c.Assert(g.checkShutdown(call, 0) == nil, qt.IsTrue)
	})
}

// A step of the wall clock reset the retry budget too early, or kept it exhausted.
func TestRetryBudgetIsIndependentOfTheTimeOfDay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		// The slack allows one retry.
		bounds := RetryBounds{Window: time.Minute, Slack: 1.1 / retryBoundFraction}
		g := &Gateway{retryBudget: newRetryBudget(bounds), options: Options{Entries: func() int { return 1 }}}
		call := &call{service: "service", deadline: steady.Now().Add(time.Hour)}
		c.Assert(g.mayRetry(call, &callProgress{}, verdictRejected), qt.IsTrue)
		time.Sleep(10 * bounds.Window)
		c.Assert(g.mayRetry(call, &callProgress{}, verdictRejected), qt.IsFalse)
	})
}

// During a shutdown, an entry accepts calls that can end in time and refuses the rest.
func TestStoppingEntryRefusesLongCalls(t *testing.T) {
	c := qt.New(t)
	g := &Gateway{}
	call := &call{deadline: steady.Now().Add(time.Minute)}
	c.Assert(g.checkShutdown(call, typicalSlotWait) == nil, qt.IsTrue)
	g.BeginShutdown(10 * time.Second)
	c.Assert(g.checkShutdown(call, typicalSlotWait) == nil, qt.IsTrue)
	g.BeginShutdown(time.Second)
	refused := g.checkShutdown(call, typicalSlotWait)
	c.Assert(refused.Status, qt.Equals, 503)
	c.Assert(refused.RetryAfter > 0, qt.IsTrue)
}

// Late in a shutdown, an entry accepted long answers because the caller's hint said that they
// were short, and cut them at the end of the grace time.
func TestStoppingEntryTakesOnlyWhatSurelyEnds(t *testing.T) {
	const grace = 10 * time.Second
	engine := &fleet.Engine{}
	long := func(hint int) RequestInfo {
		return RequestInfo{HasTokens: true, MaxOutputTokens: 2000, OutputHint: hint}
	}
	for name, test := range map[string]struct {
		engine *fleet.Engine
		info   RequestInfo
		// since is the time since the start of the shutdown, deadline the time from now to the
		// call's deadline.
		since, deadline time.Duration
		taken           bool
	}{
		"largest output fits":             {engine, RequestInfo{HasTokens: true, MaxOutputTokens: 200}, 5 * time.Second, time.Minute, true},
		"largest output doesn't fit":      {engine, long(0), 5 * time.Second, time.Minute, false},
		"short by a hint, may be cut":     {engine, long(50), time.Second, time.Minute, true},
		"short by a hint, late":           {engine, long(50), cutAllowedWindow + time.Millisecond, time.Minute, false},
		"long by a hint":                  {engine, long(1800), time.Second, time.Minute, false},
		"deadline before the end":         {engine, long(0), 8 * time.Second, time.Second, true},
		"deadline after the end":          {engine, long(0), 8 * time.Second, 3 * time.Second, false},
		"unknown output, late":            {engine, RequestInfo{}, 5 * time.Second, time.Minute, false},
		"plain service":                   {nil, RequestInfo{}, 5 * time.Second, time.Minute, true},
		"plain service, close to the end": {nil, RequestInfo{}, 9500 * time.Millisecond, time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			g := &Gateway{}
			now := steady.Now()
			g.shutdown.Store(&shutdown{startedAt: now.Add(-test.since), endsAt: now.Add(grace - test.since)})
			call := &call{engine: test.engine, info: test.info, deadline: now.Add(test.deadline)}
			c.Assert(g.checkShutdown(call, typicalSlotWait) == nil, qt.Equals, test.taken)
		})
	}
}
