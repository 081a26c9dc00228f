package admission

import (
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
	// topMemory is how long a slot is kept for the top tier after one of its requests.
	topMemory = 2 * time.Second
)

// SlotOptions configure a SlotQueue.
type SlotOptions struct {
	// Slots is the number of requests that the backend server runs at a time.
	Slots int
	// MemoryTokens bounds the tokens of running requests; 0 is unlimited.
	MemoryTokens int
	// LateHold is how long past its objective a ticket may still wait for a slot, as a
	// multiple of the objective.
	LateHold float64
}

// SlotQueue is the queue of one backend server that runs a fixed number of requests
// at a time and admits in the order of arrival. It hands out exactly those slots,
// so that the order is decided here: requests that can still meet their objective
// go first, by tier; each lower tier keeps a floor under load; requests that are
// late already take what is left. It is safe for concurrent use.
type SlotQueue struct {
	mu       sync.Mutex
	options  SlotOptions
	waiting  []*SlotTicket
	running  map[*SlotTicket]struct{}
	memory   int
	byRank   [MaxRank + 1]int
	outside  int
	draining bool
	lastTop  time.Time
	arrivals uint64
	speed    speed
	failures mean
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

// SetOutside sets how many requests the backend server holds that took no slot
// here: those of before this process started, or of callers that bypass it.
func (q *SlotQueue) SetOutside(now time.Time, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.outside = max(n, 0)
	q.schedule(now)
}

// Held returns the number of slots that are handed out.
func (q *SlotQueue) Held() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.running)
}

// Submit queues a request. The ticket may be decided at once.
func (q *SlotQueue) Submit(now time.Time, request Request) *SlotTicket {
	q.mu.Lock()
	defer q.mu.Unlock()
	request.Rank = min(request.Rank, MaxRank)
	q.arrivals++
	t := &SlotTicket{request: request, decided: make(chan struct{}), arrival: q.arrivals, queued: now}
	if request.Rank == topRank {
		q.lastTop = now
	}
	switch {
	case q.draining:
		q.refuse(t, ReasonDraining)
	case len(q.waiting) >= maxSlotQueued:
		q.refuse(t, ReasonShed)
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
		q.refuse(t, ReasonBarred)
	case stateRunning:
		q.free(t)
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
	q.free(t)
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
func (q *SlotQueue) Drain() { q.RefuseAll(ReasonDraining, true) }

// RefuseAll refuses all waiting requests, and with closed set all later ones.
func (q *SlotQueue) RefuseAll(reason Reason, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.draining = q.draining || closed
	for _, t := range q.waiting {
		q.refuse(t, reason)
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
			q.refuse(t, ReasonDeadline)
			continue
		}
		kept = append(kept, t)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

func (q *SlotQueue) expired(now time.Time, t *SlotTicket) bool {
	r := &t.request
	if !now.Add(q.firstToken(t)).Before(r.Deadline) {
		return true
	}
	if q.options.LateHold <= 0 || r.Objective.IsZero() {
		return false
	}
	hold := time.Duration(q.options.LateHold * float64(r.ObjectiveSpan))
	return now.After(r.Objective.Add(hold))
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
	late     bool
	rank     uint32
	deadline time.Time
	arrival  uint64
}

func (o order) before(other order) bool {
	switch {
	case o.late != other.late:
		return !o.late
	case o.rank != other.rank:
		return o.rank < other.rank
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

// floor returns the slots that a lower tier keeps under load.
func (q *SlotQueue) floor(rank uint32) int {
	if rank == topRank {
		return 0
	}
	return 1
}

// fits reports whether a ticket may run beside what runs already: one slot stays
// free for the top tier while that has requests, and the memory must suffice.
func (q *SlotQueue) fits(now time.Time, t *SlotTicket) bool {
	if most := q.options.MemoryTokens; most > 0 && len(q.running) > 0 && q.memory+t.tokens() > most {
		return false
	}
	if t.request.Rank == topRank || now.Sub(q.lastTop) > topMemory || q.options.Slots < 3 {
		return true
	}
	return len(q.running)+q.outside < q.options.Slots-1 || t.request.Rank == 1
}

func (t *SlotTicket) tokens() int {
	return int(t.request.PromptTokens) + int(t.request.OutputTokens)
}

func (q *SlotQueue) grant(now time.Time, t *SlotTicket) {
	q.remove(t)
	t.state = stateRunning
	t.started = now
	q.running[t] = struct{}{}
	q.byRank[t.request.Rank]++
	q.memory += t.tokens()
	close(t.decided)
}

func (q *SlotQueue) free(t *SlotTicket) {
	delete(q.running, t)
	q.byRank[t.request.Rank]--
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

func (q *SlotQueue) refuse(t *SlotTicket, reason Reason) {
	t.state = stateRefused
	t.refusal = &RefusedError{Reason: reason, RetryAfter: q.retryAfter(t.request.Rank)}
	close(t.decided)
}

// retryAfter estimates when the tickets that wait now are served.
func (q *SlotQueue) retryAfter(rank uint32) time.Duration {
	ahead := 0
	for _, t := range q.waiting {
		if t.request.Rank <= rank {
			ahead++
		}
	}
	perSlot := q.speed.service.value / float64(q.options.Slots)
	return min(max(seconds(perSlot*float64(ahead)), minRetryAfter), maxRetryAfter)
}
