package poison

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"
)

// testEngines is the number of engines of a tracker.
const testEngines = 12

// clock is a settable clock.
type clock struct{ now time.Time }

func newClock() *clock { return &clock{now: time.Unix(1000, 0)} }

func (c *clock) tracker() *Tracker {
	return New(Options{Now: func() time.Time { return c.now }, Engines: func() int { return testEngines }, Logger: zerolog.Nop()})
}

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func isBlocked(t *Tracker, parts ...string) bool {
	_, _, blocked := t.Blocked(parts)
	return blocked
}

// Guards against engine after engine crashing under requests that have one part of their prompts in common. Sound
// requests with the other parts of those requests must still be served.
func TestDeadlyPartIsBlockedAndItsNeighboursAreNot(t *testing.T) {
	c, k := qt.New(t), newClock()
	tracker := k.tracker()
	for i := range crashesToBlock {
		c.Assert(isBlocked(tracker, "system", "deadly", "own"), qt.IsFalse)
		tracker.RecordAnswer([]string{"system", "thing", "own"}, 0)
		// A sound request whose answer had not begun is cut by the same crash.
		engine := fmt.Sprint("engine-", i)
		tracker.RecordCrash(engine, []string{"system", "thing", "own"})
		tracker.RecordCrash(engine, []string{"system", "deadly", fmt.Sprint("own-", i)})
		k.advance(time.Second)
		tracker.RecordAnswer([]string{"system", "thing", "own"}, 0)
	}
	part, left, blocked := tracker.Blocked([]string{"system", "deadly", "other"})
	c.Assert(blocked, qt.IsTrue)
	c.Assert(part, qt.Equals, "deadly")
	c.Assert(left > blockTTL-time.Minute && left <= blockTTL, qt.IsTrue)
	c.Assert(isBlocked(tracker, "system", "thing", "own"), qt.IsFalse)
	c.Assert(isBlocked(tracker, "deadly"), qt.IsFalse, qt.Commentf("the last part is specific to its request"))
	c.Assert(tracker.BlockedParts(), qt.Equals, 1)
}

// Guards against blocking the parts that sound requests share, when so many engines crash that nothing is answered any
// more.
func TestSharedPartStaysOpenWhileNothingIsAnswered(t *testing.T) {
	c, k := qt.New(t), newClock()
	tracker := k.tracker()
	tracker.RecordAnswer([]string{"system", "own"}, 0)
	k.advance(time.Second)
	for i := range 20 {
		tracker.RecordCrash(fmt.Sprint("engine-", i), []string{"system", "deadly", "own"})
		k.advance(200 * time.Millisecond)
		c.Assert(isBlocked(tracker, "system", "own"), qt.IsFalse)
	}
	c.Assert(isBlocked(tracker, "system", "deadly", "own"), qt.IsTrue)
}

// Guards against taking the parts of prompts for the cause when engines fail together, or when they are replaced.
func TestEnginesThatFailTogetherBlockNothing(t *testing.T) {
	c, k := qt.New(t), newClock()
	tracker := k.tracker()
	for wave := range 5 {
		for i := range testEngines {
			engine := fmt.Sprint("engine-", wave, "-", i)
			tracker.RecordCrash(engine, []string{"system", fmt.Sprint("other-", i), "own"})
			if i == wave {
				tracker.RecordCrash(engine, []string{"system", "rare", "own"})
			}
			k.advance(time.Millisecond)
		}
		k.advance(1500 * time.Millisecond)
		c.Assert(isBlocked(tracker, "system", "rare", "own"), qt.IsFalse)
	}
}

// A deadly part is told although other engines crash at the same moments.
func TestDeadlyPartIsToldAmongOtherCrashes(t *testing.T) {
	c, k := qt.New(t), newClock()
	tracker := k.tracker()
	for i := range 5 {
		tracker.RecordAnswer([]string{"system", "own"}, 0)
		tracker.RecordCrash(fmt.Sprint("engine-", i), []string{"system", "deadly", "own"})
		if i%2 == 0 {
			tracker.RecordCrash(fmt.Sprint("other-", i), []string{"system", fmt.Sprint("thing-", i), "own"})
		}
		k.advance(time.Second)
	}
	c.Assert(isBlocked(tracker, "system", "deadly", "own"), qt.IsTrue)
	c.Assert(tracker.BlockedParts(), qt.Equals, 1)
}

