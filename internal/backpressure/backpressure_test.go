package backpressure_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/backpressure"
	"github.com/lagoonlane/lagoonlane/internal/fleet"
)

var engine = fleet.Incarnation{ID: "engine", StartedMS: 1000}

type testClock struct{ now time.Time }

func (c *testClock) tracker(id string) *backpressure.Tracker {
	return backpressure.New(backpressure.Options{ID: id, Now: func() time.Time { return c.now }, Logger: zerolog.Nop()})
}

func rate(t *backpressure.Tracker) float64 {
	limit, _ := t.RateLimit(engine)
	return limit.PerSecond
}

// The latest statement of a backend server must win, however late and over whom it arrives.
func TestLatestStatementWins(t *testing.T) {
	c := qt.New(t)
	clock := &testClock{now: time.Now()}
	a, b, relay := clock.tracker("a"), clock.tracker("b"), clock.tracker("relay")
	a.Record(engine, backpressure.Notice{RateLimit: 2, HasRateLimit: true})
	relay.HandleReport(a.Report(), clock.now)
	old := relay.Report()
	clock.now = clock.now.Add(time.Second)
	b.Record(engine, backpressure.Notice{RateLimit: 3, HasRateLimit: true})
	b.HandleReport(old, clock.now.Add(-time.Second))
	c.Check(rate(b), qt.Equals, 3.0)
	b.Record(engine, backpressure.Notice{})
	relay.HandleReport(b.Report(), clock.now)
	a.HandleReport(relay.Report(), clock.now)
	c.Check(rate(a), qt.Equals, 0.0)
	limit, known := a.RateLimit(engine)
	c.Check(known, qt.IsTrue)
	c.Check(limit.By, qt.Equals, "b")
	_, known = a.RateLimit(fleet.Incarnation{ID: "engine", StartedMS: 2000})
	c.Check(known, qt.IsFalse)
}

// A limit of 0 or next to it is no ban, and an answer that doesn't tell changes nothing.
func TestLowestRateLimit(t *testing.T) {
	c := qt.New(t)
	clock := &testClock{now: time.Now()}
	tracker := clock.tracker("a")
	for _, named := range []float64{0, 1e-300} {
		tracker.Record(engine, backpressure.Notice{RateLimit: named, HasRateLimit: true})
		c.Check(rate(tracker), qt.Equals, backpressure.MinRate)
		tracker.Record(engine, backpressure.Notice{RateLimitUnknown: true})
		c.Check(rate(tracker), qt.Equals, backpressure.MinRate)
	}
	tracker.Record(engine, backpressure.Notice{})
	c.Check(rate(tracker), qt.Equals, 0.0)
}

// Invalid and excessive reports of peers must be ignored, and the state of servers that are gone forgotten.
func TestReportsAreBounded(t *testing.T) {
	c := qt.New(t)
	clock := &testClock{now: time.Now()}
	tracker := clock.tracker("a")
	invalid := []*backpressure.LimitReport{nil, {PerSecond: -1}, {PerSecond: 1, AgeMS: -1}, {PerSecond: 1e-9}}
	for _, report := range invalid {
		tracker.HandleReport([]backpressure.ServerReport{{Server: engine, Limit: report}}, clock.now)
		_, known := tracker.RateLimit(engine)
		c.Check(known, qt.IsFalse)
	}
	for i := range 3000 {
		tracker.HandleReport([]backpressure.ServerReport{{Server: fleet.Incarnation{ID: "x", StartedMS: int64(i)}, Limit: &backpressure.LimitReport{PerSecond: 1}}}, clock.now)
	}
	c.Check(len(tracker.Limited()), qt.Equals, 1024)
	c.Check(len(tracker.Report()) <= 64, qt.IsTrue)
	clock.now = clock.now.Add(2 * time.Minute)
	tracker.Prune(func(fleet.Incarnation) bool { return false })
	c.Check(tracker.Limited(), qt.HasLen, 0)
}

// The announced end of a backend server must bind all processes, and only for that incarnation.
func TestLeavingServerIsBlockedEverywhere(t *testing.T) {
	c := qt.New(t)
	clock := &testClock{now: time.Now()}
	a, relay, b := clock.tracker("a"), clock.tracker("relay"), clock.tracker("b")
	a.Record(engine, backpressure.Notice{Leaving: true})
	a.Record(engine, backpressure.Notice{})
	relay.HandleReport(a.Report(), clock.now)
	b.HandleReport(relay.Report(), clock.now)
	for _, tracker := range []*backpressure.Tracker{a, relay, b} {
		block, blocked := tracker.Blocked(engine)
		c.Check(blocked, qt.IsTrue)
		c.Check(block.By, qt.Equals, "a")
		_, blocked = tracker.Blocked(fleet.Incarnation{ID: "engine", StartedMS: 2000})
		c.Check(blocked, qt.IsFalse)
	}
}

// A pause binds only the process that was told, for its whole length.
func TestPauseBindsTheProcessThatWasTold(t *testing.T) {
	c := qt.New(t)
	clock := &testClock{now: time.Now()}
	a, b := clock.tracker("a"), clock.tracker("b")
	a.Record(engine, backpressure.Notice{Pause: 2500 * time.Millisecond, RateLimitUnknown: true})
	a.Record(engine, backpressure.Notice{Pause: time.Second, RateLimitUnknown: true})
	b.HandleReport(a.Report(), clock.now)
	_, blocked := b.Blocked(engine)
	c.Check(blocked, qt.IsFalse)
	clock.now = clock.now.Add(2400 * time.Millisecond)
	block, blocked := a.Blocked(engine)
	c.Check(blocked, qt.IsTrue)
	c.Check(block.Left, qt.Equals, 100*time.Millisecond)
	clock.now = clock.now.Add(100 * time.Millisecond)
	_, blocked = a.Blocked(engine)
	c.Check(blocked, qt.IsFalse)
}
