package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/steady"
	"github.com/lagoonlane/lagoonlane/internal/worktime"
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
		budgets = append(budgets, newRetryBudget(bounds, time.Time{}, liveEntries(entries)))
	}
	for range perEntry {
		now = now.Add(bounds.Window / perEntry)
		for _, b := range budgets {
			b.countRequest("service", now)
			requests++
			if b.take("service", now) {
				retries++
			}
		}
	}
	c.Assert(float64(retries) <= bounds.Ratio*float64(requests)+bounds.Slack, qt.IsTrue, qt.Commentf("%d repeats of %d requests", retries, requests))
	c.Assert(retries > 0, qt.IsTrue)
	later := now.Add(2 * bounds.Window)
	c.Assert(budgets[0].take("service", later), qt.IsTrue)
}

// liveEntries is a fixed number of live entries.
func liveEntries(n int) func() (int, bool) { return func() (int, bool) { return n, true } }

// Guards against a retry budget that is given out again in its window, to processes that start again, or to those that are
// left: the retries of all entries together went beyond the deployment's bound.
func TestRetriesStayWithinTheBudgetOverRestarts(t *testing.T) {
	const step, noticed, restart = 50 * time.Millisecond, 1500 * time.Millisecond, time.Second
	bounds := RetryBounds{Ratio: 0.2, Window: 10 * time.Second, Slack: 56}
	all := func(int, int) bool { return true }
	for name, test := range map[string]struct {
		// kills holds when entries are killed, killed tells which of them; gone ones don't start again.
		kills  []time.Duration
		killed func(kill, entry int) bool
		gone   bool
	}{
		"all once":             {kills: []time.Duration{15 * time.Second}, killed: all},
		"all, three times":     {kills: []time.Duration{15 * time.Second, 18 * time.Second, 21 * time.Second}, killed: all},
		"one after the other":  {kills: []time.Duration{15 * time.Second, 17 * time.Second, 19 * time.Second, 21 * time.Second}, killed: func(kill, entry int) bool { return kill == entry }},
		"every second one":     {kills: []time.Duration{15 * time.Second}, killed: func(_, entry int) bool { return entry%2 == 1 }},
		"all but one are gone": {kills: []time.Duration{15 * time.Second}, killed: func(_, entry int) bool { return entry > 0 }, gone: true},
	} {
		for _, play := range []struct{ entries, pace int }{{1, 1}, {2, 1}, {4, 1}, {10, 1}, {2, 20}, {4, 20}, {10, 20}} {
			entries := play.entries
			t.Run(fmt.Sprintf("%s, %d entries, a request every %v", name, entries, time.Duration(play.pace)*step), func(t *testing.T) {
				c := qt.New(t)
				start := time.Unix(1_000_000, 0)
				budgets, backAt := make([]*retryBudget, entries), make([]time.Time, entries)
				var deaths, requests, retries []time.Time
				now := start
				// The death of an entry is noticed later.
				alive := func() (int, bool) {
					n := 0
					for _, b := range budgets {
						if b != nil {
							n++
						}
					}
					for _, at := range deaths {
						if now.Sub(at) < noticed {
							n++
						}
					}
					return min(max(n, 1), entries), true
				}
				for ; now.Before(start.Add(50 * time.Second)); now = now.Add(step) {
					for i := range entries {
						for kill, at := range test.kills {
							if now.Equal(start.Add(at)) && test.killed(kill, i) && budgets[i] != nil {
								budgets[i], backAt[i] = nil, now.Add(restart)
								deaths = append(deaths, now)
							}
						}
						if budgets[i] == nil && !now.Before(backAt[i]) && !(test.gone && !backAt[i].IsZero()) {
							budgets[i] = newRetryBudget(bounds, now, alive)
						}
						if budgets[i] == nil || int(now.Sub(start)/step)%play.pace > 0 {
							continue
						}
						budgets[i].countRequest("service", now)
						requests = append(requests, now)
						for range 8 {
							if budgets[i].take("service", now) {
								retries = append(retries, now)
							}
						}
					}
				}
				within := func(times []time.Time, from time.Time) (n float64) {
					for _, at := range times {
						if !at.Before(from) && at.Before(from.Add(bounds.Window)) {
							n++
						}
					}
					return n
				}
				for from := start; from.Before(now); from = from.Add(bounds.Window / 40) {
					most := max(within(requests, from), within(requests, from.Add(-bounds.Window)), within(requests, from.Add(-bounds.Window/2)))
					c.Assert(within(retries, from) <= bounds.Ratio*most+bounds.Slack, qt.IsTrue, qt.Commentf("%v retries of %v requests from %v on", within(retries, from), most, from.Sub(start)))
				}
				c.Assert(len(retries) > int(bounds.Slack/2), qt.IsTrue, qt.Commentf("%d retries", len(retries)))
			})
		}
	}
}

// A step of the wall clock during a shutdown admitted calls that couldn't end in time, or
// refused calls that could. In the synctest bubble the wall clock advances by an hour while the
// clock that counts suspension doesn't.
func TestStopIsIndependentOfTheTimeOfDay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := &Gateway{work: worktime.New()}
		call := &call{route: &fleet.Route{Kind: fleet.KindSafe}, deadline: steady.Now().Add(time.Minute)}
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
		g := &Gateway{retryBudget: newRetryBudget(bounds, time.Time{}, liveEntries(1))}
		call := &call{service: "service", deadline: steady.Now().Add(time.Hour)}
		c.Assert(g.mayRetry(call, &callProgress{}, verdictRejected), qt.IsTrue)
		time.Sleep(10 * bounds.Window)
		c.Assert(g.mayRetry(call, &callProgress{}, verdictRejected), qt.IsFalse)
	})
}

