package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func submit(q *Queue, now time.Time, request Request) *Ticket {
	if request.Deadline.IsZero() {
		request.Deadline = now.Add(time.Hour)
	}
	t := q.NewTicket(now, request)
	q.Submit(now, t)
	return t
}

func decided(t *Ticket) bool {
	select {
	case <-t.Decided():
		return true
	default:
		return false
	}
}

func granted(t *Ticket) bool { return decided(t) && t.Refusal() == nil }

func refusedFor(t *Ticket, reason Reason) bool {
	return decided(t) && t.Refusal() != nil && t.Refusal().Reason == reason
}

func finish(q *Queue, now time.Time, t *Ticket) {
	q.Start(now, t)
	q.Finish(now, t, true, 0)
}

func TestHigherTierGoesFirst(t *testing.T) {
	q := NewQueue(Options{MaxConcurrency: 1})
	running := submit(q, epoch, Request{Rank: 3})
	low := submit(q, epoch, Request{Rank: 2})
	high := submit(q, epoch, Request{Rank: 1})
	finish(q, epoch, running)
	qt.Assert(t, granted(high), qt.IsTrue)
	qt.Assert(t, decided(low), qt.IsFalse)
}

func TestEarlierDeadlineOfAnAccountGoesFirst(t *testing.T) {
	q := NewQueue(Options{MaxConcurrency: 1})
	running := submit(q, epoch, Request{})
	late := submit(q, epoch, Request{Account: "a", Deadline: epoch.Add(time.Minute)})
	soon := submit(q, epoch, Request{Account: "a", Deadline: epoch.Add(time.Second)})
	finish(q, epoch, running)
	qt.Assert(t, granted(soon), qt.IsTrue)
	qt.Assert(t, decided(late), qt.IsFalse)
}

func TestAccountsShareByWeight(t *testing.T) {
	q := NewQueue(Options{MaxConcurrency: 1, MaxQueued: 1000})
	running := submit(q, epoch, Request{})
	var tickets []*Ticket
	for range 100 {
		tickets = append(tickets, submit(q, epoch, Request{Account: "large", Weight: 1, OutputTokens: 100}))
		tickets = append(tickets, submit(q, epoch, Request{Account: "small", Weight: 3, OutputTokens: 100}))
	}
	served := map[string]int{}
	for range 80 {
		finish(q, epoch, running)
		for i, ticket := range tickets {
			if ticket != nil && granted(ticket) {
				running, tickets[i] = ticket, nil
				served[ticket.Request().Account]++
				break
			}
		}
	}
	qt.Assert(t, served, qt.DeepEquals, map[string]int{"large": 20, "small": 60})
}

// TestAccountsShareByActualWork checks that an account whose responses are longer than announced
// is charged for their actual length.
func TestAccountsShareByActualWork(t *testing.T) {
	q := NewQueue(Options{MaxConcurrency: 1, MaxQueued: 1000})
	tokens := map[string]uint32{"long": 1000, "short": 100}
	running := submit(q, epoch, Request{})
	var tickets []*Ticket
	for range 200 {
		for _, name := range []string{"long", "short"} {
			tickets = append(tickets, submit(q, epoch, Request{Account: name, OutputTokens: 100}))
		}
	}
	served := map[string]int{}
	for range 110 {
		q.Start(epoch, running)
		q.Finish(epoch, running, true, tokens[running.Request().Account])
		running = tickets[slices.IndexFunc(tickets, func(ticket *Ticket) bool {
			return ticket.state == stateGranted
		})]
		served[running.Request().Account]++
	}
	qt.Assert(t, served["short"] >= 97 && served["short"] <= 103, qt.IsTrue, qt.Commentf("%v", served))
}

