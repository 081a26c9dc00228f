package admission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/admission"
)

var moment = time.Unix(1_000_000, 0)

func slotRequest(rank uint32) admission.Request {
	return admission.Request{Rank: rank, Deadline: moment.Add(5 * time.Second), Objective: moment.Add(500 * time.Millisecond), PromptTokens: 100, OutputTokens: 10}
}

func granted(t *admission.SlotTicket) bool {
	select {
	case <-t.Decided():
		return t.Refusal() == nil
	default:
		return false
	}
}

func TestHigherTierGetsTheNextSlot(t *testing.T) {
	c := qt.New(t)
	q := admission.NewSlotQueue(admission.SlotOptions{Slots: 1})
	first := q.Submit(moment, slotRequest(0))
	low, high := q.Submit(moment, slotRequest(2)), q.Submit(moment, slotRequest(0))
	q.Finish(moment, first, admission.Outcome{Sent: true})
	c.Assert(granted(high), qt.IsTrue)
	c.Assert(granted(low), qt.IsFalse)
}

// Requests that took no slot here leave fewer slots to hand out, and those that did
// are not counted twice while the engine's report lags.
func TestReportOfOtherRequestsTakesSlots(t *testing.T) {
	c := qt.New(t)
	q := admission.NewSlotQueue(admission.SlotOptions{Slots: 2})
	held := q.Submit(moment, slotRequest(0))
	q.Report(moment, 1)
	c.Assert(granted(q.Submit(moment, slotRequest(0))), qt.IsTrue)
	q.Finish(moment, held, admission.Outcome{Sent: true})
	q.Report(moment.Add(10*time.Millisecond), 2)
	c.Assert(granted(q.Submit(moment.Add(20*time.Millisecond), slotRequest(0))), qt.IsTrue)

	fresh := admission.NewSlotQueue(admission.SlotOptions{Slots: 2})
	fresh.Report(moment, 2)
	waiting := fresh.Submit(moment, slotRequest(0))
	c.Assert(granted(waiting), qt.IsFalse)
	fresh.Report(moment.Add(100*time.Millisecond), 0)
	c.Assert(granted(waiting), qt.IsTrue)
}

func TestMemoryBoundsWhatRunsTogether(t *testing.T) {
	c := qt.New(t)
	q := admission.NewSlotQueue(admission.SlotOptions{Slots: 4, MemoryTokens: 200})
	first := q.Submit(moment, slotRequest(0))
	second := q.Submit(moment, slotRequest(0))
	c.Assert(granted(first), qt.IsTrue)
	c.Assert(granted(second), qt.IsFalse)
	q.Finish(moment, first, admission.Outcome{Sent: true})
	c.Assert(granted(second), qt.IsTrue)
}

// A request that waited past its objective, and may not wait longer, is refused with
// a time to come back.
func TestLateRequestIsRefused(t *testing.T) {
	c := qt.New(t)
	q := admission.NewSlotQueue(admission.SlotOptions{Slots: 1})
	q.Submit(moment, slotRequest(0))
	late := q.Submit(moment, slotRequest(0))
	q.Tick(moment.Add(time.Second))
	<-late.Decided()
	c.Assert(late.Refusal().Reason, qt.Equals, admission.ReasonDeadline)
	c.Assert(late.Refusal().RetryAfter > 0, qt.IsTrue)
}

// The time to come back grows with the overload, up to a bound, and differs between
// callers, so that they don't return together.
func TestRetryAfterGrowsWithTheOverload(t *testing.T) {
	c := qt.New(t)
	q := admission.NewSlotQueue(admission.SlotOptions{Slots: 1})
	q.RefuseAll(moment, admission.ReasonUnhealthy, true)
	at := func(d time.Duration) time.Duration {
		return q.Submit(moment.Add(d), slotRequest(0)).Refusal().RetryAfter
	}
	start := at(0)
	seen := map[time.Duration]bool{}
	for i := range 20 {
		seen[at(time.Duration(i+1)*100*time.Millisecond)] = true
	}
	c.Assert(at(2100*time.Millisecond) > 2*start, qt.IsTrue)
	c.Assert(len(seen) > 10, qt.IsTrue)
	c.Assert(at(2900*time.Millisecond) < 4*time.Second, qt.IsTrue)
}

