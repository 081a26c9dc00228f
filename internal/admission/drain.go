package admission

import (
	"math"
	"time"
)

const (
	// grantTimeConstant is the time constant of the rate at which a tier's tickets get slots.
	grantTimeConstant = time.Second
	// backlogAge is the waiting time of a tier's oldest ticket above which the tier is backlogged.
	// Below it, tickets get slots as fast as they arrive, so their rate says nothing about
	// capacity.
	backlogAge = 100 * time.Millisecond
)

// grantRate is an exponentially decaying rate, such as that at which the tickets of a tier get a slot.
type grantRate struct {
	// count is the number of tickets or tokens, decayed up to updated.
	count   float64
	updated time.Time
}

func (g *grantRate) add(now time.Time, n float64) {
	g.count = g.decayed(now) + n
	g.updated = now
}

func (g *grantRate) decayed(now time.Time) float64 {
	if g.updated.IsZero() {
		return 0
	}
	return g.count * math.Exp(-now.Sub(g.updated).Seconds()/grantTimeConstant.Seconds())
}

// perSecond returns the rate per second.
func (g *grantRate) perSecond(now time.Time) float64 {
	return g.decayed(now) / grantTimeConstant.Seconds()
}

// backlog returns the number of waiting tickets of a tier that can still meet their objective, and
// whether the tier is backlogged.
func (q *SlotQueue) backlog(now time.Time, rank uint32) (waiting int, backlogged bool) {
	for _, t := range q.waiting {
		if t.request.Rank != rank || !q.meetsObjective(now, t) {
			continue
		}
		waiting++
		backlogged = backlogged || now.Sub(t.queued) >= backlogAge
	}
	return waiting, backlogged
}

// expectsTimelySlot reports whether a new ticket of a backlogged tier is likely to get a slot before
// its objective is missed, at the rate at which tickets of its tier have got one recently. Tickets
// without a late hold are accepted: in an overload they wait for a part of their objective only (see
// exceedsOverloadWait).
func (q *SlotQueue) expectsTimelySlot(now time.Time, t *SlotTicket) bool {
	if t.request.Objective.IsZero() || t.request.LateHold <= 0 || !q.meetsObjective(now, t) {
		return true
	}
	if _, backlogged := q.backlog(now, t.request.Rank); !backlogged {
		return true
	}
	waiting := q.aheadInTier(now, t)
	left := t.aim().Sub(now) - q.expectedFirstToken(t)
	return float64(waiting+1) <= q.drainPerSecond(now, t.request.Rank)*left.Seconds()
}

// aheadInTier returns the number of waiting tickets of a ticket's tier that can meet their objective and go before it.
func (q *SlotQueue) aheadInTier(now time.Time, t *SlotTicket) int {
	n := 0
	own := q.priority(now, t)
	for _, other := range q.waiting {
		if other != t && other.request.Rank == t.request.Rank && q.meetsObjective(now, other) && q.priority(now, other).before(own) {
			n++
		}
	}
	return n
}

// drainPerSecond returns the rate at which tickets of a tier can be expected to get slots: its own
// recent rate, and that of lower tiers but for the slots reserved for them.
func (q *SlotQueue) drainPerSecond(now time.Time, rank uint32) float64 {
	lower := 0.0
	for other := rank + 1; other <= MaxRank; other++ {
		lower += q.granted[other].perSecond(now)
	}
	return q.granted[rank].perSecond(now) + (1-reservedSlotShare)*lower
}

// isOvertaken reports whether a ticket that has missed its objective has no prospect of a slot,
// because tickets of its tier that can meet theirs go first and are backlogged.
func (q *SlotQueue) isOvertaken(now time.Time, t *SlotTicket) bool {
	if t.request.Objective.IsZero() || q.meetsObjective(now, t) {
		return false
	}
	_, backlogged := q.backlog(now, t.request.Rank)
	return backlogged
}