func TestFullQueueEvictsTheLowestTier(t *testing.T) {
	q := NewQueue(Options{MaxConcurrency: 1, MaxQueued: 2})
	submit(q, epoch, Request{})
	low := submit(q, epoch, Request{Rank: 4, Account: "a"})
	middle := submit(q, epoch, Request{Rank: 2, Account: "a"})
	high := submit(q, epoch, Request{Rank: 1, Account: "a"})
	qt.Assert(t, refusedFor(low, ReasonShed), qt.IsTrue)
	qt.Assert(t, decided(middle), qt.IsFalse)
	qt.Assert(t, refusedFor(submit(q, epoch, Request{Rank: 3}), ReasonShed), qt.IsTrue)
	qt.Assert(t, decided(high), qt.IsFalse)
}

func TestFullTierEvictsTheAccountWithTheMostQueuedWork(t *testing.T) {
	q := NewQueue(Options{MaxConcurrency: 1, MaxQueued: 3})
	submit(q, epoch, Request{})
	var large []*Ticket
	for range 3 {
		large = append(large, submit(q, epoch, Request{Account: "large"}))
	}
	small := submit(q, epoch, Request{Account: "small"})
	qt.Assert(t, decided(small), qt.IsFalse)
	qt.Assert(t, refusedFor(large[2], ReasonShed), qt.IsTrue)
}

func TestRequestThatCannotMeetItsDeadlineIsRefused(t *testing.T) {
	q := NewQueue(Options{MaxConcurrency: 1})
	now := epoch
	for range minSpeedSamples + 1 {
		ticket := submit(q, now, Request{PromptTokens: 1000, OutputTokens: 101})
		q.Start(now, ticket)
		q.RecordEvents(now.Add(time.Second), ticket, 1)
		q.RecordEvents(now.Add(2*time.Second), ticket, 100)
		now = now.Add(2 * time.Second)
		q.Finish(now, ticket, true, 0)
	}
	soon := submit(q, now, Request{PromptTokens: 1000, OutputTokens: 100, Deadline: now.Add(1900 * time.Millisecond)})
	qt.Assert(t, refusedFor(soon, ReasonDeadline), qt.IsTrue)
	qt.Assert(t, soon.Refusal().RetryAfter >= minRetryAfter, qt.IsTrue)
	running := submit(q, now, Request{PromptTokens: 1000, OutputTokens: 100})
	waiting := submit(q, now, Request{PromptTokens: 1000, OutputTokens: 100, Deadline: now.Add(3 * time.Second)})
	wait, queued := q.Recheck(now, waiting)
	qt.Assert(t, queued, qt.IsTrue)
	qt.Assert(t, wait, qt.Equals, time.Second)
	q.Recheck(now.Add(wait+time.Millisecond), waiting)
	qt.Assert(t, refusedFor(waiting, ReasonDeadline), qt.IsTrue)
	qt.Assert(t, granted(running), qt.IsTrue)
}

// TestEventsOfSeveralTokensDoNotSlowTheEstimate uses an engine that sends ten tokens per event:
// 100 tokens arrive in 10 events over 0.9 s.
func TestEventsOfSeveralTokensDoNotSlowTheEstimate(t *testing.T) {
	q := NewQueue(Options{})
	now := epoch
	for range 20 {
		ticket := submit(q, now, Request{PromptTokens: 10, OutputTokens: 100})
		q.Start(now, ticket)
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			q.RecordEvents(now, ticket, 1)
		}
		q.Finish(now, ticket, true, 100)
	}
	next := submit(q, now, Request{PromptTokens: 10, OutputTokens: 100, Deadline: now.Add(2 * time.Second)})
	qt.Assert(t, granted(next), qt.IsTrue)
}

func TestFixedDelayIsNotChargedToEachPromptToken(t *testing.T) {
	q := NewQueue(Options{})
	now := epoch
	for i := range 20 {
		ticket := submit(q, now, Request{PromptTokens: uint32(1 + i%3), OutputTokens: 1})
		q.Start(now, ticket)
		now = now.Add(50 * time.Millisecond)
		q.RecordEvents(now, ticket, 1)
		q.Finish(now, ticket, true, 0)
	}
	long := submit(q, now, Request{PromptTokens: 10_000, OutputTokens: 1, Deadline: now.Add(5 * time.Second)})
	qt.Assert(t, granted(long), qt.IsTrue)
}

