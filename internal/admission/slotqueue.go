package admission

import (
	"math"
	"sync"
	"time"
)

const (
	// startMargin is kept between the expected first token and the objective, for the
	// answer's way back and the spread of prefill times.
	startMargin = 40 * time.Millisecond
	// defaultSlots is used until a backend server's number of slots is known.
	defaultSlots = 4
	// maxSlotQueued bounds the waiting tickets of one queue.
	maxSlotQueued = 512
	// occupancyMemory is the time constant of the occupancy that a tier is known for.
	occupancyMemory = 3 * time.Second
	// reserveSpread is how many standard deviations of the higher tiers' occupancy are
	// kept free for them.
	reserveSpread = 0.35
	// floorPart is the part of the slots that lower tiers may use whatever waits above them.
	floorPart = 1.0 / 3
	// hedgeFactor is at how many queues a waiting request is taken to stand.
	hedgeFactor = 3
	// expectedRest is the part of a request's time in its slot that is left on average.
	expectedRest = 0.5
	// minOccupancy is the occupancy under which a tier counts as idle, in slots.
	minOccupancy = 0.05
	// overloadPause without a refusal ends an overload.
	overloadPause = time.Second
	// maxSlotRetryAfter bounds the time that a refused request is told to wait: callers
	// of streams wait some seconds in all.
	maxSlotRetryAfter = 3 * time.Second
	// retrySpread is the part of that time by which returns are spread, in spreadSteps steps.
	retrySpread = 0.25
	spreadSteps = 17
	// reportLag is how old an engine's own count may be when it is compared with the
	// slots that are handed out: its report and requests on their way to it.
	reportLag = 400 * time.Millisecond
)

// SlotOptions configure a SlotQueue.
type SlotOptions struct {
	// Slots is the number of requests that the backend server runs at a time.
	Slots int
	// MemoryTokens bounds the tokens of running requests; 0 is unlimited.
	MemoryTokens int
}

// SlotQueue is the queue of one backend server that runs a fixed number of requests
// at a time and admits in the order of arrival. It hands out exactly those slots,
// so that the order is decided here: higher tiers first, and within a tier those that
// can still meet their objective. Lower tiers, whose requests may run long, leave the
// slots free that the higher ones are known to need, but keep a floor under any load. A
// request that can't have a slot in time is refused at once. It is safe for concurrent use.
type SlotQueue struct {
	mu       sync.Mutex
	options  SlotOptions
	waiting  []*SlotTicket
	running  map[*SlotTicket]struct{}
	memory   int
	byRank   [MaxRank + 1]int
	occupied [MaxRank + 1]occupancy
	outside  int
	// held remembers the most slots held in the last time, for at least reportLag.
	held     recentMax
	draining bool
	arrivals uint64
	// overloadSince is the first refusal of the overload that lastRefusal was in.
	overloadSince time.Time
	lastRefusal   time.Time
	speed         speed
	failures      mean
}

// SlotTicket is a request's place in a SlotQueue, then its slot.
type SlotTicket struct {
	request Request
	decided chan struct{}
	refusal *RefusedError
	state   ticketState
	arrival uint64
	queued  time.Time
	started time.Time
}

// Decided returns a channel that is closed once the ticket is granted or refused.
func (t *SlotTicket) Decided() <-chan struct{} { return t.decided }

// Refusal returns why a decided ticket was refused, or nil if it was granted.
// It may only be called after Decided is closed.
func (t *SlotTicket) Refusal() *RefusedError { return t.refusal }

// Outcome is what an entry saw of a request that held a slot.
type Outcome struct {
	// Sent says that the request was handed to the backend server.
	Sent bool
	// Failed says that the backend server broke off, failed or answered wrongly.
	Failed bool
	// FirstToken is the time from the dispatch to the first event; 0: none came.
	FirstToken time.Duration
	// OutputTokens is the number of tokens that came; 0 if that isn't known.
	OutputTokens int
}

