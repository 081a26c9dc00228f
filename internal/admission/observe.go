package admission

import "time"

// RecordEvents records that events of a running request's response arrived, each with at
// least one output token. The first call ends the request's prefill.
func (q *Queue) RecordEvents(now time.Time, t *Ticket, events int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.state != stateRunning {
		return
	}
	if t.events == 0 {
		q.observeFirstToken(now, t)
	} else {
		q.observeGap(now, now.Sub(t.lastEvent), q.speed.tokensIn(events))
	}
	t.lastEvent = now
	t.events += events
}

// observeGap updates the speed estimate with the time that tokens of one request took.
func (q *Queue) observeGap(now time.Time, gap time.Duration, tokens float64) {
	mean, ended := q.speed.observeGap(now, gap, tokens)
	if !ended || q.limiter == nil {
		return
	}
	q.updatePaces(now)
	q.limiter.update(mean, q.running, q.paces[topRank])
	q.schedule(now)
}

// updatePaces computes for each rank the time per remaining output token of the most urgent
// running request at or above it.
func (q *Queue) updatePaces(now time.Time) {
	for rank := range q.paces {
		q.paces[rank] = maxPace
	}
	for t := range q.active {
		if t.events == 0 {
			continue
		}
		remaining := max(1, int(t.request.OutputTokens)-int(q.speed.tokensIn(t.events)))
		rank := t.request.Rank
		q.paces[rank] = min(q.paces[rank], t.request.Deadline.Sub(now)/time.Duration(remaining))
	}
	for rank := 1; rank <= MaxRank; rank++ {
		q.paces[rank] = min(q.paces[rank], q.paces[rank-1])
	}
}

func (q *Queue) observeFirstToken(now time.Time, t *Ticket) {
	q.speed.observeFirstToken(t, now)
	if q.limiter != nil {
		q.limiter.observeFirstToken(t.prefillAtStart, now.Sub(t.started))
	}
	q.endPrefill(t)
	q.schedule(now)
}

// limit returns the current concurrency limit.
func (q *Queue) limit() int {
	if q.limiter == nil {
		return q.options.MaxConcurrency
	}
	return q.limiter.value()
}

// prefillBound returns the maximum number of prompt tokens in prefill at a time.
func (q *Queue) prefillBound() float64 {
	maxTokens := float64(q.options.MaxPrefillTokens)
	if q.limiter == nil {
		return maxTokens
	}
	perToken := q.speed.firstToken.slope()
	if perToken <= 0 {
		return maxTokens
	}
	bound := firstTokenTarget.Seconds() / prefillTimeDivisor / perToken
	return min(maxTokens, max(minPrefillTokens, bound))
}

// endOverduePrefills ends the prefills that have exceeded their expected time, because a
// response that is not streamed does not report its first token.
func (q *Queue) endOverduePrefills(now time.Time) {
	for t := range q.active {
		expected := firstTokenTarget.Seconds()
		if fitted := q.speed.firstToken.predict(t.prefillAtStart); fitted > 0 {
			expected = overduePrefillFactor * fitted
		}
		if t.inPrefill && now.Sub(t.started).Seconds() > expected {
			q.endPrefill(t)
		}
	}
}

// concurrencyFor returns the concurrency up to which a rank may be granted slots, so that the
// running requests above it keep their pace.
func (q *Queue) concurrencyFor(rank uint32) int {
	if q.limiter == nil || rank == topRank || q.paces[rank-1] == 0 {
		return q.limit()
	}
	return min(q.limit(), max(minLimit, int(q.limiter.requestsAtPace(q.paces[rank-1]))))
}
