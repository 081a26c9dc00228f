package admission

import (
	"slices"
	"sync"
	"time"
)

const (
	// defaultSlots is used until a backend server's number of slots is known.
	defaultSlots = 4
	// maxWaiting bounds the number of waiting tickets of one queue.
	maxWaiting = 512
	// overloadQuietPeriod is the time without a refusal after which an overload has ended.
	overloadQuietPeriod = time.Second
	// maxSlotRetryAfter bounds the retry delay of a refusal: callers of streams wait only some
	// seconds in total.
	maxSlotRetryAfter = 5 * time.Second
	// retryJitter is the relative variation of the retry delay, applied in retryJitterSteps steps.
	retryJitter      = 0.25
	retryJitterSteps = 17
	// reportLag bounds the age of an engine's own count of requests relative to the granted
	// slots: the delay of its report and the time of requests in transit to it.
	reportLag = 400 * time.Millisecond
)

// SlotOptions configures a SlotQueue.
type SlotOptions struct {
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int
	// MemoryTokens bounds the tokens of running requests; 0 is unlimited.
	MemoryTokens int
}

// SlotQueue is the admission queue of one backend server that runs a fixed number of requests
// concurrently and serves them in order of arrival. It grants exactly those slots, so that the
// queue controls the order: higher tiers first, and within a tier the requests that can still
// meet their objective. Lower tiers, whose requests may run long, leave slots free for the
// expected use of the higher tiers, but keep a minimum share of reserved slots under any load.
// A request that cannot get a slot in time is refused immediately. SlotQueue is safe for
// concurrent use.
type SlotQueue struct {
	mu            sync.Mutex
	options       SlotOptions
	waiting       []*SlotTicket
	running       map[*SlotTicket]struct{}
	runningTokens int
	runningByRank [MaxRank + 1]int
	occupancy     [MaxRank + 1]occupancy
	// granted is the rate of grants by rank.
	granted [MaxRank + 1]grantRate
	// promptRate is the rate of prompt tokens of granted requests.
	promptRate       grantRate
	externalRequests int
	// recentRunning is the largest recent number of running requests, over at least reportLag.
	recentRunning recentMax
	draining      bool
	arrivals      uint64
	// overloadSince is the time of the first refusal of the overload that includes lastRefusal.
	overloadSince time.Time
	lastRefusal   time.Time
	speed         speedEstimate
	failures      mean
	// consecutiveFailures counts the failed requests since the last success.
	consecutiveFailures int
	// pacer keeps the grants within the backend server's rate limit.
	pacer pacer
}

// SlotTicket is a request's place in a SlotQueue and, once granted, its slot.
type SlotTicket struct {
	request Request
	decided chan struct{}
	refusal *RefusedError
	state   ticketState
	arrival uint64
	queued  time.Time
	started time.Time
}

// Decided returns a channel that is closed when the ticket is granted or refused.
func (t *SlotTicket) Decided() <-chan struct{} { return t.decided }

// Refusal returns the reason for which the ticket was refused, or nil if it was granted. It
// must not be called before Decided is closed.
func (t *SlotTicket) Refusal() *RefusedError { return t.refusal }

// Outcome is the result of a request that held a slot, as observed by the entry.
type Outcome struct {
	// Unsent reports that the request certainly didn't reach the backend server.
	Unsent bool
	// Sent reports whether the request was sent to the backend server.
	Sent bool
	// Failed reports whether the backend server failed, aborted the response, sent an invalid
	// one or sent nothing for too long.
	Failed bool
	// FirstToken is the time from the dispatch to the first event; 0 if there was none.
	FirstToken time.Duration
	// OutputTokens is the number of received output tokens; 0 if unknown.
	OutputTokens int
}

// SlotLoad is a snapshot of a SlotQueue's state.
type SlotLoad struct {
	Slots   int
	Running int
	// Waiting is the number of waiting tickets by rank.
	Waiting [MaxRank + 1]int
	// FirstToken is the expected time to the first token of a prompt of ReferencePrompt tokens; 0
	// if unknown.
	FirstToken time.Duration
	// SlotTime is the mean time that a request holds a slot; 0 if unknown.
	SlotTime time.Duration
	// FailureRate is the exponentially weighted share of recent requests that failed.
	FailureRate float64
	Draining    bool
	// MemoryTokens is the backend server's memory, RunningTokens what running requests may take of it, and
	// ReadTokensPerSecond the recent rate of prompt tokens that it was given to read; 0 if unknown.
	MemoryTokens        int
	RunningTokens       int
	ReadTokensPerSecond float64
	// RateLimitWait is how long a further request must wait for the backend server's rate limit. It is
	// returned by SlotQueue.RateLimitWait.
	RateLimitWait time.Duration
}