// SlotLoad is the state of a SlotQueue.
type SlotLoad struct {
	Slots   int
	Running int
	// Waiting counts the tickets that wait, by rank.
	Waiting [MaxRank + 1]int
	// FirstToken is the expected time to the first token of a prompt of
	// ReferencePrompt tokens; 0 if it isn't known.
	FirstToken time.Duration
	// SlotTime is the mean time that a request holds a slot; 0 if it isn't known.
	SlotTime time.Duration
	// FailureRate is the part of the last requests that failed.
	FailureRate float64
	Draining    bool
}

// ReferencePrompt is the prompt length, in tokens, that SlotLoad.FirstToken is for.
const ReferencePrompt = 2000

// NewSlotQueue returns an empty queue.
func NewSlotQueue(options SlotOptions) *SlotQueue {
	if options.Slots <= 0 {
		options.Slots = defaultSlots
	}
	return &SlotQueue{options: options, running: map[*SlotTicket]struct{}{}}
}

// SetCapacity sets what the backend server can run at a time. Zero keeps what is set.
func (q *SlotQueue) SetCapacity(now time.Time, slots, memoryTokens int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if slots > 0 {
		q.options.Slots = slots
	}
	if memoryTokens > 0 {
		q.options.MemoryTokens = memoryTokens
	}
	q.schedule(now)
}

// Report takes the number of requests that the backend server says it holds. Those
// beyond the slots handed out lately took none here: they are of before this process
// started, or of callers that bypass it, and leave fewer slots to hand out.
func (q *SlotQueue) Report(now time.Time, requests int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.held.add(now, len(q.running))
	q.outside = max(requests-q.held.most(), 0)
	q.schedule(now)
}

// recentMax is the largest of the counts of the last reportLag to two of them.
type recentMax struct {
	since        time.Time
	now, earlier int
}

func (m *recentMax) add(now time.Time, n int) {
	if now.Sub(m.since) > reportLag {
		m.earlier, m.now, m.since = m.now, n, now
		return
	}
	m.now = max(m.now, n)
}

func (m *recentMax) most() int { return max(m.now, m.earlier) }

// Submit queues a request. The ticket may be decided at once.
func (q *SlotQueue) Submit(now time.Time, request Request) *SlotTicket {
	q.mu.Lock()
	defer q.mu.Unlock()
	request.Rank = min(request.Rank, MaxRank)
	q.arrivals++
	t := &SlotTicket{request: request, decided: make(chan struct{}), arrival: q.arrivals, queued: now}
	switch {
	case q.draining:
		q.refuse(now, t, ReasonDraining)
	case len(q.waiting) >= maxSlotQueued:
		q.refuse(now, t, ReasonShed)
	case !q.inTime(now, t):
		q.refuse(now, t, ReasonDeadline)
	default:
		t.state = stateQueued
		q.waiting = append(q.waiting, t)
		q.schedule(now)
	}
	return t
}

// Tick refuses the tickets that can't be served any more.
func (q *SlotQueue) Tick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.schedule(now)
}

// Withdraw takes back a ticket that waits, or a slot that was not used.
func (q *SlotQueue) Withdraw(now time.Time, t *SlotTicket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch t.state {
	case stateQueued:
		q.remove(t)
		q.refuse(now, t, ReasonBarred)
	case stateRunning:
		q.free(now, t)
		q.schedule(now)
	}
}

// Finish frees a slot and learns from what its request showed.
func (q *SlotQueue) Finish(now time.Time, t *SlotTicket, outcome Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.state != stateRunning {
		return
	}
	q.free(now, t)
	if outcome.Sent {
		q.learn(now, t, outcome)
	}
	q.schedule(now)
}

func (q *SlotQueue) learn(now time.Time, t *SlotTicket, outcome Outcome) {
	failed := 0.0
	if outcome.Failed {
		failed = 1
	}
	q.failures.add(failed)
	if outcome.Failed || outcome.FirstToken <= 0 {
		return
	}
	q.speed.firstToken.add(float64(t.request.PromptTokens), outcome.FirstToken.Seconds())
	q.speed.service.add(now.Sub(t.started).Seconds())
}

// Drain refuses all waiting requests and all later ones. Slots that are held stay.
func (q *SlotQueue) Drain(now time.Time) { q.RefuseAll(now, ReasonDraining, true) }