// During a shutdown, an entry accepts calls that can end in time and refuses the rest.
func TestStoppingEntryRefusesLongCalls(t *testing.T) {
	c := qt.New(t)
	g := &Gateway{work: worktime.New()}
	call := &call{route: &fleet.Route{Kind: fleet.KindSafe}, deadline: steady.Now().Add(time.Minute)}
	c.Assert(g.checkShutdown(call, typicalSlotWait) == nil, qt.IsTrue)
	g.BeginShutdown(10 * time.Second)
	c.Assert(g.checkShutdown(call, typicalSlotWait) == nil, qt.IsTrue)
	g.BeginShutdown(time.Second)
	refused := g.checkShutdown(call, typicalSlotWait)
	c.Assert(refused.Status, qt.Equals, 503)
	c.Assert(refused.RetryAfter > 0, qt.IsTrue)
}

// During a shutdown, an entry accepted long answers because the caller's hint said that they were short, and requests to
// slow plain services, as these usually take half a second at most. All were cut at the end of the grace time: streams
// without their end, the others with a 502, also requests that may not be repeated.
func TestStoppingEntryTakesOnlyWhatSurelyEnds(t *testing.T) {
	const grace = 10 * time.Second
	engine := &fleet.Engine{}
	long := func(hint int) RequestInfo {
		return RequestInfo{HasTokens: true, MaxOutputTokens: 2000, OutputHint: hint}
	}
	short := RequestInfo{HasTokens: true, MaxOutputTokens: 200}
	slow := []worktime.Work{{Start: 200 * time.Millisecond, Rest: 5 * time.Second, Tokens: 400}, {Start: 100 * time.Millisecond, Rest: time.Second, Tokens: 400}}
	for name, test := range map[string]struct {
		engine *fleet.Engine
		kind   fleet.RouteKind
		info   RequestInfo
		// known is what earlier requests of the route took.
		known []worktime.Work
		// since is the time since the start of the shutdown, deadline the time from now to the
		// call's deadline.
		since, deadline time.Duration
		taken           bool
	}{
		"largest output fits":              {engine, fleet.KindStreaming, short, nil, 5 * time.Second, time.Minute, true},
		"largest output doesn't fit":       {engine, fleet.KindStreaming, long(0), nil, 5 * time.Second, time.Minute, false},
		"short by a hint, early":           {engine, fleet.KindStreaming, long(50), nil, time.Second, time.Minute, false},
		"short by a hint, late":            {engine, fleet.KindStreaming, long(50), nil, 4 * time.Second, time.Minute, false},
		"long by a hint":                   {engine, fleet.KindStreaming, long(1800), nil, time.Second, time.Minute, false},
		"engines are slow lately":          {engine, fleet.KindStreaming, short, slow, 5 * time.Second, time.Minute, false},
		"engines are slow lately, early":   {engine, fleet.KindStreaming, short, slow, time.Second, time.Minute, true},
		"deadline before the end":          {engine, fleet.KindStreaming, long(0), slow, 8 * time.Second, time.Second, true},
		"deadline after the end":           {engine, fleet.KindStreaming, long(0), nil, 8 * time.Second, 3 * time.Second, false},
		"unknown output, early":            {engine, fleet.KindStreaming, RequestInfo{}, nil, time.Second, time.Minute, false},
		"unknown output, late":             {engine, fleet.KindStreaming, RequestInfo{}, nil, 5 * time.Second, time.Minute, false},
		"plain service":                    {nil, fleet.KindSafe, RequestInfo{}, nil, 5 * time.Second, time.Minute, true},
		"plain service, close to the end":  {nil, fleet.KindSafe, RequestInfo{}, nil, 9500 * time.Millisecond, time.Minute, false},
		"plain service, slow lately":       {nil, fleet.KindSafe, RequestInfo{}, []worktime.Work{{Start: 3 * time.Second}}, 5 * time.Second, time.Minute, false},
		"unsafe, deadline after the end":   {nil, fleet.KindUnsafe, RequestInfo{}, nil, 5 * time.Second, 6 * time.Second, false},
		"unsafe, deadline before the end":  {nil, fleet.KindUnsafe, RequestInfo{}, nil, 5 * time.Second, 4 * time.Second, true},
		"resumable stream, doesn't fit":    {engine, fleet.KindStreaming, long(50), nil, 2 * time.Second, time.Minute, false},
		"plain stream, deadline after end": {nil, fleet.KindStreaming, RequestInfo{}, nil, 5 * time.Second, 6 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			g := &Gateway{work: worktime.New()}
			for _, work := range test.known {
				g.work.Observe("route", work)
			}
			now := steady.Now()
			g.shutdown.Store(&shutdown{endsAt: now.Add(grace - test.since)})
			route := &fleet.Route{Name: "route", Kind: test.kind, Resumable: name == "resumable stream, doesn't fit"}
			call := &call{engine: test.engine, route: route, info: test.info, deadline: now.Add(test.deadline)}
			c.Assert(g.checkShutdown(call, typicalSlotWait) == nil, qt.Equals, test.taken)
		})
	}
}
