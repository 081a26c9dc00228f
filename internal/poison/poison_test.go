package poison

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
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

// prompt returns a prompt with the given part ids.
func prompt(ids ...string) Prompt { return NewPrompt(ids) }

func isBlocked(t *Tracker, ids ...string) bool {
	_, _, blocked := t.Blocked(prompt(ids...))
	return blocked
}

// Guards against engine after engine crashing under requests that have one part of their prompts in common. Sound
// requests with the other parts of those requests must still be served.
func TestDeadlyPartIsBlockedAndItsNeighboursAreNot(t *testing.T) {
	c, k := qt.New(t), newClock()
	tracker := k.tracker()
	for i := range crashesToBlock {
		c.Assert(isBlocked(tracker, "system", "deadly", "own"), qt.IsFalse)
		tracker.RecordAnswer(prompt("system", "thing", "own"), 0)
		// A sound request whose answer had not begun is cut by the same crash.
		engine := fmt.Sprint("engine-", i)
		tracker.RecordCrash(engine, prompt("system", "thing", "own"))
		tracker.RecordCrash(engine, prompt("system", "deadly", fmt.Sprint("own-", i)))
		k.advance(time.Second)
		tracker.RecordAnswer(prompt("system", "thing", "own"), 0)
	}
	position, left, blocked := tracker.Blocked(prompt("system", "deadly", "other"))
	c.Assert(blocked, qt.IsTrue)
	c.Assert(position, qt.Equals, 1)
	c.Assert(left > blockTTL-time.Minute && left <= blockTTL, qt.IsTrue)
	c.Assert(isBlocked(tracker, "system", "thing", "own"), qt.IsFalse)
	c.Assert(isBlocked(tracker, "deadly"), qt.IsFalse, qt.Commentf("the last part is specific to its request"))
	c.Assert(tracker.Blocks(), qt.Equals, 1)
}

