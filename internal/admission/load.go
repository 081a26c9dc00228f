package admission

import "time"

// maxReportedPrefixes bounds the number of prefixes in one load report.
const maxReportedPrefixes = 64

// Load is a snapshot of a queue's state.
type Load struct {
	Running int
	Queued  int
	// Limit is the current concurrency limit.
	Limit int
	// Work is the queued and running work, in prefill-equivalent tokens.
	Work uint64
	// WorkByRank is the work at or above each rank, up to the lowest rank in use.
	WorkByRank []uint64
	// TokensPerSecond is the estimated speed in prefill-equivalent tokens; 0 if unknown.
	TokensPerSecond float64
	// FloorRank is the lowest rank with queued tickets, or MaxRank if none are queued.
	FloorRank uint32
	Full      bool
	Draining  bool
	// Prefixes are the prefixes estimated to be cached, the most recently used first.
	Prefixes []uint64
}

// Load returns the state of the queue.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	load := Load{
		Running:         q.running,
		Queued:          q.queued,
		Limit:           q.limit(),
		TokensPerSecond: q.speed.slotWorkRate() * float64(q.limit()),
		FloorRank:       q.floorRank(),
		Full:            q.queued >= q.options.MaxQueued,
		Draining:        q.draining,
		Prefixes:        q.prefixes.recent(maxReportedPrefixes),
		WorkByRank:      q.workByRank(),
	}
	if last := len(load.WorkByRank) - 1; last >= 0 {
		load.Work = load.WorkByRank[last]
	}
	return load
}

func (q *Queue) workByRank() []uint64 {
	sums := make([]uint64, 0, MaxRank+1)
	total, ranks := 0.0, 0
	for rank, r := range q.tiers {
		work := r.work + q.runningWork[rank]
		if work > 0 {
			ranks = rank + 1
		}
		total += work
		sums = append(sums, uint64(max(0, total)))
	}
	return sums[:ranks]
}

// floorRank returns the lowest rank with queued tickets, or MaxRank if the queue is empty.
func (q *Queue) floorRank() uint32 {
	for rank := MaxRank; rank >= 0; rank-- {
		if q.tiers[rank].queued > 0 {
			return uint32(rank)
		}
	}
	return MaxRank
}

// slack returns how long a ticket may still wait to meet its deadline; negative if it is too
// late. The estimate uses the inter-token time of a batch without requests of the ticket's
// rank and below, because granting the ticket delays these first.
func (q *Queue) slack(now time.Time, t *Ticket) time.Duration {
	gap := q.speed.gap()
	if q.limiter != nil {
		gap = min(gap, q.limiter.expectedGap(q.runningAbove(t.request.Rank)))
	}
	return t.request.Deadline.Sub(now) - q.speed.requestDuration(t.prefill, t.request.OutputTokens, gap)
}

// runningAbove returns the number of running requests in tiers above rank.
func (q *Queue) runningAbove(rank uint32) int {
	above := 0
	for _, running := range q.activeByRank[:rank] {
		above += running
	}
	return above
}

func (q *Queue) feasible(now time.Time, t *Ticket) bool {
	return q.slack(now, t) >= 0
}

// retryAfter estimates the time until the work at or above a rank is done.
func (q *Queue) retryAfter(rank uint32) time.Duration {
	perSecond := q.speed.slotWorkRate() * float64(q.limit())
	if perSecond == 0 {
		return minRetryAfter
	}
	work := 0.0
	for above := uint32(0); above <= rank; above++ {
		work += q.tiers[above].work + q.runningWork[above]
	}
	wait := time.Duration(work / perSecond * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
