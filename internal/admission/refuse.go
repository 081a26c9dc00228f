package admission

// Drain refuses all queued requests and all later ones. Granted and running requests continue.
func (q *Queue) Drain() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.draining = true
	q.refuseWhere(ReasonDraining, func(Request) bool { return true })
}

// Refuse refuses the queued requests that match.
func (q *Queue) Refuse(reason Reason, match func(Request) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refuseWhere(reason, match)
}

func (q *Queue) refuseWhere(reason Reason, match func(Request) bool) {
	for _, r := range q.tiers {
		for _, a := range r.accounts {
			for _, t := range append([]*Ticket(nil), a.tickets...) {
				if match(t.request) {
					q.refuseQueued(t, reason)
				}
			}
		}
	}
}

// shed refuses tickets while the queue exceeds its bound. It starts with the lowest tier, and
// within the tier with the newest ticket of the account with the most queued work for its
// weight.
func (q *Queue) shed() {
	for rank := MaxRank; rank >= 0; rank-- {
		for q.queued > q.options.MaxQueued && q.tiers[rank].queued > 0 {
			q.refuseQueued(q.tiers[rank].shedCandidate(), ReasonShed)
		}
	}
}

func (q *Queue) refuseQueued(t *Ticket, reason Reason) {
	q.tiers[t.request.Rank].remove(t)
	q.queued--
	q.refuse(t, reason)
}

func (q *Queue) refuse(t *Ticket, reason Reason) {
	t.state = stateRefused
	t.refusal = &RefusedError{Reason: reason, FloorRank: q.floorRank()}
	if reason == ReasonShed || reason == ReasonDeadline {
		t.refusal.RetryAfter = q.retryAfter(t.request.Rank)
	}
	close(t.decided)
}
