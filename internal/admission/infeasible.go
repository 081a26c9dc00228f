package admission

import (
	"slices"
	"time"
)

const (
	// optimisticSpeedFactor scales the estimated speed in predictions of the waiting time, so that a
	// request that could still be served is not refused.
	optimisticSpeedFactor = 2
)

// refuseInfeasible refuses the queued tickets that cannot get a slot before their deadline
// because of the work that is scheduled before them.
func (q *Queue) refuseInfeasible(now time.Time) {
	speed := q.speed.slotWorkRate() * float64(q.limit()) * optimisticSpeedFactor
	if speed <= 0 {
		return
	}
	above := 0.0
	for _, r := range q.tiers {
		if r.queued > 0 {
			q.refuseInfeasibleInTier(now, r, speed, above/speed)
		}
		above += r.work
	}
}

// refuseInfeasibleInTier checks the tickets of one tier. The tier starts after delay seconds
// and then processes speed units of work per second.
func (q *Queue) refuseInfeasibleInTier(now time.Time, r *tier, speed, delay float64) {
	weights := 0.0
	for _, a := range r.accounts {
		if len(a.tickets) > 0 {
			weights += a.weight
		}
	}
	for _, a := range r.accounts {
		share := speed * a.weight / weights
		wait := delay
		for _, t := range a.ticketsByDeadline() {
			if q.slack(now, t) < time.Duration(wait*float64(time.Second)) {
				q.refuseQueued(t, ReasonDeadline)
				continue
			}
			wait += t.work / share
		}
	}
}

// ticketsByDeadline returns the queued tickets of an account in the order of their grants.
func (a *account) ticketsByDeadline() []*Ticket {
	tickets := slices.Clone(a.tickets)
	slices.SortFunc(tickets, func(x, y *Ticket) int {
		if ticketBefore(x, y) {
			return -1
		}
		return 1
	})
	return tickets
}