// RefuseAll refuses all waiting requests, and with closed set all later ones.
func (q *SlotQueue) RefuseAll(now time.Time, reason Reason, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.draining = q.draining || closed
	for _, t := range q.waiting {
		q.refuse(now, t, reason)
	}
	q.waiting = nil
}

// Load returns the state of the queue.
func (q *SlotQueue) Load() SlotLoad {
	q.mu.Lock()
	defer q.mu.Unlock()
	load := SlotLoad{
		Slots:       q.options.Slots,
		Running:     len(q.running) + q.outside,
		FirstToken:  seconds(q.speed.firstToken.at(ReferencePrompt)),
		SlotTime:    seconds(q.speed.service.value),
		FailureRate: q.failures.value,
		Draining:    q.draining,
	}
	for _, t := range q.waiting {
		load.Waiting[t.request.Rank]++
	}
	return load
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// schedule grants free slots and refuses what waited too long.
func (q *SlotQueue) schedule(now time.Time) {
	q.expire(now)
	for len(q.running)+q.outside < q.options.Slots {
		t := q.next(now)
		if t == nil {
			return
		}
		q.grant(now, t)
	}
}

// expire refuses the tickets that can't be answered before their deadline, or that
// are late by more than LateHold allows.
func (q *SlotQueue) expire(now time.Time) {
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		if q.expired(now, t) {
			q.refuse(now, t, ReasonDeadline)
			continue
		}
		kept = append(kept, t)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

func (q *SlotQueue) expired(now time.Time, t *SlotTicket) bool {
	return !now.Add(q.firstToken(t)).Before(q.latest(t))
}

// latest returns when the first token of a ticket must be there for the ticket to
// wait any longer.
func (q *SlotQueue) latest(t *SlotTicket) time.Time {
	r := &t.request
	if r.Objective.IsZero() {
		return r.Deadline
	}
	latest := r.Objective.Add(r.LateHold)
	if r.Deadline.Before(latest) {
		return r.Deadline
	}
	return latest
}

// inTime reports whether a new ticket is likely to get a slot in time, after those
// that go before it. Those stand in other queues too, and get most of their slots there.
func (q *SlotQueue) inTime(now time.Time, t *SlotTicket) bool {
	if len(q.waiting) == 0 && len(q.running)+q.outside < q.options.Slots && q.fits(now, t) {
		return true
	}
	ahead := 0
	mine := q.order(now, t)
	for _, other := range q.waiting {
		if q.order(now, other).before(mine) {
			ahead++
		}
	}
	perSlot := q.speed.service.value
	slots := float64(max(q.slotsFor(now, t.request.Rank), 1))
	wait := seconds(perSlot / slots * (float64(ahead)/hedgeFactor + expectedRest) / hedgeFactor)
	return now.Add(wait + q.firstToken(t)).Before(q.latest(t))
}

// firstToken returns the expected time from a grant to the first token.
func (q *SlotQueue) firstToken(t *SlotTicket) time.Duration {
	return seconds(q.speed.firstToken.at(float64(t.request.PromptTokens)))
}

func (q *SlotQueue) onTime(now time.Time, t *SlotTicket) bool {
	return t.request.Objective.IsZero() || now.Add(q.firstToken(t)+startMargin).Before(t.request.Objective)
}

// next returns the ticket that gets the next free slot, or nil.
func (q *SlotQueue) next(now time.Time) *SlotTicket {
	var best *SlotTicket
	bestOrder := order{}
	for _, t := range q.waiting {
		if !q.fits(now, t) {
			continue
		}
		if o := q.order(now, t); best == nil || o.before(bestOrder) {
			best, bestOrder = t, o
		}
	}
	return best
}

// order says which ticket goes first: the one with the smaller fields.
type order struct {
	rank     uint32
	late     bool
	deadline time.Time
	arrival  uint64
}

func (o order) before(other order) bool {
	switch {
	case o.rank != other.rank:
		return o.rank < other.rank
	case o.late != other.late:
		return !o.late
	case !o.deadline.Equal(other.deadline):
		return o.deadline.Before(other.deadline)
	}
	return o.arrival < other.arrival
}

func (q *SlotQueue) order(now time.Time, t *SlotTicket) order {
	o := order{late: !q.onTime(now, t), rank: t.request.Rank, deadline: t.request.Objective, arrival: t.arrival}
	if t.request.Objective.IsZero() {
		o.deadline = t.request.Deadline
	}
	if !o.late && q.byRank[o.rank] < q.floor(o.rank) {
		o.rank = topRank
	}
	return o
}

// floor returns the slots that a lower tier keeps under any load.
func (q *SlotQueue) floor(rank uint32) int {
	if rank == topRank {
		return 0
	}
	return int(floorPart * float64(q.options.Slots))
}

// slotsFor returns the slots that a tier and those below it may use together: what
// the higher tiers are known to need, and some more for their next requests, stays free.
func (q *SlotQueue) slotsFor(now time.Time, rank uint32) int {
	above := 0.0
	for higher := uint32(0); higher < rank; higher++ {
		above += q.occupied[higher].mean(now)
	}
	if above < minOccupancy {
		return q.options.Slots
	}
	reserve := int(math.Round(above + reserveSpread*math.Sqrt(above)))
	return max(q.options.Slots-reserve, q.floor(rank), 1)
}

// fits reports whether a ticket may run beside what runs already.
func (q *SlotQueue) fits(now time.Time, t *SlotTicket) bool {
	if most := q.options.MemoryTokens; most > 0 && len(q.running) > 0 && q.memory+t.tokens() > most {
		return false
	}
	below := 0
	for rank := t.request.Rank; rank <= MaxRank; rank++ {
		below += q.byRank[rank]
	}
	return t.request.Rank == topRank || below < q.slotsFor(now, t.request.Rank)
}

// occupancy is the mean number of slots that a tier holds, with exponential decay.
type occupancy struct {
	held  int
	value float64
	at    time.Time
}

func (o *occupancy) mean(now time.Time) float64 {
	if o.at.IsZero() {
		return 0
	}
	kept := math.Exp(-now.Sub(o.at).Seconds() / occupancyMemory.Seconds())
	return float64(o.held) + (o.value-float64(o.held))*kept
}

func (o *occupancy) change(now time.Time, by int) {
	o.value = o.mean(now)
	o.held += by
	o.at = now
}

func (t *SlotTicket) tokens() int {
	return int(t.request.PromptTokens) + int(t.request.OutputTokens)
}

func (q *SlotQueue) grant(now time.Time, t *SlotTicket) {
	q.remove(t)
	t.state = stateRunning
	t.started = now
	q.running[t] = struct{}{}
	q.held.add(now, len(q.running))
	q.byRank[t.request.Rank]++
	q.occupied[t.request.Rank].change(now, 1)
	q.memory += t.tokens()
	close(t.decided)
}

func (q *SlotQueue) free(now time.Time, t *SlotTicket) {
	delete(q.running, t)
	q.byRank[t.request.Rank]--
	q.occupied[t.request.Rank].change(now, -1)
	q.memory -= t.tokens()
	t.state = stateFinished
}

func (q *SlotQueue) remove(t *SlotTicket) {
	for i, other := range q.waiting {
		if other == t {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

func (q *SlotQueue) refuse(now time.Time, t *SlotTicket, reason Reason) {
	t.state = stateRefused
	t.refusal = &RefusedError{Reason: reason, RetryAfter: q.retryAfter(now, t)}
	close(t.decided)
}

// retryAfter returns when a refused request should come back. An overload that has
// lasted for a while is expected to last about as long again; the arrival spreads the
// returns, so that they don't come together.
func (q *SlotQueue) retryAfter(now time.Time, t *SlotTicket) time.Duration {
	if now.Sub(q.lastRefusal) > overloadPause {
		q.overloadSince = now
	}
	q.lastRefusal = now
	wait := min(max(now.Sub(q.overloadSince), minRetryAfter), maxSlotRetryAfter)
	spread := 1 + retrySpread*(2*float64(t.arrival%spreadSteps)/(spreadSteps-1)-1)
	return time.Duration(spread * float64(wait))
}
