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
	// comparisonSlices is the number of parts in which versions are compared over the same time.
	comparisonSlices = 12
	// minRouteFraction is the part of a service's requests from which on a route must be proven
	// by itself, and minRouteRequests the number of requests that this takes.
	minRouteFraction = 0.1
	minRouteRequests = 4
	// minBaselineRequests is the number of requests of other versions without which the target
	// isn't contained.
	minBaselineRequests = 60
	// containScore and proofScore are the standard errors by which the target's times must
	// rank above others' for a containment (a chance of 5e-4 for each look), and may rank
	// for a proof (0.05): taking a good version back is cheaper than going on with a bad one. A containment asks for more than one bucket (a third).
	containScore   = 3.3
	containBuckets = 1
	proofScore     = 1.7
	// maxRouteLead is the number of requests by which the evidence on one route may be ahead of
	// that on the route with the least.
	maxRouteLead = 2
	// sufficientRequests and sufficientRouteRequests are the numbers of requests, in all and on each
	// route, that are plenty to judge by.
	sufficientRequests      = 40
	sufficientRouteRequests = 10
)

// coverage tells how much evidence of the target is in.
type coverage struct {
	// ahead holds the routes on which it is more than on others.
	ahead map[string]bool
	// sufficient says that it suffices on all routes.
	sufficient bool
}

// measureCoverage sums up how much evidence of the target is in.
func (p *orderProgress) measureCoverage() coverage {
	all := p.evidence.Window(p.evidenceKey(false, allRoutes), evidenceWindow).GetRequests()
	seen := map[string]uint64{}
	least := uint64(sufficientRequests)
	for _, route := range p.routes() {
		seen[route] = p.evidence.Window(p.evidenceKey(true, route), evidenceWindow).GetRequests()
		if p.needsOwnEvidence(p.evidence.Window(p.evidenceKey(false, route), evidenceWindow).GetRequests(), all) {
			least = min(least, seen[route])
		}
	}
	result := coverage{ahead: map[string]bool{}}
	total := uint64(0)
	for route, n := range seen {
		result.ahead[route] = n > least+maxRouteLead
		total += n
	}
	result.sufficient = total >= sufficientRequests && least >= sufficientRouteRequests
	return result
}

// needsOwnEvidence reports whether a route has so many of all requests that it must be proven by itself.
func (p *orderProgress) needsOwnEvidence(requests, all uint64) bool {
	return float64(requests) >= minRouteFraction*float64(all)
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

// faultReason returns why the target is faulty on some route, or on all together, if it is.
func (p *orderProgress) faultReason(now time.Time) string {
	if reason := p.slowerReason(now, containBuckets, containScore); reason != "" {
		return reason
	}
	for _, route := range append(p.routes(), allRoutes) {
		old, target := p.evidenceKey(false, route), p.evidenceKey(true, route)
		seen := p.evidence.Window(target, evidenceWindow).GetRequests()
		if seen == 0 {
			continue
		}
		baseline := p.evidence.Window(old, evidenceWindow)
		if baseline.GetRequests() < minBaselineRequests {
			// What is usual isn't known yet, and the share is small.
			continue
		}
		for _, window := range judgeWindows {
			verdict := health.Judge(baseline, p.evidence.Window(target, window), containTolerance.After(seen))
			if verdict.Decision == health.Faulty && p.worseAtSameTime(old, target, window) {
				return withRoute(route, verdict.Reason)
			}
		}
	}
	return ""
}

// slowerReason returns why the target's times are longer than those of other versions on the same
// routes at the same time, if they are so by a number of standard errors.
func (p *orderProgress) slowerReason(now time.Time, bucketMargin int, limit float64) string {
	window := min(max(now.Sub(p.started), time.Second), evidenceWindow)
	var firstToken, interToken []health.Stratum
	for _, route := range p.routes() {
		old, target := p.evidence.Window(p.evidenceKey(false, route), window), p.evidence.Window(p.evidenceKey(true, route), window)
		firstToken = append(firstToken, health.Stratum{Old: old.GetFirstToken(), New: target.GetFirstToken()})
		interToken = append(interToken, health.Stratum{Old: old.GetInterToken(), New: target.GetInterToken()})
	}
	if score := health.SlowerScore(firstToken, bucketMargin); score > limit {
		return fmt.Sprintf("first events rank %.1f standard errors above those of other versions", score)
	}
	if score := health.SlowerScore(interToken, bucketMargin); score > limit {
		return fmt.Sprintf("paces rank %.1f standard errors above those of other versions", score)
	}
	return ""
}

func (p *orderProgress) worseAtSameTime(old, target health.Key, window time.Duration) bool {
	return health.WorseAtTheSameTime(p.evidence.Slices(old, window, comparisonSlices), p.evidence.Slices(target, window, comparisonSlices), sameTimeTolerance)
}

// assess decides whether requests may move to the target, and says why not.
func (p *orderProgress) assess(now time.Time) (health.Decision, string) {
	if reason := p.slowerReason(now, 0, proofScore); reason != "" {
		return health.Undecided, reason
	}
	all := p.evidence.Window(p.evidenceKey(false, allRoutes), evidenceWindow)
	target := p.evidence.Window(p.evidenceKey(true, allRoutes), evidenceWindow)
	if verdict := health.Judge(all, target, proofTolerance); verdict.Decision != health.Healthy {
		return verdict.Decision, reasonOrEvidence(verdict.Reason, describeEvidence(all, target))
	}
	// A version may have been good until lately.
	recent := p.evidence.Window(p.evidenceKey(true, allRoutes), judgeWindows[0])
	if verdict := health.Judge(all, recent, proofTolerance); verdict.Decision == health.Faulty {
		return verdict.Decision, "lately: " + verdict.Reason
	}
	if all.GetRequests() < proofTolerance.Requests() {
		return health.Undecided, "too little to compare with: " + describeEvidence(all, target)
	}
	for _, route := range p.routes() {
		old, target := p.evidence.Window(p.evidenceKey(false, route), evidenceWindow), p.evidence.Window(p.evidenceKey(true, route), evidenceWindow)
		if verdict := health.Judge(old, target, proofTolerance); verdict.Decision == health.Faulty {
			return verdict.Decision, withRoute(route, verdict.Reason)
		}
		if p.needsOwnEvidence(old.GetRequests(), all.GetRequests()) && target.GetRequests() < minRouteRequests {
			return health.Undecided, withRoute(route, "too little evidence: "+describeEvidence(old, target))
		}
	}
	return health.Healthy, describeEvidence(all, target)
}

func describeEvidence(old, target *lanepb.Evidence) string {
	return fmt.Sprintf("%d requests seen of the target (%d failed, %d broken), %d of others (%d failed, %d broken)",
		target.GetRequests(), target.GetErrors(), target.GetBadAnswers(), old.GetRequests(), old.GetErrors(), old.GetBadAnswers())
}

func reasonOrEvidence(reason, evidence string) string {
	if reason != "" {
		return reason
	}
	return "too little evidence: " + evidence
}

func withRoute(route, reason string) string {
	if route == allRoutes {
		return reason
	}
	return "route " + route + ": " + reason
}

// routes returns the routes on which requests were sent, here or by other entries.
func (p *orderProgress) routes() []string {
	var list []string
	for _, key := range p.evidence.Keys() {
		if key.Version == otherVersions && key.Route != allRoutes {
			list = append(list, key.Route)
		}
	}
	return list
}
