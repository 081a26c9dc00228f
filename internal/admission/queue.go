package admission

import (
	"context"
	"sync"
	"time"
)

const (
	// defaultMaxQueued is the default of Options.MaxQueued.
	defaultMaxQueued = 512
	// defaultMaxConcurrency is the default of Options.MaxConcurrency.
	defaultMaxConcurrency = 256
	// defaultMaxPrefillTokens is the default of Options.MaxPrefillTokens.
	defaultMaxPrefillTokens = 16384
	// minRecheckInterval is the shortest interval between two deadline checks of a ticket.
	minRecheckInterval = 5 * time.Millisecond
	// headroomDuration is how long headroom is kept after a request of the top tier arrived.
	headroomDuration = 30 * time.Second
	// headroomDivisor sets the fraction (1/n) of the slots that is kept free for the top tier.
	headroomDivisor = 8
	// prefillHeadroomDivisor sets the fraction (1/n) of the prefill bound that lower tiers may use.
	prefillHeadroomDivisor = 2
	// overduePrefillFactor is the multiple of its expected time after which a prefill is ended.
	overduePrefillFactor = 2
	// minRetryAfter and maxRetryAfter bound the retry delay of a refusal.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Options configures a Queue. A zero field selects its default.
type Options struct {
	// MaxConcurrency bounds the number of granted and running requests.
	MaxConcurrency int
	// MaxQueued bounds the number of queued requests.
	MaxQueued int
	// MaxPrefillTokens bounds the number of prompt tokens in prefill at a time.
	MaxPrefillTokens int
	// AdaptiveLimit adapts the concurrency limit to the observed response times, up to MaxConcurrency.
	// Otherwise the limit is MaxConcurrency.
	AdaptiveLimit bool
}

// Queue is the admission queue of one backend server. It is safe for concurrent use.
type Queue struct {
	mu       sync.Mutex
	options  Options
	tiers    [MaxRank + 1]*tier
	queued   int
	arrivals uint64
	draining bool

	// limiter is nil if the concurrency limit is fixed.
	limiter *limiter
	// running is the number of granted and running requests.
	running        int
	runningWork    [MaxRank + 1]float64
	runningPrefill float64
	// paces holds for each rank the time per token that the running requests at or above it need.
	paces [MaxRank + 1]time.Duration
	// active holds the running tickets.
	active         map[*Ticket]struct{}
	activeByRank   [MaxRank + 1]int
	lastTopArrival time.Time

	speed    speedEstimate
	prefixes *prefixCache
	// idle is closed when no request is granted or running; nil if no caller of WaitIdle waits.
	idle chan struct{}
}

// NewQueue returns an empty queue.
func NewQueue(options Options) *Queue {
	if options.MaxConcurrency <= 0 {
		options.MaxConcurrency = defaultMaxConcurrency
	}
	if options.MaxQueued <= 0 {
		options.MaxQueued = defaultMaxQueued
	}
	if options.MaxPrefillTokens <= 0 {
		options.MaxPrefillTokens = defaultMaxPrefillTokens
	}
	q := &Queue{options: options, prefixes: newPrefixCache(), active: map[*Ticket]struct{}{}}
	if options.AdaptiveLimit {
		q.limiter = newLimiter(options.MaxConcurrency)
	}
	for rank := range q.tiers {
		q.tiers[rank] = newTier()
	}
	return q
}

// NewTicket returns a ticket for a request without queueing it.
func (q *Queue) NewTicket(now time.Time, request Request) *Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	request.Rank = min(request.Rank, MaxRank)
	if request.Rank == topRank {
		q.lastTopArrival = now
	}
	q.arrivals++
	t := &Ticket{request: request, decided: make(chan struct{}), arrival: q.arrivals}
	cached := min(q.prefixes.cachedTokens(request.Prefixes), request.PromptTokens)
	t.prefill = float64(request.PromptTokens - cached)
	t.work = max(1, t.prefill+outputTokenWork*float64(request.OutputTokens))
	return t
}

// Submit queues a new ticket. The ticket may be decided before Submit returns.
func (q *Queue) Submit(now time.Time, t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case t.state != stateNew:
	case q.draining:
		q.refuse(t, ReasonDraining)
	case !q.feasible(now, t):
		q.refuse(t, ReasonDeadline)
	default:
		t.state = stateQueued
		q.tiers[t.request.Rank].push(t)
		q.queued++
		q.schedule(now)
		q.shed()
	}
}

// Recheck refuses a queued ticket that can no longer meet its deadline. If the ticket stays
// queued, it returns the time until the next check.
func (q *Queue) Recheck(now time.Time, t *Ticket) (wait time.Duration, queued bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.state != stateQueued {
		return 0, false
	}
	slack := q.slack(now, t)
	if slack < 0 {
		q.refuseQueued(t, ReasonDeadline)
		return 0, false
	}
	return max(slack, minRecheckInterval), true
}

