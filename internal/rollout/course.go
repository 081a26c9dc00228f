package rollout

import (
	"slices"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/health"
)

const (
	// trialPart is the part of the deployment's bound that an unproven version gets: the
	// rest is for the requests that move before the order is completed, and for what is
	// counted differently elsewhere.
	trialPart = 0.5
	// headStart is the part of the deployment's slack that trials may use at once, so that
	// a service with few requests comes by its evidence too.
	headStart = 0.3
	// movePart is the part of the deployment's bound that trials and moved requests may
	// use together before the order is completed.
	movePart = 0.85
	// completionMargin is left between the completion and the deadline, for a few calls to
	// the log. It is short: a version that turns bad counts up to the deadline.
	completionMargin = 800 * time.Millisecond
	// moveSlop is added to the time that requests of a route take, as decisions are taken
	// in turns.
	moveSlop = 200 * time.Millisecond
	// provenPart is the part of the deployment's bound that the target gets once there is
	// plenty of evidence: enough to see that it turns bad.
	provenPart = 0.4
	// longestMovePart bounds the time over which requests move, in parts of the order's.
	longestMovePart = 0.35
	// coldPart is the part of the order's time for which trials wait for a server that is
	// no longer slow from its start.
	coldPart = 0.4
	// trialPatience bounds the wait for a slot at a server of an unproven version.
	trialPatience = 60 * time.Millisecond
)

// course is how far one order has come, as this entry knows it.
type course struct {
	order Order
	// began is when the order was written, or seen first, at the latest.
	began time.Time
	// whole says that this process has counted since the order was written.
	whole bool
	// informed says that this entry knows whether the order has ended already.
	informed bool
	// state is the latest that is known to be recorded.
	state State
	// idle says that all servers had the target's version before the order.
	idle bool
	// stopped says why the target gets nothing more; empty: it may get requests.
	stopped string
	// stoppedAt is when that was decided or heard.
	stoppedAt time.Time
	// moving says that requests move to the target, as it was proven in time.
	moving bool

	// sends counts the requests sent to the service, trials those that the target was
	// chosen for.
	sends, trials uint64
	// routeSends counts the requests by route.
	routeSends map[string]uint64
	// seen tells how much of the target's evidence is in, on each route.
	seen coverage
	// moveScale shortens the times for which requests move, so that the bound suffices.
	moveScale float64
	evidence  *health.Collector
	told      *told
	flights   map[*Flight]bool
	durations map[string]*durations
	peers     map[string]*heard
	// due is when this entry may next try to record something.
	due time.Time
}

func newCourse(order Order, began time.Time, v *versions) *course {
	// Entries tell each other of what they see from now on.
	v.evidence.Take()
	return &course{
		order: order, began: began, evidence: v.evidence, durations: v.durations, told: &told{},
		routeSends: map[string]uint64{}, moveScale: 1, flights: map[*Flight]bool{}, peers: map[string]*heard{},
	}
}

func (c *course) deadline() time.Time { return c.began.Add(c.order.Duration) }

// completeAt is when the order is to be completed, if the target is good.
func (c *course) completeAt() time.Time { return c.deadline().Add(-completionMargin) }

// open reports whether the target is still on trial.
func (c *course) open() bool { return !c.state.Final() && !c.idle }

// moveFrom is when the first requests move, those of the route that takes longest.
func (c *course) moveFrom() time.Time {
	longest := moveSlop
	for route := range c.routeSends {
		longest = max(longest, c.takes(route))
	}
	return c.completeAt().Add(-longest)
}

// takes returns how long before the completion a route's requests move: so long that
// most of those which went to other servers before have ended by then.
func (c *course) takes(route string) time.Duration {
	d := c.durations[route]
	if d == nil {
		return moveSlop
	}
	longest := min(d.long()+moveSlop, time.Duration(longestMovePart*float64(c.order.Duration)))
	return time.Duration(c.moveScale * float64(longest))
}

// allowance returns how many requests a part of the deployment's bound is at this entry:
// its share of its own sends, and of the slack that all entries divide.
func (c *course) allowance(share, slack float64, bounds Bounds, entries int) float64 {
	allowed := share * bounds.Share * float64(c.sends)
	if c.whole {
		allowed += slack * bounds.Slack / float64(max(entries, 1))
	}
	return allowed
}

// mayTry reports whether a request may go to the unproven target.
func (c *course) mayTry(route string, bounds Bounds, entries int) bool {
	part := trialPart
	if c.seen.plenty {
		part = provenPart
	}
	return !c.seen.ahead[route] && float64(c.trials+1) <= c.allowance(part, headStart, bounds, entries)
}

// mayMove reports whether one more request may move to the target.
func (c *course) mayMove(route string, bounds Bounds, entries int, now time.Time) bool {
	if !c.moving || c.completeAt().Sub(now) > c.takes(route) {
		return false
	}
	return float64(c.trials+1) <= c.allowance(movePart, movePart, bounds, entries)
}

// planMove shortens the times for which requests move to what the bound suffices for.
func (c *course) planMove(bounds Bounds, entries int, now time.Time) {
	needed := 0.0
	for route, sends := range c.routeSends {
		needed += float64(sends) * c.takes(route).Seconds() / max(now.Sub(c.began).Seconds(), 1)
	}
	left := max(c.allowance(movePart, movePart, bounds, entries)-float64(c.trials), 0)
	if needed > left {
		c.moveScale = left / needed
	}
}

// warm returns the servers that are no longer slow from their start; all of them once
// the order's time runs out.
func (c *course) warm(target []fleet.Server, now time.Time) []fleet.Server {
	if now.Sub(c.began) > time.Duration(coldPart*float64(c.order.Duration)) {
		return target
	}
	var list []fleet.Server
	for _, server := range target {
		if now.After(server.ColdUntil) {
			list = append(list, server)
		}
	}
	return list
}

// durationsKept is the number of requests by which a route's duration is told.
const durationsKept = 64

// durations holds how long the latest requests of one route took.
type durations struct {
	times [durationsKept]time.Duration
	n     int
}

func (d *durations) add(took time.Duration) {
	d.times[d.n%durationsKept] = took
	d.n++
}

// longPart is the part of a route's requests that end within what counts as long.
const longPart = 0.9

// long returns a time that few requests exceed.
func (d *durations) long() time.Duration {
	n := min(d.n, durationsKept)
	if n == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d.times[:n]))
	return sorted[int(longPart*float64(n-1))]
}
