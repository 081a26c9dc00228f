package admission

import (
	"math"
	"time"
)

// Scheduling policy of SlotQueue: the order of grants, the requests that may run together and
// the requests that cannot be served in time.
const (
	// objectiveMargin is kept between the expected first token and the objective, for the
	// response's network time and the variance of prefill times.
	objectiveMargin = 40 * time.Millisecond
	// occupancyTimeConstant is the time constant of a tier's mean occupancy.
	occupancyTimeConstant = 3 * time.Second
	// headroomStdDevs is the headroom kept free for higher tiers, in standard deviations of
	// their occupancy.
	headroomStdDevs = 0.35
	// reservedSlotShare is the share of the slots that lower tiers may use under any load.
	reservedSlotShare = 1.0 / 3
	// queuesPerRequest is the assumed number of queues in which a request waits at a time.
	queuesPerRequest = 3
	// meanRemainingShare is the mean remaining share of a running request's slot time.
	meanRemainingShare = 0.5
	// probeSlots is the number of concurrent requests that are sent to a failing engine.
	probeSlots = 1
	// sustainedOverload is how long requests must have been refused for an overload to count as
	// sustained.
	sustainedOverload = time.Second
	// overloadWaitShare is the share of the time to its objective that a request of the lowest
	// tiers may wait in a sustained overload.
	overloadWaitShare = 0.25
	// minOccupancy is the occupancy, in slots, below which tiers count as idle.
	minOccupancy = 0.05
)