// TestHopelessRequestIsRefusedSoon checks that a request behind more work than can be done
// before its deadline is refused early, so that its caller can retry elsewhere, and not only
// shortly before the deadline.
func TestHopelessRequestIsRefusedSoon(t *testing.T) {
	q := NewQueue(Options{MaxConcurrency: 1, MaxPrefillTokens: 1 << 20})
	now := epoch
	for range 2 * minSpeedSamples {
		ticket := submit(q, now, Request{PromptTokens: 1000})
		q.Start(now, ticket)
		now = now.Add(time.Second)
		q.Finish(now, ticket, true, 0)
	}
	q.Start(now, submit(q, now, Request{PromptTokens: 1000}))
	for range 100 {
		submit(q, now, Request{Rank: 1, Account: "others", PromptTokens: 1000})
	}
	deadline := now.Add(30 * time.Second)
	infeasible := submit(q, now, Request{Rank: 2, PromptTokens: 1000, Deadline: deadline})
	inTime := submit(q, now, Request{Rank: 1, PromptTokens: 1000, Deadline: deadline})
	qt.Assert(t, decided(infeasible), qt.IsFalse)
	q.Tick(now.Add(250 * time.Millisecond))
	qt.Assert(t, refusedFor(infeasible, ReasonDeadline), qt.IsTrue)
	qt.Assert(t, infeasible.Refusal().RetryAfter > time.Second, qt.IsTrue)
	qt.Assert(t, decided(inTime), qt.IsFalse)
}

// TestUnstreamedAnswersUpdateTheSpeedEstimate checks that responses without token events update
// the estimate through their length and duration.
func TestUnstreamedAnswersUpdateTheSpeedEstimate(t *testing.T) {
	q := NewQueue(Options{AdaptiveLimit: true})
	now := epoch
	for range 40 {
		first := submit(q, now, Request{Rank: 1, PromptTokens: 100, OutputTokens: 100})
		q.Start(now, first)
		var rest []*Ticket
		for range q.Load().Limit {
			ticket := submit(q, now, Request{Rank: 1, PromptTokens: 100, OutputTokens: 100})
			q.Start(now, ticket)
			rest = append(rest, ticket)
		}
		now = now.Add(2 * time.Second)
		for _, ticket := range append(rest, first) {
			if granted(ticket) {
				q.Finish(now, ticket, true, 100)
				continue
			}
			q.Withdraw(now, ticket)
		}
	}
	qt.Assert(t, q.Load().Limit > 2*initialLimit, qt.IsTrue, qt.Commentf("limit %d", q.Load().Limit))
	late := submit(q, now, Request{Rank: 1, OutputTokens: 100, Deadline: now.Add(time.Second)})
	qt.Assert(t, refusedFor(late, ReasonDeadline), qt.IsTrue)
}

func TestPrefillWithoutFirstTokenTimesOut(t *testing.T) {
	q := NewQueue(Options{MaxPrefillTokens: 1000})
	q.Start(epoch, submit(q, epoch, Request{PromptTokens: 900}))
	next := submit(q, epoch, Request{PromptTokens: 900})
	qt.Assert(t, decided(next), qt.IsFalse)
	q.Tick(epoch.Add(firstTokenTarget + time.Millisecond))
	qt.Assert(t, granted(next), qt.IsTrue)
}

func TestLowerTierLeavesPrefillHeadroom(t *testing.T) {
	q := NewQueue(Options{MaxConcurrency: 16, MaxPrefillTokens: 1000})
	top := submit(q, epoch, Request{Rank: 0, PromptTokens: 1})
	finish(q, epoch, top)
	qt.Assert(t, granted(submit(q, epoch, Request{Rank: 2, PromptTokens: 400})), qt.IsTrue)
	qt.Assert(t, granted(submit(q, epoch, Request{Rank: 2, PromptTokens: 400})), qt.IsFalse)
	qt.Assert(t, granted(submit(q, epoch, Request{Rank: 0, PromptTokens: 400})), qt.IsTrue)
}

