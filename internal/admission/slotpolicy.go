package admission

import (
	"math"
	"time"
)

// The policy of a SlotQueue: which request goes next, which may run beside what runs
// already, and which can't be served in time.
const (
	// startMargin is kept between the expected first token and the objective, for the
	// answer's way back and the spread of prefill times.
	startMargin = 40 * time.Millisecond
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
	// probeSlots is the number of requests at a time by which a failing engine is tried.
	probeSlots = 1
	// lastingOverload is how long requests must have been refused for an overload to count
	// as lasting.
	lastingOverload = time.Second
	// overloadWaitPart is the part of the time to its objective that a request of the lowest
	// tiers waits in a lasting overload.
	overloadWaitPart = 0.25
	// minOccupancy is the occupancy under which a tier counts as idle, in slots.
	minOccupancy = 0.05
)

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
	if len(q.waiting) == 0 && len(q.running)+q.outside < q.slots() && q.fits(now, t) {
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

// overstays reports whether a ticket of the lowest tiers has waited longer than it may in
// an overload: its caller had better hear soon that it has to come back.
func (q *SlotQueue) overstays(now time.Time, t *SlotTicket) bool {
	r := &t.request
	if r.Objective.IsZero() || r.LateHold > 0 || now.Sub(q.lastRefusal) > overloadPause || now.Sub(q.overloadSince) < lastingOverload {
		return false
	}
	return now.Sub(t.queued) > time.Duration(overloadWaitPart*float64(r.Objective.Sub(t.queued)))
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
	return int(floorPart * float64(q.slots()))
}

// slots returns the number of requests that may run at a time. An engine that failed as
// many requests in a row as it has slots gets one at a time until one is answered: what
// it says of its own health may be wrong.
func (q *SlotQueue) slots() int {
	if q.failedInRow >= q.options.Slots {
		return min(probeSlots, q.options.Slots)
	}
	return q.options.Slots
}

// slotsFor returns the slots that a tier and those below it may use together: what
// the higher tiers are known to need, and some more for their next requests, stays free.
func (q *SlotQueue) slotsFor(now time.Time, rank uint32) int {
	above := 0.0
	for higher := uint32(0); higher < rank; higher++ {
		above += q.occupied[higher].mean(now)
	}
	if above < minOccupancy {
		return q.slots()
	}
	reserve := int(math.Round(above + reserveSpread*math.Sqrt(above)))
	return max(q.slots()-reserve, q.floor(rank), 1)
}

// fits reports whether a ticket may run beside what runs already.
func (q *SlotQueue) fits(now time.Time, t *SlotTicket) bool {
	if most := q.options.MemoryTokens; most > 0 && len(q.running) > 0 && q.memory+t.tokens() > most {
		return false
	}
	if !q.sparesStreams(now, t) {
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
