package rollout

import (
	"fmt"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/health"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// evidenceWindow is the longest time over which evidence is read.
	evidenceWindow = time.Minute
	// sameTimeSlices is the number of parts in which versions are compared over the same time.
	sameTimeSlices = 12
	// routePart is the part of a service's requests from which on a route must be proven
	// by itself, and routeRequests the number of requests that this takes.
	routePart     = 0.1
	routeRequests = 4
	// baselineRequests is the number of requests of other versions without which the target
	// isn't contained.
	baselineRequests = 60
	// containScore and proofScore are the standard errors by which the target's times must
	// rank above others' for a containment (a chance of 5e-4 for each look), and may rank
	// for a proof (0.05): taking a good version back is cheaper than going on with a bad one. A containment asks for more than one bucket (a third).
	containScore   = 3.3
	containBuckets = 1
	proofScore     = 1.7
	// aheadBy is the number of requests by which the evidence on one route may be ahead of
	// that on the route with the least.
	aheadBy = 2
	// plentyRequests and plentyOnRoute are the numbers of requests, in all and on each
	// route, that are plenty to judge by.
	plentyRequests = 40
	plentyOnRoute  = 10
)

// coverage tells how much evidence of the target is in.
type coverage struct {
	// ahead holds the routes on which it is more than on others.
	ahead map[string]bool
	// plenty says that it suffices on all routes.
	plenty bool
}

// cover sums up how much evidence of the target is in.
func (c *course) cover() coverage {
	all := c.evidence.Window(c.key(false, allRoutes), evidenceWindow).GetRequests()
	seen := map[string]uint64{}
	least := uint64(plentyRequests)
	for _, route := range c.routes() {
		seen[route] = c.evidence.Window(c.key(true, route), evidenceWindow).GetRequests()
		if c.counts(c.evidence.Window(c.key(false, route), evidenceWindow).GetRequests(), all) {
			least = min(least, seen[route])
		}
	}
	result := coverage{ahead: map[string]bool{}}
	total := uint64(0)
	for route, n := range seen {
		result.ahead[route] = n > least+aheadBy
		total += n
	}
	result.plenty = total >= plentyRequests && least >= plentyOnRoute
	return result
}

// counts reports whether a route has so many of all requests that it must be proven by itself.
func (c *course) counts(requests, all uint64) bool {
	return float64(requests) >= routePart*float64(all)
}

// judgeWindows are the times over which the target's evidence is read: short ones for a
// fault that has just begun, long ones for a rare one.
var judgeWindows = []time.Duration{4 * time.Second, 12 * time.Second, evidenceWindow}

var (
	// containTolerance is for each look during a roll-out. A good version that is taken
	// back costs a repeat of the order, a bad one that goes on harms callers.
	containTolerance = health.Tolerance{FalseAlarm: 1e-5, EarlyAlarm: 5e-3}
	// sameTimeTolerance is for the comparison over the same time.
	sameTimeTolerance = health.Tolerance{FalseAlarm: 1e-3}
	// proofTolerance is for the one look by which requests move to the target.
	proofTolerance = health.Tolerance{FalseAlarm: 1e-2, MinRequests: 24}
)

// fault returns why the target is faulty on some route, or on all together, if it is.
func (c *course) fault(now time.Time) string {
	if reason := c.slower(now, containBuckets, containScore); reason != "" {
		return reason
	}
	for _, route := range append(c.routes(), allRoutes) {
		old, target := c.key(false, route), c.key(true, route)
		seen := c.evidence.Window(target, evidenceWindow).GetRequests()
		if seen == 0 {
			continue
		}
		baseline := c.evidence.Window(old, evidenceWindow)
		if baseline.GetRequests() < baselineRequests {
			// What is usual isn't known yet, and the share is small.
			continue
		}
		for _, window := range judgeWindows {
			verdict := health.Judge(baseline, c.evidence.Window(target, window), containTolerance.After(seen))
			if verdict.Decision == health.Faulty && c.worseNow(old, target, window) {
				return named(route, verdict.Reason)
			}
		}
	}
	return ""
}