// Guards against blocking the parts that sound requests share, when so many engines crash that nothing is answered any
// more.
func TestSharedPartStaysOpenWhileNothingIsAnswered(t *testing.T) {
	c, k := qt.New(t), newClock()
	tracker := k.tracker()
	tracker.RecordAnswer(prompt("system", "own"), 0)
	k.advance(time.Second)
	for i := range 20 {
		tracker.RecordCrash(fmt.Sprint("engine-", i), prompt("system", "deadly", "own"))
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
			tracker.RecordCrash(engine, prompt("system", fmt.Sprint("other-", i), "own"))
			if i == wave {
				tracker.RecordCrash(engine, prompt("system", "rare", "own"))
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
		tracker.RecordAnswer(prompt("system", "own"), 0)
		tracker.RecordCrash(fmt.Sprint("engine-", i), prompt("system", "deadly", "own"))
		if i%2 == 0 {
			tracker.RecordCrash(fmt.Sprint("other-", i), prompt("system", fmt.Sprint("thing-", i), "own"))
		}
		k.advance(time.Second)
	}
	c.Assert(isBlocked(tracker, "system", "deadly", "own"), qt.IsTrue)
	c.Assert(tracker.Blocks(), qt.Equals, 1)
}

func TestSeveralDeadlyPartsAreTold(t *testing.T) {
	c, k := qt.New(t), newClock()
	tracker := k.tracker()
	for i := range 2 * crashesToBlock {
		tracker.RecordAnswer(prompt("system", "own"), 0)
		tracker.RecordCrash(fmt.Sprint("engine-", i), prompt("system", fmt.Sprint("deadly-", i%2), "own"))
		k.advance(time.Second)
	}
	tracker.RecordAnswer(prompt("system", "own"), 0)
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
		e.RecordCrash(fmt.Sprint("engine-", i), prompt("system", "deadly", "own"))
		e.RecordAnswer(prompt("system", "own"), 0)
		k.advance(time.Second)
	}
	exchange := func() {
		for i, e := range entries[1:] {
			e.HandleReport(fmt.Sprint(i), encoded(c, entries[i].Report(fmt.Sprint(i+1))), k.now)
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
	a.RecordAnswer(prompt("sound", "own"), 0)
	for i := range crashesToBlock {
		a.RecordCrash(fmt.Sprint("engine-", i), prompt("deadly", "own"))
		k.advance(time.Second)
	}
	c.Assert(isBlocked(a, "deadly", "own"), qt.IsTrue)
	for range int((blockTTL + time.Minute) / time.Second) {
		reportA, reportB := encoded(c, a.Report("b")), encoded(c, b.Report("a"))
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
	a.RecordAnswer(prompt("sound", "own"), 0)
	for i := range crashesToBlock {
		a.RecordCrash(fmt.Sprint("engine-", i), prompt("part", "own"))
		k.advance(time.Second)
	}
	b.HandleReport("a", encoded(c, a.Report("b")), k.now)
	b.RecordAnswer(prompt("part", "own"), 10*time.Second)
	c.Assert(isBlocked(b, "part", "own"), qt.IsTrue)
	b.RecordAnswer(prompt("part", "own"), 0)
	c.Assert(isBlocked(b, "part", "own"), qt.IsFalse)
	b.HandleReport("a", encoded(c, a.Report("b")), k.now)
	c.Assert(isBlocked(b, "part", "own"), qt.IsFalse)
}

// Guards against a peer that makes an entry keep too much.
func TestReportsAreBounded(t *testing.T) {
	c, k := qt.New(t), newClock()
	tracker := k.tracker()
	report := &Report{Answers: []AnswerReport{{Part: 1}, {Part: 2, AgeMS: -1}}, Have: make([]byte, 5)}
	for i := range 1000 {
		incarnation, parts := fmt.Sprint(i), packParts([]part{part(i), 7})
		report.Suspects = append(report.Suspects,
			SuspectReport{ID: uint64(i), Incarnation: incarnation, AgeMS: int64(i), Parts: parts},
			SuspectReport{ID: uint64(i), Incarnation: incarnation, AgeMS: -1, Parts: parts},
			SuspectReport{ID: uint64(2 * i), Incarnation: strings.Repeat(incarnation, 100), Parts: parts})
		report.Blocked = append(report.Blocked, BlockReport{ID: uint64(i), Parts: parts}, BlockReport{ID: uint64(i), Parts: make([]byte, 1<<20)})
	}
	for range 3 {
		tracker.HandleReport("peer", report, k.now)
	}
	c.Assert(len(tracker.crashes) <= maxCrashes, qt.IsTrue)
	c.Assert(tracker.evidence <= maxEvidence, qt.IsTrue)
	c.Assert(tracker.Blocks() <= maxBlocked, qt.IsTrue)
	c.Assert(tracker.answered.len() <= 1, qt.IsTrue)
	large := make([]string, maxPromptParts+2)
	for i := range 100 {
		for n := range large {
			large[n] = fmt.Sprint(i, "-", n)
		}
		tracker.RecordCrash(fmt.Sprint("engine-", i), prompt(large...))
	}
	c.Assert(tracker.evidence <= maxEvidence, qt.IsTrue)
	c.Assert(len(tracker.suspects) <= maxEvidence, qt.IsTrue)
	message, err := json.Marshal(tracker.Report("other"))
	c.Assert(err, qt.IsNil)
	c.Assert(len(message) < 16*maxPromptParts, qt.IsTrue, qt.Commentf("%d bytes", len(message)))
	for i := range 2 * maxAnswers {
		tracker.RecordAnswer(prompt(fmt.Sprint(i), "own"), 0)
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
				tracker.RecordCrash(fmt.Sprint("engine-", i), prompt(parts...))
				continue
			}
			before := map[string]bool{}
			for _, part := range names {
				before[part] = isBlocked(tracker, part, "own")
			}
			tracker.RecordAnswer(prompt(parts...), 0)
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
		tracker.RecordAnswer(prompt(fmt.Sprint("early", i), "own"), 0)
	}
	tracker.RecordAnswer(prompt("system", "own"), 0)
	for i := range maxAnswers / 2 {
		tracker.RecordAnswer(prompt(fmt.Sprint("late", i), "own"), 0)
	}
	c.Assert(tracker.answered.last(prompt("system", "own").parts[0]).IsZero(), qt.IsFalse)
}

// conversation returns a prompt of many turns, of which the one at a position may be another.
func conversation(turns, position int, other, own string) Prompt {
	ids := make([]string, 0, turns+1)
	for i := range turns {
		ids = append(ids, fmt.Sprintf("%x", i))
	}
	if other != "" {
		ids[position] = other
	}
	return prompt(append(ids, own)...)
}

// Guards against a deadly part that isn't found because it stands too deep in its prompt, as in a conversation of many
// turns: 4,000 parts fill the largest head.
func TestDeepPartIsTold(t *testing.T) {
	const turns = 4000
	for _, position := range []int{0, 40, 64, 300, turns / 2, turns - 1} {
		c, k := qt.New(t), newClock()
		tracker := k.tracker()
		for i := range crashesToBlock {
			own := fmt.Sprint("own-", i)
			tracker.RecordAnswer(conversation(turns, position, "", own), 0)
			tracker.RecordCrash(fmt.Sprint("engine-", i), conversation(turns, position, "deadly", own))
			k.advance(time.Second)
			tracker.RecordAnswer(conversation(turns, position, "", own), 0)
		}
		at, _, blocked := tracker.Blocked(conversation(turns, position, "deadly", "another"))
		c.Assert(blocked, qt.IsTrue, qt.Commentf("position %d", position))
		c.Assert(at, qt.Equals, position)
		_, _, blocked = tracker.Blocked(conversation(turns, position, "", "another"))
		c.Assert(blocked, qt.IsFalse)
	}
}

// A part is tracked whatever the length of its id.
func TestPartWithALongIDIsTold(t *testing.T) {
	c, k := qt.New(t), newClock()
	tracker := k.tracker()
	deadly := strings.Repeat("badc0de5", 20)
	for i := range crashesToBlock {
		tracker.RecordAnswer(prompt("system", "own"), 0)
		tracker.RecordCrash(fmt.Sprint("engine-", i), prompt("system", deadly, "own"))
		k.advance(time.Second)
	}
	c.Assert(isBlocked(tracker, "system", deadly, "own"), qt.IsTrue)
	c.Assert(isBlocked(tracker, "system", "own"), qt.IsFalse)
}

// A part must be found by one batch of requests that crash engines at once, while the others still answer; not the parts
// that these answers have, and none while nothing is answered.
func TestPartOfABatchIsTold(t *testing.T) {
	c, k := qt.New(t), newClock()
	tracker := k.tracker()
	for i := range 5 {
		engine := fmt.Sprint("engine-", i)
		tracker.RecordCrash(engine, prompt("system", "deadly", fmt.Sprint("own-", i)))
		tracker.RecordCrash(engine, prompt("system", fmt.Sprint("thing-", i), "own"))
		k.advance(5 * time.Millisecond)
	}
	k.advance(settleTime)
	c.Assert(isBlocked(tracker, "system", "deadly", "own"), qt.IsFalse, qt.Commentf("nothing has been answered"))
	tracker.RecordAnswer(prompt("system", "other", "own"), 0)
	c.Assert(isBlocked(tracker, "system", "deadly", "own"), qt.IsTrue)
	c.Assert(isBlocked(tracker, "system", "thing-1", "own"), qt.IsFalse)
	c.Assert(tracker.Blocks(), qt.Equals, 1)
}

// Guards against batches whose part isn't found because they crash few of many engines or all of them, or because
// another deadly part or another crash comes with them. After the second batch requests with the part must be kept from
// the engines, and sound requests with the parts beside it must not.
func TestPartOfBatchesOfAnySizeIsTold(t *testing.T) {
	for _, test := range []struct {
		name             string
		engines, size    int
		others, unrelate int
		allLost          bool
	}{
		{name: "three of many", engines: 180, size: 3},
		{name: "eight of many", engines: 180, size: 8},
		{name: "fifty of many", engines: 180, size: 50},
		{name: "all, and nothing is answered until they are back", engines: 9, size: 9, allLost: true},
		{name: "all of many", engines: 180, size: 180, allLost: true},
		{name: "beside another deadly part", engines: 20, size: 4, others: 4},
		{name: "beside another deadly part with fewer requests", engines: 20, size: 6, others: 3},
		{name: "beside a crash for another reason", engines: 20, size: 5, unrelate: 1},
		{name: "beside another part and another crash", engines: 40, size: 6, others: 3, unrelate: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, k := qt.New(t), newClock()
			tracker := New(Options{Now: func() time.Time { return k.now }, Engines: func() int { return test.engines }, Logger: zerolog.Nop()})
			for i := range 2 * answersBeforeBatch {
				tracker.RecordAnswer(prompt("system", fmt.Sprint("thing-", i%20), "own"), 0)
				k.advance(20 * time.Millisecond)
			}
			for batch := range 2 {
				for i := range test.size + test.others + test.unrelate {
					engine := fmt.Sprint("engine-", batch, "-", i)
					switch {
					case i < test.size:
						tracker.RecordCrash(engine, prompt("system", "deadly", fmt.Sprint("thing-", i%20), "own"))
					case i < test.size+test.others:
						tracker.RecordCrash(engine, prompt("system", "second", fmt.Sprint("thing-", i%20), "own"))
					}
					tracker.RecordCrash(engine, prompt("system", fmt.Sprint("thing-", (i+batch)%20), "own"))
				}
				k.advance(settleTime)
				if test.allLost {
					c.Check(isBlocked(tracker, "system", "deadly", "own"), qt.IsTrue, qt.Commentf("batch %d", batch))
				}
				for i := range 20 {
					if !test.allLost {
						tracker.RecordAnswer(prompt("system", fmt.Sprint("thing-", i), "own"), 0)
					}
					c.Check(isBlocked(tracker, "system", fmt.Sprint("thing-", i), "own"), qt.IsFalse)
				}
				k.advance(2 * time.Second)
			}
			c.Check(isBlocked(tracker, "system", "deadly", "own"), qt.IsTrue)
			c.Check(isBlocked(tracker, "system", "second", "own"), qt.Equals, test.others > 0)
		})
	}
}

// Guards against three entries that see a crash each and find nothing, although the part stands in prompts of the largest
// size.
func TestDeepPartSeenByThreeEntriesIsTold(t *testing.T) {
	c, k := qt.New(t), newClock()
	const turns, position = 4000, 1900
	entries := map[string]*Tracker{"a": k.tracker(), "b": k.tracker(), "c": k.tracker(), "d": k.tracker()}
	exchange := func() {
		for from, sender := range entries {
			for to, receiver := range entries {
				if from != to {
					receiver.HandleReport(from, encoded(c, sender.Report(to)), k.now)
				}
			}
		}
	}
	for i, name := range []string{"a", "b", "c"} {
		engine := fmt.Sprint("engine-", i)
		for n := range 4 {
			entries[name].RecordAnswer(conversation(turns, position, "", fmt.Sprint("own-", n)), 0)
			entries[name].RecordCrash(engine, conversation(turns, position, "", fmt.Sprint("own-", n)))
		}
		entries[name].RecordCrash(engine, conversation(turns, position, "deadly", "own"))
		k.advance(50 * time.Millisecond)
		exchange()
		k.advance(time.Second)
	}
	for range 5 {
		exchange()
		k.advance(150 * time.Millisecond)
	}
	for name, e := range entries {
		_, _, blocked := e.Blocked(conversation(turns, position, "deadly", "another"))
		c.Check(blocked, qt.IsTrue, qt.Commentf("entry %s", name))
		entries["a"].RecordAnswer(conversation(turns, position, "", "own"), 0)
		exchange()
		_, _, blocked = e.Blocked(conversation(turns, position, "", "another"))
		c.Check(blocked, qt.IsFalse, qt.Commentf("entry %s", name))
	}
}

// Guards against an entry that starts again and sends requests with a part that the others have blocked, because they take
// it for one that knows.
func TestEntryThatStartsAgainIsTold(t *testing.T) {
	c, k := qt.New(t), newClock()
	a, b := k.tracker(), k.tracker()
	exchange := func() {
		request := encoded(c, b.Report("a"))
		a.HandleReport("b", request, k.now)
		reply := encoded(c, a.Report("b"))
		k.advance(100 * time.Millisecond)
		b.HandleReport("a", reply, k.now)
	}
	for i := range crashesToBlock {
		a.RecordAnswer(prompt("system", "own"), 0)
		a.RecordCrash(fmt.Sprint("engine-", i), prompt("system", "deadly", "own"))
		k.advance(time.Second)
		exchange()
	}
	exchange()
	c.Assert(isBlocked(b, "system", "deadly", "x"), qt.IsTrue)
	for range 3 {
		b = k.tracker()
		exchange()
		c.Assert(isBlocked(b, "system", "deadly", "x"), qt.IsTrue)
	}
}

// A part that is only seen beside the deadly one can't be told from it: requests with both are blocked, and those with the
// other part alone run. A crash without it shows which part it is.
func TestPartsSeenTogetherAreBlockedTogether(t *testing.T) {
	c, k := qt.New(t), newClock()
	tracker := k.tracker()
	for i := range crashesToBlock {
		tracker.RecordAnswer(prompt("system", "own"), 0)
		tracker.RecordCrash(fmt.Sprint("engine-", i), prompt("system", "deadly", "companion", "own"))
		k.advance(time.Second)
		tracker.RecordAnswer(prompt("system", "own"), 0)
	}
	c.Assert(isBlocked(tracker, "system", "deadly", "companion", "own"), qt.IsTrue)
	c.Assert(isBlocked(tracker, "system", "companion", "own"), qt.IsFalse)
	tracker.RecordCrash("engine-x", prompt("system", "deadly", "own"))
	k.advance(time.Second)
	tracker.RecordAnswer(prompt("system", "companion", "own"), 0)
	c.Assert(isBlocked(tracker, "system", "deadly", "other", "own"), qt.IsTrue)
	c.Assert(isBlocked(tracker, "system", "companion", "own"), qt.IsFalse)
}

// Guards against blocking what all requests share when engines crash again and again for another reason, such as a bad
// version, and against blocking popular parts when a data centre is lost.
func TestOtherCausesBlockNothing(t *testing.T) {
	t.Run("nothing is answered", func(t *testing.T) {
		c, k := qt.New(t), newClock()
		tracker := k.tracker()
		for i := range 20 {
			tracker.RecordCrash(fmt.Sprint("engine-", i), prompt("system", fmt.Sprint("thing-", i%3), "own"))
			k.advance(700 * time.Millisecond)
			c.Assert(tracker.Blocks(), qt.Equals, 0)
		}
	})
	for _, lost := range []int{3, 6, 60} {
		t.Run(fmt.Sprint("data centre with engines: ", lost), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(lost), 1))
			// Parts have unequal shares of the requests.
			thing := func() string { return fmt.Sprint("thing-", int(math.Exp(6*random.Float64()))) }
			blocked := 0
			for range 30 {
				c, k := qt.New(t), newClock()
				tracker := New(Options{Now: func() time.Time { return k.now }, Engines: func() int { return 3 * lost }, Logger: zerolog.Nop()})
				answer := func(n int) {
					for range n {
						tracker.RecordAnswer(prompt("system", thing(), "own"), 0)
						k.advance(20 * time.Millisecond)
					}
				}
				answer(500)
				for wave := range 3 {
					for i := range lost {
						for range 3 {
							tracker.RecordCrash(fmt.Sprint("engine-", wave, "-", i), prompt("system", thing(), "own"))
						}
					}
					answer(100)
					c.Assert(isBlocked(tracker, "system", "own"), qt.IsFalse)
				}
				blocked += tracker.Blocks()
			}
			qt.Assert(t, blocked, qt.Equals, 0)
		})
	}
}