// ReferencePrompt is the prompt length, in tokens, to which SlotLoad.FirstToken refers.
const ReferencePrompt = 2000

// NewSlotQueue returns an empty queue.
func NewSlotQueue(options SlotOptions) *SlotQueue {
	if options.Slots <= 0 {
		options.Slots = defaultSlots
	}
	return &SlotQueue{options: options, running: map[*SlotTicket]struct{}{}}
}

// SetCapacity sets the capacity of the backend server. A zero argument keeps the current value.
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

// SetReportedRequests records the number of requests that the backend server reports as running
// or waiting. Requests in excess of the recently granted slots were sent before this process
// started, or by callers that bypass this queue; they reduce the number of slots to grant.
func (q *SlotQueue) SetReportedRequests(now time.Time, requests int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recentRunning.add(now, len(q.running))
	q.externalRequests = max(requests-q.recentRunning.value(), 0)
	q.schedule(now)
}

// SetExternalRequests records the number of requests at the backend server that hold no slot of
// this queue. They reduce the number of slots to grant.
func (q *SlotQueue) SetExternalRequests(now time.Time, requests int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.externalRequests = max(requests, 0)
	q.schedule(now)
}

// recentMax is the maximum of a count over the last one to two periods of reportLag.
type recentMax struct {
	windowStart       time.Time
	current, previous int
}

func (m *recentMax) add(now time.Time, n int) {
	if now.Sub(m.windowStart) > reportLag {
		m.previous, m.current, m.windowStart = m.current, n, now
		return
	}
	m.current = max(m.current, n)
}

func (m *recentMax) value() int { return max(m.current, m.previous) }

// Submit queues a request. The ticket may be decided before Submit returns.
func (q *SlotQueue) Submit(now time.Time, request Request) *SlotTicket {
	q.mu.Lock()
	defer q.mu.Unlock()
	request.Rank = min(request.Rank, MaxRank)
	q.arrivals++
	q.pacer.recordArrival(now, request.Rank)
	t := &SlotTicket{request: request, decided: make(chan struct{}), arrival: q.arrivals, queued: now}
	switch {
	case q.draining:
		q.refuse(now, t, ReasonDraining)
	case len(q.waiting) >= maxWaiting:
		q.refuse(now, t, ReasonShed)
	case q.pacer.limited() && q.exceedsRateLimit(now, t, q.ahead(now, t)):
		q.refuse(now, t, ReasonRateLimit)
	case !q.likelyInTime(now, t), !q.expectsTimelySlot(now, t):
		q.refuse(now, t, ReasonDeadline)
	default:
		t.state = stateQueued
		q.waiting = append(q.waiting, t)
		q.schedule(now)
	}
	return t
}

// Tick refuses the tickets that can no longer be served in time and grants free slots.
func (q *SlotQueue) Tick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.schedule(now)
}

// Withdraw cancels a waiting ticket, or returns a granted slot that was not used.
func (q *SlotQueue) Withdraw(now time.Time, t *SlotTicket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.state == stateRunning {
		q.pacer.refund(now)
	}
	q.cancel(now, t)
}

// Abandon cancels a waiting ticket, or frees a granted slot of which it is unknown whether it was
// used.
func (q *SlotQueue) Abandon(now time.Time, t *SlotTicket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cancel(now, t)
}

func (q *SlotQueue) cancel(now time.Time, t *SlotTicket) {
	switch t.state {
	case stateQueued:
		q.remove(t)
		q.refuse(now, t, ReasonBarred)
	case stateRunning:
		q.releaseSlot(now, t)
		q.schedule(now)
	}
}

// Finish frees a slot and updates the estimates with the outcome of its request.
func (q *SlotQueue) Finish(now time.Time, t *SlotTicket, outcome Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.state != stateRunning {
		return
	}
	q.releaseSlot(now, t)
	if outcome.Unsent {
		q.pacer.refund(now)
	}
	if outcome.Sent {
		q.recordOutcome(now, t, outcome)
	}
	q.schedule(now)
}

func (q *SlotQueue) recordOutcome(now time.Time, t *SlotTicket, outcome Outcome) {
	failed := 0.0
	if outcome.Failed {
		failed = 1
	}
	q.failures.add(failed)
	switch {
	case outcome.Failed:
		q.consecutiveFailures++
	case outcome.FirstToken > 0:
		q.consecutiveFailures = 0
	}
	if outcome.Failed || outcome.FirstToken <= 0 {
		return
	}
	q.speed.firstToken.add(float64(t.request.PromptTokens), outcome.FirstToken.Seconds())
	held := now.Sub(t.started)
	q.speed.service.add(held.Seconds())
	if t.request.OutputTokens > 0 && held >= outcome.FirstToken {
		q.speed.output.add(float64(t.request.OutputTokens))
		q.speed.decoding.add((held - outcome.FirstToken).Seconds())
	}
}