func TestDispatchedPrefixesCountAsCached(t *testing.T) {
	q := NewQueue(Options{})
	first := submit(q, epoch, Request{PromptTokens: 100, Prefixes: []uint64{1, 2}})
	qt.Assert(t, q.Load().Work, qt.Equals, uint64(100))
	finish(q, epoch, first)
	qt.Assert(t, q.Load().Prefixes, qt.DeepEquals, []uint64{2, 1})
	submit(q, epoch, Request{PromptTokens: 1000, Prefixes: []uint64{1, 2, 3, 4}, Rank: 2})
	qt.Assert(t, q.Load().WorkByRank, qt.DeepEquals, []uint64{0, 0, 1000 - 128})
}

// queueModel applies random operations to a queue and checks each decision.
type queueModel struct {
	q         *Queue
	now       time.Time
	next      int
	queued    []*Ticket
	granted   []*Ticket
	running   []*Ticket
	limit     int
	maxQueued int
}

func TestNoHigherTierIsShedBeforeALowerOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{now: epoch, limit: rapid.IntRange(1, 5).Draw(t, "limit"), maxQueued: rapid.IntRange(1, 8).Draw(t, "bound")}
		m.q = NewQueue(Options{MaxConcurrency: m.limit, MaxQueued: m.maxQueued, AdaptiveLimit: rapid.Bool().Draw(t, "learn")})
		t.Repeat(map[string]func(*rapid.T){
			"submit":   m.submit,
			"start":    m.start,
			"finish":   m.finish,
			"withdraw": m.withdraw,
			"events":   m.events,
			"":         m.check,
		})
	})
}

func (m *queueModel) submit(t *rapid.T) {
	m.next++
	request := Request{
		ID:           fmt.Sprint(m.next),
		Account:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
		Rank:         rapid.Uint32Range(0, 4).Draw(t, "rank"),
		PromptTokens: rapid.Uint32Range(0, 9000).Draw(t, "prompt"),
		Deadline:     epoch.AddDate(100, 0, 0),
	}
	m.now = m.now.Add(time.Second)
	m.queued = append(m.queued, submit(m.q, m.now, request))
	m.checkDecisions(t)
}

// checkDecisions collects the decided tickets and checks that refused tickets have the lowest
// and granted tickets the highest rank.
func (m *queueModel) checkDecisions(t *rapid.T) {
	var queued, shed, newlyGranted []*Ticket
	for _, ticket := range m.queued {
		switch {
		case !decided(ticket):
			queued = append(queued, ticket)
		case ticket.Refusal() == nil:
			m.granted = append(m.granted, ticket)
			newlyGranted = append(newlyGranted, ticket)
		default:
			shed = append(shed, ticket)
		}
	}
	m.queued = queued
	for _, ticket := range newlyGranted {
		for _, kept := range queued {
			if kept.Request().Rank < ticket.Request().Rank {
				t.Fatalf("granted rank %d while rank %d is queued", ticket.Request().Rank, kept.Request().Rank)
			}
		}
	}
	for _, refused := range shed {
		if refused.Refusal().Reason != ReasonShed {
			t.Fatalf("unexpected refusal reason %v", refused.Refusal().Reason)
		}
		for _, kept := range queued {
			if kept.Request().Rank > refused.Request().Rank {
				t.Fatalf("shed rank %d while rank %d is queued", refused.Request().Rank, kept.Request().Rank)
			}
		}
	}
}

func (m *queueModel) start(t *rapid.T) {
	if ticket := drawTicket(t, &m.granted); ticket != nil {
		m.q.Start(m.now, ticket)
		m.running = append(m.running, ticket)
	}
}