// Measures what a prompt of the largest head costs beside evidence of such prompts.
func BenchmarkLargestPrompt(b *testing.B) {
	k := newClock()
	tracker := k.tracker()
	for i := range 8 {
		tracker.RecordCrash(fmt.Sprint("engine-", i), conversation(4000, 2000, fmt.Sprint("other-", i), "own"))
	}
	ids := make([]string, 4001)
	for i := range ids {
		ids[i] = fmt.Sprintf("%x", i)
	}
	for b.Loop() {
		k.advance(time.Millisecond)
		p := NewPrompt(ids)
		tracker.Blocked(p)
		tracker.RecordAnswer(p, 0)
	}
}

// Measures one evaluation of as much evidence as is kept.
func BenchmarkEvaluation(b *testing.B) {
	k := newClock()
	tracker := k.tracker()
	for i := range 40 {
		ids := make([]string, 4001)
		for n := range ids {
			ids[n] = fmt.Sprintf("%x-%x", n%2*i, n)
		}
		tracker.RecordCrash(fmt.Sprint("engine-", i), prompt(ids...))
	}
	b.ReportMetric(float64(tracker.evidence), "parts")
	for b.Loop() {
		k.advance(time.Second)
		k.now = k.now.Add(-time.Second + time.Microsecond)
		tracker.evaluatedAt, tracker.changed = time.Time{}, true
		tracker.update(k.now)
	}
}
