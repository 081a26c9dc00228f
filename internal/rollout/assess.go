package rollout

import (
	"fmt"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/health"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// evidenceWindow is the longest period over which evidence is evaluated.
	evidenceWindow = time.Minute
	// pairedSliceCount is the number of time slices in which versions are compared with each
	// other (health.WorseInPairedSlices).
	pairedSliceCount = 12
	// minRouteFraction is the fraction of a service's requests from which on a route needs
	// evidence of its own, and minRouteRequests the number of requests to the target that it
	// needs.
	minRouteFraction = 0.1
	minRouteRequests = 4
	// minBaselineRequests is the number of requests to other versions required before the
	// target can be contained.
	minBaselineRequests = 60
	// containScore and proofScore are thresholds, in standard errors, on how far the target's
	// times rank above those of other versions. Above containScore (a probability of 5e-4 for
	// each evaluation) the target is contained; above proofScore (0.05) it is not proven. The
	// threshold for containment is higher, and differences must exceed containBuckets histogram
	// buckets (a third each). A reversal of a healthy version costs less than completing a
	// faulty one.
	containScore   = 3.3
	containBuckets = 1
	proofScore     = 1.7
	// maxRouteLead is the number of requests by which the evidence on one route may exceed that
	// on the route with the least.
	maxRouteLead = 2
	// sufficientRequests and sufficientRouteRequests are the numbers of requests, in total and
	// on each route, that count as sufficient evidence.
	sufficientRequests      = 40
	sufficientRouteRequests = 10
)

// coverage is the amount of evidence collected about the target.
type coverage struct {
	// ahead holds the routes that have more evidence than others and get no trials for now.
	ahead map[string]bool
	// sufficient is set if the evidence suffices on all routes.
	sufficient bool
}

// measureCoverage computes the coverage from the evidence in the window.
func (p *orderProgress) measureCoverage() coverage {
	all := p.evidence.Window(p.evidenceKey(false, allRoutes), evidenceWindow).GetRequests()
	observed := map[string]uint64{}
	least := uint64(sufficientRequests)
	for _, route := range p.routes() {
		observed[route] = p.evidence.Window(p.evidenceKey(true, route), evidenceWindow).GetRequests()
		if p.needsOwnEvidence(p.evidence.Window(p.evidenceKey(false, route), evidenceWindow).GetRequests(), all) {
			least = min(least, observed[route])
		}
	}
	result := coverage{ahead: map[string]bool{}}
	total := uint64(0)
	for route, n := range observed {
		result.ahead[route] = n > least+maxRouteLead
		total += n
	}
	result.sufficient = total >= sufficientRequests && least >= sufficientRouteRequests
	return result
}

// needsOwnEvidence reports whether a route has such a large part of all requests that the
// target must be proven on it separately.
func (p *orderProgress) needsOwnEvidence(requests, all uint64) bool {
	return float64(requests) >= minRouteFraction*float64(all)
}

// evaluationWindows are the periods over which the target's evidence is evaluated: short ones detect
// a fault that has just begun, long ones a rare fault.
var evaluationWindows = []time.Duration{4 * time.Second, 12 * time.Second, evidenceWindow}

var (
	// containTolerance applies to each evaluation during a roll-out. A false alarm costs a
	// repeated order, while a missed fault harms callers.
	containTolerance = health.Tolerance{FalseAlarm: 1e-5, EarlyAlarm: 5e-3}
	// pairedTolerance applies to the comparison of versions in the same time slices.
	pairedTolerance = health.Tolerance{FalseAlarm: 1e-3}
	// proofTolerance applies to the single evaluation after which requests move to the target.
	proofTolerance = health.Tolerance{FalseAlarm: 1e-2, MinRequests: 24}
)

// faultReason returns why the target is faulty on some route or on all routes combined. It
// returns an empty string if no fault is found.
func (p *orderProgress) faultReason(now time.Time) string {
	if reason := p.slowerReason(now, containBuckets, containScore); reason != "" {
		return reason
	}
	for _, route := range append(p.routes(), allRoutes) {
		old, target := p.evidenceKey(false, route), p.evidenceKey(true, route)
		observed := p.evidence.Window(target, evidenceWindow).GetRequests()
		if observed == 0 {
			continue
		}
		baseline := p.evidence.Window(old, evidenceWindow)
		if baseline.GetRequests() < minBaselineRequests {
			// Too few requests to other versions for a comparison. The target's share is small
			// meanwhile.
			continue
		}
		for _, window := range evaluationWindows {
			verdict := health.Judge(baseline, p.evidence.Window(target, window), containTolerance.AfterRequests(observed))
			if verdict.Decision == health.Faulty && p.worseInPairedSlices(old, target, window) {
				return withRoute(route, verdict.Reason)
			}
		}
	}
	return ""
}

// slowerReason returns why the target's times are longer than those of other versions on the
// same routes at the same time, or an empty string if the score does not exceed the limit.
// Differences of up to bucketMargin histogram buckets are ignored.
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

// worseInPairedSlices reports whether the target performed worse than the other versions within the
// same time slices.
func (p *orderProgress) worseInPairedSlices(old, target health.Key, window time.Duration) bool {
	return health.WorseInPairedSlices(p.evidence.Slices(old, window, pairedSliceCount), p.evidence.Slices(target, window, pairedSliceCount), pairedTolerance)
}

// assess decides whether requests may move to the target. The text gives the reason or the
// evidence.
func (p *orderProgress) assess(now time.Time) (health.Decision, string) {
	if reason := p.slowerReason(now, 0, proofScore); reason != "" {
		return health.Undecided, reason
	}
	all := p.evidence.Window(p.evidenceKey(false, allRoutes), evidenceWindow)
	target := p.evidence.Window(p.evidenceKey(true, allRoutes), evidenceWindow)
	if verdict := health.Judge(all, target, proofTolerance); verdict.Decision != health.Healthy {
		return verdict.Decision, reasonOrEvidence(verdict.Reason, describeEvidence(all, target))
	}
	// The version may have become faulty only recently.
	recent := p.evidence.Window(p.evidenceKey(true, allRoutes), evaluationWindows[0])
	if verdict := health.Judge(all, recent, proofTolerance); verdict.Decision == health.Faulty {
		return verdict.Decision, "lately: " + verdict.Reason
	}
	if all.GetRequests() < proofTolerance.RequiredRequests() {
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

// routes returns the routes on which this entry or others have sent requests.
func (p *orderProgress) routes() []string {
	var list []string
	for _, key := range p.evidence.Keys() {
		if key.Version == otherVersions && key.Route != allRoutes {
			list = append(list, key.Route)
		}
	}
	return list
}