// Withdraw cancels a ticket whose request is not running, because its caller disconnected or
// its grant expired. It reports false if the ticket is running, finished or refused.
func (q *Queue) Withdraw(now time.Time, t *Ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch t.state {
	case stateNew:
		q.refuse(t, ReasonBarred)
	case stateQueued:
		q.refuseQueued(t, ReasonBarred)
		q.schedule(now)
	case stateGranted:
		t.refund()
		q.release(t)
		t.state = stateRefused
		q.schedule(now)
	default:
		return false
	}
	return true
}

// Start marks a granted request as dispatched to the backend server.
func (q *Queue) Start(now time.Time, t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.state != stateGranted {
		return
	}
	t.state = stateRunning
	t.started = now
	t.prefillAtStart = q.runningPrefill
	q.active[t] = struct{}{}
	q.activeByRank[t.request.Rank]++
	q.prefixes.use(t.request.Prefixes)
}

// Finish frees the slot of a running request. complete reports whether the response was
// complete; outputTokens is its number of output tokens, or 0 if unknown.
func (q *Queue) Finish(now time.Time, t *Ticket, complete bool, outputTokens uint32) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.state != stateRunning {
		return
	}
	if complete {
		q.speed.observeFinish(t, now, outputTokens)
	}
	if outputTokens > 0 {
		t.adjustCharge(outputTokens)
	}
	if complete && t.events == 0 && outputTokens > 0 {
		// The response was not streamed: its tokens took the time that remains after the prefill.
		decodeSeconds := now.Sub(t.started).Seconds() - q.speed.firstToken.predict(t.prefillAtStart)
		q.observeGap(now, time.Duration(max(0, decodeSeconds)*float64(time.Second)), float64(outputTokens))
	}
	q.release(t)
	delete(q.active, t)
	q.activeByRank[t.request.Rank]--
	t.state = stateFinished
	q.schedule(now)
}

// Tick ends overdue prefills, grants slots that have become available with the passage of time
// and refuses requests that have become infeasible.
func (q *Queue) Tick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.endOverduePrefills(now)
	q.schedule(now)
	q.refuseInfeasible(now)
}

// WaitIdle waits until no request is granted or running. It returns the error of ctx if that
// ends first.
func (q *Queue) WaitIdle(ctx context.Context) error {
	for {
		idle := q.idleSignal()
		if idle == nil {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// idleSignal returns a channel that is closed when the queue becomes idle, or nil if it is idle.
func (q *Queue) idleSignal() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running == 0 {
		return nil
	}
	if q.idle == nil {
		q.idle = make(chan struct{})
	}
	return q.idle
}

// schedule grants slots until the next ticket does not fit.
func (q *Queue) schedule(now time.Time) {
	for {
		t := q.next(now)
		if t == nil || !q.fits(now, t) {
			return
		}
		q.grant(t)
	}
}

// next returns the ticket to be granted next and refuses those that cannot meet their deadline.
func (q *Queue) next(now time.Time) *Ticket {
	for _, r := range q.tiers {
		for t := r.next(); t != nil; t = r.next() {
			if q.feasible(now, t) {
				return t
			}
			q.refuseQueued(t, ReasonDeadline)
		}
	}
	return nil
}

// fits reports whether a ticket may run alongside the running requests.
func (q *Queue) fits(now time.Time, t *Ticket) bool {
	slots, prefill := q.concurrencyFor(t.request.Rank), q.prefillBound()
	if t.request.Rank != topRank && now.Sub(q.lastTopArrival) < headroomDuration && !q.lastTopArrival.IsZero() {
		slots -= slots / headroomDivisor
		prefill /= prefillHeadroomDivisor
	}
	if q.running >= slots {
		if q.limiter != nil {
			q.limiter.limitReached = true
		}
		return false
	}
	return q.runningPrefill == 0 || q.runningPrefill+t.prefill <= prefill
}

func (q *Queue) grant(t *Ticket) {
	r := q.tiers[t.request.Rank]
	r.remove(t)
	r.charge(t)
	q.queued--
	q.running++
	q.runningWork[t.request.Rank] += t.work
	q.runningPrefill += t.prefill
	t.inPrefill = true
	t.state = stateGranted
	close(t.decided)
}

// release frees the slot of a granted or running ticket.
func (q *Queue) release(t *Ticket) {
	q.endPrefill(t)
	q.running--
	q.runningWork[t.request.Rank] -= t.work
	if q.running > 0 {
		return
	}
	q.runningPrefill = 0
	q.runningWork = [MaxRank + 1]float64{}
	if q.idle != nil {
		close(q.idle)
		q.idle = nil
	}
}

func (q *Queue) endPrefill(t *Ticket) {
	if !t.inPrefill {
		return
	}
	t.inPrefill = false
	q.runningPrefill = max(0, q.runningPrefill-t.prefill)
}