// TestFailingEngineIsTriedByOne plays an engine that says it is well and answers
// nothing: it gets one request at a time until one is answered.
func TestFailingEngineIsTriedByOne(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	q := admission.NewSlotQueue(admission.SlotOptions{Slots: 3})
	submit := func() *admission.SlotTicket {
		return q.Submit(now, admission.Request{Deadline: now.Add(time.Minute)})
	}
	granted := func(tickets ...*admission.SlotTicket) int {
		n := 0
		for _, ticket := range tickets {
			select {
			case <-ticket.Decided():
				n++
			default:
			}
		}
		return n
	}
	first := []*admission.SlotTicket{submit(), submit(), submit()}
	c.Assert(granted(first...), qt.Equals, 3)
	waiting := []*admission.SlotTicket{submit(), submit(), submit(), submit()}
	for _, ticket := range first {
		now = now.Add(time.Second)
		q.Finish(now, ticket, admission.Outcome{Sent: true, Failed: true})
	}
	// Two slots were freed and taken before the third failure.
	c.Assert(granted(waiting...), qt.Equals, 2)
	c.Assert(q.Load().Slots, qt.Equals, 1)
	for i, ticket := range waiting[:2] {
		now = now.Add(time.Second)
		q.Finish(now, ticket, admission.Outcome{Sent: true, Failed: true})
		c.Assert(granted(waiting...), qt.Equals, 2+i)
	}
	q.Finish(now, waiting[2], admission.Outcome{Sent: true, FirstToken: time.Millisecond})
	c.Assert(q.Load().Slots, qt.Equals, 3)
	c.Assert(granted(waiting...), qt.Equals, 4)
}

// TestEngineThatFailsSomeKeepsItsSlots plays an engine that fails every other request.
func TestEngineThatFailsSomeKeepsItsSlots(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	q := admission.NewSlotQueue(admission.SlotOptions{Slots: 3})
	for i := range 40 {
		now = now.Add(time.Second)
		ticket := q.Submit(now, admission.Request{Deadline: now.Add(time.Minute)})
		q.Finish(now, ticket, admission.Outcome{Sent: true, Failed: i%2 == 0, FirstToken: time.Millisecond})
		c.Assert(q.Load().Slots, qt.Equals, 3)
	}
}

// TestLowTierWaitsBrieflyInALastingOverload plays a full engine: a request of the lowest
// tier waits for its objective at first, and a quarter of that once requests have been
// refused for a second. Higher tiers wait on.
func TestLowTierWaitsBrieflyInALastingOverload(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	q := admission.NewSlotQueue(admission.SlotOptions{Slots: 1})
	submit := func(rank uint32, lateHold time.Duration) *admission.SlotTicket {
		return q.Submit(now, admission.Request{Rank: rank, Deadline: now.Add(time.Minute), Objective: now.Add(400 * time.Millisecond), LateHold: lateHold})
	}
	// waits plays until a ticket is decided.
	waits := func(ticket *admission.SlotTicket) time.Duration {
		for from := now; ; now = now.Add(10 * time.Millisecond) {
			q.Tick(now)
			select {
			case <-ticket.Decided():
				return now.Sub(from)
			default:
			}
		}
	}
	submit(0, 0)
	c.Assert(waits(submit(2, 0)), qt.Equals, 400*time.Millisecond)
	for range 4 {
		waits(submit(2, 0))
	}
	c.Assert(waits(submit(2, 0)) <= 110*time.Millisecond, qt.IsTrue)
	c.Assert(waits(submit(1, 400*time.Millisecond)) >= 700*time.Millisecond, qt.IsTrue)
}