// slower returns why the target's times are longer than those of other versions on the same
// routes at the same time, if they are so by a number of standard errors.
func (c *course) slower(now time.Time, fasterBy int, limit float64) string {
	window := min(max(now.Sub(c.began), time.Second), evidenceWindow)
	var first, pace []health.Stratum
	for _, route := range c.routes() {
		old, target := c.evidence.Window(c.key(false, route), window), c.evidence.Window(c.key(true, route), window)
		first = append(first, health.Stratum{Old: old.GetFirstToken(), New: target.GetFirstToken()})
		pace = append(pace, health.Stratum{Old: old.GetInterToken(), New: target.GetInterToken()})
	}
	if score := health.SlowerScore(first, fasterBy); score > limit {
		return fmt.Sprintf("first events rank %.1f standard errors above those of other versions", score)
	}
	if score := health.SlowerScore(pace, fasterBy); score > limit {
		return fmt.Sprintf("paces rank %.1f standard errors above those of other versions", score)
	}
	return ""
}

func (c *course) worseNow(old, target health.Key, window time.Duration) bool {
	return health.WorseAtTheSameTime(c.evidence.Slices(old, window, sameTimeSlices), c.evidence.Slices(target, window, sameTimeSlices), sameTimeTolerance)
}

// proof decides whether requests may move to the target, and says why not.
func (c *course) proof(now time.Time) (health.Decision, string) {
	if reason := c.slower(now, 0, proofScore); reason != "" {
		return health.Undecided, reason
	}
	all := c.evidence.Window(c.key(false, allRoutes), evidenceWindow)
	target := c.evidence.Window(c.key(true, allRoutes), evidenceWindow)
	if verdict := health.Judge(all, target, proofTolerance); verdict.Decision != health.Healthy {
		return verdict.Decision, reasonOr(verdict.Reason, evidenceOf(all, target))
	}
	// A version may have been good until lately.
	recent := c.evidence.Window(c.key(true, allRoutes), judgeWindows[0])
	if verdict := health.Judge(all, recent, proofTolerance); verdict.Decision == health.Faulty {
		return verdict.Decision, "lately: " + verdict.Reason
	}
	if all.GetRequests() < proofTolerance.Requests() {
		return health.Undecided, "too little to compare with: " + evidenceOf(all, target)
	}
	for _, route := range c.routes() {
		old, target := c.evidence.Window(c.key(false, route), evidenceWindow), c.evidence.Window(c.key(true, route), evidenceWindow)
		if verdict := health.Judge(old, target, proofTolerance); verdict.Decision == health.Faulty {
			return verdict.Decision, named(route, verdict.Reason)
		}
		if c.counts(old.GetRequests(), all.GetRequests()) && target.GetRequests() < routeRequests {
			return health.Undecided, named(route, "too little evidence: "+evidenceOf(old, target))
		}
	}
	return health.Healthy, evidenceOf(all, target)
}

func evidenceOf(old, target *lanepb.Evidence) string {
	return fmt.Sprintf("%d requests seen of the target (%d failed, %d broken), %d of others (%d failed, %d broken)",
		target.GetRequests(), target.GetErrors(), target.GetBadAnswers(), old.GetRequests(), old.GetErrors(), old.GetBadAnswers())
}

func reasonOr(reason, other string) string {
	if reason != "" {
		return reason
	}
	return "too little evidence: " + other
}

func named(route, reason string) string {
	if route == allRoutes {
		return reason
	}
	return "route " + route + ": " + reason
}

// routes returns the routes on which requests were sent, here or by other entries.
func (c *course) routes() []string {
	var list []string
	for _, key := range c.evidence.Keys() {
		if key.Version == otherVersions && key.Route != allRoutes {
			list = append(list, key.Route)
		}
	}
	return list
}