func TestSeveralDeadlyPartsAreTold(t *testing.T) {
	c, k := qt.New(t), newClock()
	tracker := k.tracker()
	for i := range 2 * crashesToBlock {
		tracker.RecordAnswer([]string{"system", "own"}, 0)
		tracker.RecordCrash(fmt.Sprint("engine-", i), []string{"system", fmt.Sprint("deadly-", i%2), "own"})
		k.advance(time.Second)
	}
	tracker.RecordAnswer([]string{"system", "own"}, 0)
	c.Assert(isBlocked(tracker, "system", "deadly-0", "own"), qt.IsTrue)
	c.Assert(isBlocked(tracker, "system", "deadly-1", "own"), qt.IsTrue)
	c.Assert(isBlocked(tracker, "system", "own"), qt.IsFalse)
}

// An entry that has seen one crash of several, or none, must block a part like the others.
func TestCrashesSeenByDifferentEntriesCountTogether(t *testing.T) {
	c, k := qt.New(t), newClock()
	var entries []*Tracker
	for range 5 {
		entries = append(entries, k.tracker())
	}
	for i, e := range entries[:crashesToBlock] {
		e.RecordCrash(fmt.Sprint("engine-", i), []string{"system", "deadly", "own"})
		e.RecordAnswer([]string{"system", "own"}, 0)
		k.advance(time.Second)
	}
	exchange := func() {
		for i, e := range entries[1:] {
			e.HandleReport("peer", encoded(c, entries[i].Report()), k.now)
		}
	}
	exchange()
	for _, e := range entries[crashesToBlock-1:] {
		c.Assert(isBlocked(e, "system", "deadly", "x"), qt.IsTrue)
		c.Assert(isBlocked(e, "system", "x"), qt.IsFalse)
	}
}

// encoded returns a report as a peer receives it.
func encoded(c *qt.C, report *Report) *Report {
	data, err := json.Marshal(report)
	c.Assert(err, qt.IsNil)
	var received *Report
	c.Assert(json.Unmarshal(data, &received), qt.IsNil)
	return received
}

// Guards against entries that renew a block for each other for ever, as each message makes the last crash look later.
func TestBlockEndsAlthoughEntriesTellEachOther(t *testing.T) {
	c, k := qt.New(t), newClock()
	a, b := k.tracker(), k.tracker()
	for i := range crashesToBlock {
		a.RecordCrash(fmt.Sprint("engine-", i), []string{"deadly", "own"})
		k.advance(time.Second)
	}
	c.Assert(isBlocked(a, "deadly", "own"), qt.IsTrue)
	for range int((blockTTL + time.Minute) / time.Second) {
		reportA, reportB := encoded(c, a.Report()), encoded(c, b.Report())
		k.advance(time.Second)
		a.HandleReport("b", reportB, k.now)
		b.HandleReport("a", reportA, k.now)
	}
	c.Assert(isBlocked(a, "deadly", "own"), qt.IsFalse)
	c.Assert(isBlocked(b, "deadly", "own"), qt.IsFalse)
}

// An answer that was under way when its part was blocked shows everywhere that the part is harmless; one that began
// before the crashes doesn't.
func TestAnswerAfterTheCrashesReleasesAPart(t *testing.T) {
	c, k := qt.New(t), newClock()
	a, b := k.tracker(), k.tracker()
	for i := range crashesToBlock {
		a.RecordCrash(fmt.Sprint("engine-", i), []string{"part", "own"})
		k.advance(time.Second)
	}
	b.HandleReport("a", encoded(c, a.Report()), k.now)
	b.RecordAnswer([]string{"part", "own"}, 10*time.Second)
	c.Assert(isBlocked(b, "part", "own"), qt.IsTrue)
	b.RecordAnswer([]string{"part", "own"}, 0)
	c.Assert(isBlocked(b, "part", "own"), qt.IsFalse)
	b.HandleReport("a", encoded(c, a.Report()), k.now)
	c.Assert(isBlocked(b, "part", "own"), qt.IsFalse)
}

