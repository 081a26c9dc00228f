package admission

import "time"

// SetRateLimit sets the rate limit of the backend server, in requests a second; 0 means none. All
// grants and the requests counted by CountRequest are kept within it.
func (q *SlotQueue) SetRateLimit(now time.Time, perSecond float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pacer.set(now, perSecond)
	q.schedule(now)
}

// CountRequest counts a request that is sent to the backend server without a slot.
func (q *SlotQueue) CountRequest(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pacer.take(now)
}

// RateLimitWait returns how long a further request must wait for the rate limit, after those that wait
// already.
func (q *SlotQueue) RateLimitWait(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pacer.wait(now, topRank, len(q.waiting))
}

// exceedsRateLimit reports whether the rate limit allows a ticket, after a number of others, only when
// its first token would come too late.
func (q *SlotQueue) exceedsRateLimit(now time.Time, t *SlotTicket, others int) bool {
	wait := q.pacer.wait(now, t.request.Rank, others)
	return wait > 0 && !now.Add(wait+q.expectedFirstToken(t)).Before(q.latestFirstToken(t))
}