func (m *queueModel) finish(t *rapid.T) {
	if ticket := drawTicket(t, &m.running); ticket != nil {
		m.q.RecordEvents(m.now, ticket, 1)
		m.q.Finish(m.now, ticket, rapid.Bool().Draw(t, "whole"), 0)
		m.checkDecisions(t)
	}
}

// events simulates tokens at a random pace, so that the limit rises and falls.
func (m *queueModel) events(t *rapid.T) {
	gap := time.Duration(rapid.IntRange(1, 300).Draw(t, "gap")) * time.Millisecond
	for range rapid.IntRange(1, 100).Draw(t, "events") {
		m.now = m.now.Add(gap)
		for _, ticket := range m.running {
			m.q.RecordEvents(m.now, ticket, 1)
		}
	}
	m.checkDecisions(t)
}

func (m *queueModel) withdraw(t *rapid.T) {
	from := &m.queued
	if rapid.Bool().Draw(t, "granted") {
		from = &m.granted
	}
	if ticket := drawTicket(t, from); ticket != nil {
		if !m.q.Withdraw(m.now, ticket) {
			t.Fatal("Withdraw reported false for a queued or granted ticket")
		}
		m.checkDecisions(t)
	}
}

func (m *queueModel) check(t *rapid.T) {
	load := m.q.Load()
	if load.Queued != len(m.queued) || load.Running != len(m.granted)+len(m.running) {
		t.Fatalf("load %+v, but %d queued, %d granted, %d running", load, len(m.queued), len(m.granted), len(m.running))
	}
	if load.Queued > m.maxQueued || load.Running > m.limit {
		t.Fatalf("limit exceeded: %+v", load)
	}
	if load.Running == 0 && load.Queued > 0 {
		t.Fatal("no request is running although requests are queued")
	}
}

func drawTicket(t *rapid.T, from *[]*Ticket) *Ticket {
	if len(*from) == 0 {
		return nil
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(t, "index")
	ticket := (*from)[i]
	*from = append((*from)[:i:i], (*from)[i+1:]...)
	return ticket
}

// TestLargeAccountDoesNotStarveAnother checks that while two accounts of a tier have waiting
// requests, the weighted work granted to them differs by at most one ticket of each, plus the
// tickets that were running at the start.
func TestLargeAccountDoesNotStarveAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		flood := rapid.IntRange(20, 100).Draw(t, "flood")
		weight := rapid.Uint32Range(1, 5).Draw(t, "weight")
		q := NewQueue(Options{MaxConcurrency: limit, MaxQueued: 200})
		const maxWork = 1000
		work := rapid.Uint32Range(1, maxWork)
		var tickets []*Ticket
		for range flood {
			tickets = append(tickets, submit(q, epoch, Request{Account: "large", Weight: 1, PromptTokens: work.Draw(t, "work")}))
		}
		for range 10 {
			tickets = append(tickets, submit(q, epoch, Request{Account: "small", Weight: weight, PromptTokens: work.Draw(t, "work")}))
		}
		grantedWork, waiting := map[string]float64{}, map[string]int{"large": flood, "small": 10}
		for _, ticket := range tickets[:limit] {
			waiting[ticket.Request().Account]--
		}
		running := slices.Clone(tickets[:limit])
		tickets = tickets[limit:]
		for waiting["large"] > 0 && waiting["small"] > 0 {
			finish(q, epoch, running[0])
			running = running[1:]
			for i, ticket := range tickets {
				if granted(ticket) {
					request := ticket.Request()
					grantedWork[request.Account] += ticket.work / max(1, float64(request.Weight))
					waiting[request.Account]--
					running = append(running, ticket)
					tickets = append(tickets[:i:i], tickets[i+1:]...)
					break
				}
			}
			if difference := grantedWork["large"] - grantedWork["small"]; difference > 2*maxWork || difference < -(2+float64(limit))*maxWork {
				t.Fatalf("unfair shares of weighted work: %v", grantedWork)
			}
		}
	})
}