// Guards against a peer that makes an entry keep too much.
func TestReportsAreBounded(t *testing.T) {
	c, k := qt.New(t), newClock()
	tracker := k.tracker()
	report := &Report{AnswerAges: map[string]int64{strings.Repeat("x", 1000): 1, "negative": -1}}
	for i := range 1000 {
		report.Crashes = append(report.Crashes, CrashReport{Incarnation: fmt.Sprint(i), AgeMS: int64(i), Suspects: [][]string{{strings.Repeat("x", 1000)}, {"p"}}})
		report.Blocked = append(report.Blocked, BlockReport{Part: fmt.Sprint("b", i)})
	}
	tracker.HandleReport("peer", report, k.now)
	c.Assert(len(tracker.crashes) <= maxCrashes, qt.IsTrue)
	c.Assert(tracker.BlockedParts(), qt.Equals, maxBlocked)
	c.Assert(tracker.answered.len(), qt.Equals, 0)
	for i := range 2 * maxAnswers {
		tracker.RecordAnswer([]string{fmt.Sprint(i), "own"}, 0)
	}
	c.Assert(tracker.answered.len() <= maxAnswers, qt.IsTrue)
}

// A part must never be blocked if a request with it was answered after its last crash, whatever else happens.
func TestAnsweredPartIsNotBlocked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := newClock()
		tracker := k.tracker()
		names := []string{"a", "b", "c", "d"}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			k.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			parts := append(rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 3, rapid.ID[string]).Draw(t, "parts"), "own")
			if rapid.Bool().Draw(t, "crash") {
				tracker.RecordCrash(fmt.Sprint("engine-", i), parts)
				continue
			}
			before := map[string]bool{}
			for _, part := range names {
				before[part] = isBlocked(tracker, part, "own")
			}
			tracker.RecordAnswer(parts, 0)
			for _, part := range parts[:len(parts)-1] {
				if !before[part] && isBlocked(tracker, part, "own") {
					t.Fatalf("part %s was answered and is blocked", part)
				}
			}
		}
	})
}

// Guards against requests with ever new parts that make the answers to other parts forgotten, which show that these are
// harmless.
func TestLastAnswersAreRemembered(t *testing.T) {
	c, k := qt.New(t), newClock()
	tracker := k.tracker()
	for i := range maxAnswers - 1 {
		tracker.RecordAnswer([]string{fmt.Sprint("early", i), "own"}, 0)
	}
	tracker.RecordAnswer([]string{"system", "own"}, 0)
	for i := range maxAnswers / 2 {
		tracker.RecordAnswer([]string{fmt.Sprint("late", i), "own"}, 0)
	}
	c.Assert(tracker.answered.last("system").IsZero(), qt.IsFalse)
}

// A part must be found wherever it stands among the tracked ones, as in a conversation of many turns.
func TestDeepPartIsTold(t *testing.T) {
	c, k := qt.New(t), newClock()
	tracker := k.tracker()
	const turns = 40
	prompt := func(deadly string, own int) []string {
		parts := make([]string, 0, turns+2)
		for i := range turns {
			parts = append(parts, fmt.Sprint("turn-", i))
		}
		return append(parts, deadly, fmt.Sprint("own-", own))
	}
	for i := range crashesToBlock {
		tracker.RecordAnswer(prompt("sound", i), 0)
		tracker.RecordCrash(fmt.Sprint("engine-", i), prompt("deadly", i))
		k.advance(time.Second)
		tracker.RecordAnswer(prompt("sound", i), 0)
	}
	c.Assert(isBlocked(tracker, prompt("deadly", 99)...), qt.IsTrue)
	c.Assert(isBlocked(tracker, prompt("sound", 99)...), qt.IsFalse)
}

// A part must be found by one batch of requests that crash engines at once, while the others still answer; not the parts
// that these answers have, and none while nothing is answered.
func TestPartOfABatchIsTold(t *testing.T) {
	c, k := qt.New(t), newClock()
	tracker := k.tracker()
	for i := range 5 {
		engine := fmt.Sprint("engine-", i)
		tracker.RecordCrash(engine, []string{"system", "deadly", fmt.Sprint("own-", i)})
		tracker.RecordCrash(engine, []string{"system", fmt.Sprint("thing-", i), "own"})
		k.advance(5 * time.Millisecond)
	}
	k.advance(settleTime)
	c.Assert(isBlocked(tracker, "system", "deadly", "own"), qt.IsFalse, qt.Commentf("nothing has been answered"))
	tracker.RecordAnswer([]string{"system", "other", "own"}, 0)
	c.Assert(isBlocked(tracker, "system", "deadly", "own"), qt.IsTrue)
	c.Assert(isBlocked(tracker, "system", "thing-1", "own"), qt.IsFalse)
	c.Assert(tracker.BlockedParts(), qt.Equals, 1)
}