// Drain refuses all waiting requests and all later ones. Granted slots are kept.
func (q *SlotQueue) Drain(now time.Time) { q.RefuseAll(now, ReasonDraining, true) }

// RefuseAll refuses all waiting requests and, if closed is set, all later ones.
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
func (q *SlotQueue) Load(now time.Time) SlotLoad {
	q.mu.Lock()
	defer q.mu.Unlock()
	load := SlotLoad{
		Slots:       q.slots(),
		Running:     len(q.running) + q.externalRequests,
		FirstToken:  secondsToDuration(q.speed.firstToken.predict(ReferencePrompt)),
		SlotTime:    secondsToDuration(q.speed.service.value),
		FailureRate: q.failures.value,
		Draining:    q.draining,

		MemoryTokens: q.options.MemoryTokens, RunningTokens: q.runningTokens, ReadTokensPerSecond: q.promptRate.perSecond(now),
	}
	for _, t := range q.waiting {
		load.Waiting[t.request.Rank]++
	}
	return load
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// schedule refuses expired tickets and grants the free slots.
func (q *SlotQueue) schedule(now time.Time) {
	q.expire(now)
	for len(q.running)+q.externalRequests < q.slots() {
		t := q.next(now)
		if t == nil || q.pacer.wait(now, t.request.Rank, 0) > 0 {
			return
		}
		q.grant(now, t)
	}
}

// expire refuses the tickets whose first token can no longer arrive before the deadline or
// within LateHold of the objective.
func (q *SlotQueue) expire(now time.Time) {
	for i := 0; i < len(q.waiting); {
		t := q.waiting[i]
		reason := q.expiryReason(now, t)
		if reason == 0 {
			i++
			continue
		}
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.refuse(now, t, reason)
	}
}

// expiryReason returns why a waiting ticket can no longer be served, or 0.
func (q *SlotQueue) expiryReason(now time.Time, t *SlotTicket) Reason {
	switch {
	case q.exceedsRateLimit(now, t, 0):
		return ReasonRateLimit
	case !now.Add(q.expectedFirstToken(t)).Before(q.latestFirstToken(t)), q.exceedsOverloadWait(now, t), q.isOvertaken(now, t):
		return ReasonDeadline
	}
	return 0
}

func (t *SlotTicket) tokens() int {
	return int(t.request.PromptTokens) + int(t.request.OutputTokens)
}

func (q *SlotQueue) grant(now time.Time, t *SlotTicket) {
	q.remove(t)
	q.granted[t.request.Rank].add(now, 1)
	q.promptRate.add(now, float64(t.request.PromptTokens))
	t.state = stateRunning
	t.started = now
	q.pacer.take(now)
	q.running[t] = struct{}{}
	q.recentRunning.add(now, len(q.running))
	q.runningByRank[t.request.Rank]++
	q.occupancy[t.request.Rank].change(now, 1)
	q.runningTokens += t.tokens()
	close(t.decided)
}

func (q *SlotQueue) releaseSlot(now time.Time, t *SlotTicket) {
	delete(q.running, t)
	q.runningByRank[t.request.Rank]--
	q.occupancy[t.request.Rank].change(now, -1)
	q.runningTokens -= t.tokens()
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
	if reason == ReasonRateLimit || (reason == ReasonDeadline && q.pacer.limited() && len(q.running)+q.externalRequests < q.slots()) {
		// The rate limit kept the request waiting, not the slots, and the time until it allows one is known.
		t.refusal.RetryAfter = max(q.pacer.wait(now, t.request.Rank, q.ahead(now, t)), minRetryAfter)
	}
	close(t.decided)
}

// retryAfter returns the retry delay of a refused request. An overload is expected to last
// about as long as it has lasted already. The delay varies with the arrival number to avoid
// synchronized retries.
func (q *SlotQueue) retryAfter(now time.Time, t *SlotTicket) time.Duration {
	if now.Sub(q.lastRefusal) > overloadQuietPeriod {
		q.overloadSince = now
	}
	q.lastRefusal = now
	wait := min(max(now.Sub(q.overloadSince), minRetryAfter), maxSlotRetryAfter)
	jitter := 1 + retryJitter*(2*float64(t.arrival%retryJitterSteps)/(retryJitterSteps-1)-1)
	return time.Duration(jitter * float64(wait))
}