// latestFirstToken returns the latest time of the first token for which a ticket may keep
// waiting.
func (q *SlotQueue) latestFirstToken(t *SlotTicket) time.Time {
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

// likelyInTime reports whether a new ticket is likely to get a slot in time after those with
// higher priority. These wait in other queues too and get most of their slots there.
func (q *SlotQueue) likelyInTime(now time.Time, t *SlotTicket) bool {
	if len(q.waiting) == 0 && len(q.running)+q.externalRequests < q.slots() && q.fits(now, t) {
		return true
	}
	ahead := q.ahead(now, t)
	slotTime := q.speed.service.value
	slots := float64(max(q.slotsFor(now, t.request.Rank), 1))
	wait := secondsToDuration(slotTime / slots * (float64(ahead)/queuesPerRequest + meanRemainingShare) / queuesPerRequest)
	return now.Add(wait + q.expectedFirstToken(t)).Before(q.latestFirstToken(t))
}

// ahead returns the number of waiting tickets that go before a ticket.
func (q *SlotQueue) ahead(now time.Time, t *SlotTicket) int {
	n := 0
	ownPriority := q.priority(now, t)
	for _, other := range q.waiting {
		if other != t && q.priority(now, other).before(ownPriority) {
			n++
		}
	}
	return n
}

// exceedsOverloadWait reports whether a ticket of the lowest tiers has waited longer than
// allowed in a sustained overload, in which an early refusal lets its caller retry sooner.
func (q *SlotQueue) exceedsOverloadWait(now time.Time, t *SlotTicket) bool {
	r := &t.request
	if r.Objective.IsZero() || r.LateHold > 0 || !q.overloaded(now) {
		return false
	}
	return now.Sub(t.queued) > time.Duration(overloadWaitShare*float64(r.Objective.Sub(t.queued)))
}

// expectedFirstToken returns the expected time from a grant to the first token.
func (q *SlotQueue) expectedFirstToken(t *SlotTicket) time.Duration {
	return secondsToDuration(q.speed.firstToken.predict(float64(t.request.PromptTokens)))
}

func (q *SlotQueue) meetsObjective(now time.Time, t *SlotTicket) bool {
	return t.request.Objective.IsZero() || now.Add(q.expectedFirstToken(t)+objectiveMargin).Before(t.aim())
}

// aim returns when the first token must come to be on time for the caller; zero if there is no objective.
func (t *SlotTicket) aim() time.Time {
	if t.request.Objective.IsZero() {
		return time.Time{}
	}
	return t.request.Objective.Add(-t.request.Age)
}

// next returns the ticket that gets the next free slot, or nil.
func (q *SlotQueue) next(now time.Time) *SlotTicket {
	var best *SlotTicket
	bestPriority := priority{}
	for _, t := range q.waiting {
		if !q.fits(now, t) {
			continue
		}
		if p := q.priority(now, t); best == nil || p.before(bestPriority) {
			best, bestPriority = t, p
		}
	}
	return best
}

// priority orders tickets: fields are compared in their order, and the smaller value goes first.
type priority struct {
	rank            uint32
	missesObjective bool
	// orderRate is what the slot yields in an overload; the larger one goes first.
	orderRate float64
	deadline  time.Time
	arrival   uint64
}

func (p priority) before(other priority) bool {
	switch {
	case p.rank != other.rank:
		return p.rank < other.rank
	case p.missesObjective != other.missesObjective:
		return !p.missesObjective
	case p.orderRate != other.orderRate:
		return p.orderRate > other.orderRate
	case !p.deadline.Equal(other.deadline):
		return p.deadline.Before(other.deadline)
	}
	return p.arrival < other.arrival
}

func (q *SlotQueue) priority(now time.Time, t *SlotTicket) priority {
	p := priority{missesObjective: !q.meetsObjective(now, t), rank: t.request.Rank, orderRate: q.orderRate(now, t), deadline: t.aim(), arrival: t.arrival}
	if t.request.Objective.IsZero() {
		p.deadline = t.request.Deadline
	}
	// Under a rate limit, slots are no measure of what a tier gets.
	if !p.missesObjective && !q.pacer.limited() && q.runningByRank[p.rank] < q.reservedSlots(p.rank) {
		p.rank = topRank
	}
	return p
}

// reservedSlots returns the number of slots that a lower tier may use under any load.
func (q *SlotQueue) reservedSlots(rank uint32) int {
	if rank == topRank {
		return 0
	}
	return int(reservedSlotShare * float64(q.slots()))
}

// slots returns the number of requests that may run concurrently. After as many consecutive
// failures as it has slots, an engine gets probeSlots requests at a time until one succeeds,
// because a failing engine may still report itself as healthy.
func (q *SlotQueue) slots() int {
	if q.consecutiveFailures >= q.options.Slots {
		return min(probeSlots, q.options.Slots)
	}
	return q.options.Slots
}

// slotsFor returns the number of slots that a tier and those below it may use together. The
// mean occupancy of the higher tiers and some headroom for their next requests stay free.
func (q *SlotQueue) slotsFor(now time.Time, rank uint32) int {
	occupied := 0.0
	for higher := uint32(0); higher < rank; higher++ {
		occupied += q.occupancy[higher].mean(now)
	}
	if occupied < minOccupancy {
		return q.slots()
	}
	headroom := int(math.Round(occupied + headroomStdDevs*math.Sqrt(occupied)))
	return max(q.slots()-headroom, q.reservedSlots(rank), 1)
}

// fits reports whether a ticket may run alongside the running requests.
func (q *SlotQueue) fits(now time.Time, t *SlotTicket) bool {
	if limit := q.options.MemoryTokens; limit > 0 && len(q.running) > 0 && q.runningTokens+t.tokens() > limit {
		return false
	}
	if !q.respectsMaxEventGap(now, t) {
		return false
	}
	runningAtOrBelow := 0
	for rank := t.request.Rank; rank <= MaxRank; rank++ {
		runningAtOrBelow += q.runningByRank[rank]
	}
	return t.request.Rank == topRank || runningAtOrBelow < q.slotsFor(now, t.request.Rank)
}

// occupancy is the exponentially decaying mean of the number of slots that a tier holds.
type occupancy struct {
	slots   int
	value   float64
	updated time.Time
}

func (o *occupancy) mean(now time.Time) float64 {
	if o.updated.IsZero() {
		return 0
	}
	weight := math.Exp(-now.Sub(o.updated).Seconds() / occupancyTimeConstant.Seconds())
	return float64(o.slots) + (o.value-float64(o.slots))*weight
}

func (o *occupancy) change(now time.Time, delta int) {
	o.value = o.mean(now)
	o.slots += delta
	o.updated = now
}
