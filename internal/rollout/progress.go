package rollout

import (
	"slices"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/health"
)

const (
	// trialFraction is the fraction of the deployment's bounds that an unproven version may
	// use. The rest is reserved for requests that move before the order completes and for
	// differences between the counts of different entries.
	trialFraction = 0.5
	// initialSlackFraction is the fraction of the deployment's slack that trials may use
	// immediately, so that a service with few requests also collects evidence.
	initialSlackFraction = 0.3
	// moveFraction is the fraction of the deployment's bounds that trials and moved requests
	// together may use before the order completes.
	moveFraction = 0.85
	// completionMargin is the time between completion and the deadline, reserved for a few
	// calls to the log. It is short because requests to a version that becomes faulty count against
	// the bound until the deadline.
	completionMargin = 800 * time.Millisecond
	// moveMargin is added to the duration of a route's requests, because entries decide about
	// the move one after another in the order of their ranks.
	moveMargin = 200 * time.Millisecond
	// monitoringFraction is the fraction of the deployment's bounds that the target gets once
	// there is sufficient evidence. It suffices to detect a version that becomes faulty.
	monitoringFraction = 0.4
	// maxMoveFraction bounds the time over which requests move, as a fraction of the order's
	// duration.
	maxMoveFraction = 0.35
	// coldWaitFraction is the fraction of the order's duration during which trials only use
	// servers that have finished warming up.
	coldWaitFraction = 0.4
	// trialSlotWait bounds the wait for a slot at a server of an unproven version.
	trialSlotWait = 60 * time.Millisecond
)

// orderProgress is the progress of one order, as observed by this entry.
type orderProgress struct {
	order Order
	// started is an upper bound on when the order was written: the time at which it was first
	// seen, unless a peer or the record gives an earlier one.
	started time.Time
	// countedFromStart is set if this process has counted all its sends since the order was
	// written.
	countedFromStart bool
	// stateKnown is set once this entry has learned whether the order has already ended.
	stateKnown bool
	// state is the latest state known to be recorded.
	state State
	// noChange is set if the service already ran the target version when the order was given, or when this process
	// started.
	noChange bool
	// replacesTrial is set if noChange is, and servers of other versions were registered then. keptUntil is when their last
	// requests have ended.
	replacesTrial bool
	keptUntil     time.Time
	// aloneSince is since when only servers of the target are registered, or zero.
	aloneSince time.Time
	// unrevertedLogged is set once a reversal that can't be recorded has been logged.
	unrevertedLogged bool
	// stopReason is the reason for which the target gets no more requests. If empty, it may get
	// some.
	stopReason string
	// stoppedAt is when stopReason was set, by this entry's decision or by another entry's
	// report.
	stoppedAt time.Time
	// moving is set when the target was proven in time and requests move to it.
	moving bool

	// sends counts the requests sent to the service, trials those for which the target was
	// chosen.
	sends, trials uint64
	// routeSends counts the sends by route.
	routeSends map[string]uint64
	// coverage is the amount of evidence about the target on each route.
	coverage coverage
	// moveScale shortens the periods over which routes move so that the moved requests stay
	// within the bound.
	moveScale float64
	evidence  *health.Collector
	reported  *reportedEvidence
	inFlight  map[*Send]bool
	durations map[string]*durations
	peers     map[string]*peerEvidence
	// recordLostAt is set while the log may lack the state, because the store came back from an older copy.
	recordLostAt time.Time
	// nextRecord is the earliest time at which this entry tries to record a state again.
	nextRecord time.Time
}

func newOrderProgress(order Order, began time.Time, v *versions) *orderProgress {
	// Evidence collected before the order is discarded here: entries report only what they
	// observe from now on.
	v.evidence.Take()
	return &orderProgress{
		order: order, started: began, evidence: v.evidence, durations: v.durations, reported: &reportedEvidence{},
		routeSends: map[string]uint64{}, moveScale: 1, inFlight: map[*Send]bool{}, peers: map[string]*peerEvidence{},
	}
}

func (p *orderProgress) deadline() time.Time { return p.started.Add(p.order.Duration) }

// completeAt returns the time at which the order is completed if the target is healthy.
func (p *orderProgress) completeAt() time.Time { return p.deadline().Add(-completionMargin) }

// open reports whether the target is still on trial.
func (p *orderProgress) open() bool { return !p.state.Final() && !p.noChange }

// moveStart returns when the first requests move, which are those of the route with the longest
// requests.
func (p *orderProgress) moveStart() time.Time {
	longest := moveMargin
	for route := range p.routeSends {
		longest = max(longest, p.moveLead(route))
	}
	return p.completeAt().Add(-longest)
}

// moveLead returns how long before completion the requests of a route start to move. Most
// requests that were sent to other servers before then have ended by the completion.
func (p *orderProgress) moveLead(route string) time.Duration {
	d := p.durations[route]
	if d == nil {
		return moveMargin
	}
	longest := min(d.longDuration()+moveMargin, time.Duration(maxMoveFraction*float64(p.order.Duration)))
	return time.Duration(p.moveScale * float64(longest))
}

// allowance returns the number of sends to the target that given fractions of the deployment's
// bounds permit at this entry: a fraction of Share of its own sends, and an equal part of the
// slack, which all entries divide.
func (p *orderProgress) allowance(shareFraction, slackFraction float64, bounds Bounds, entries int) float64 {
	allowed := shareFraction * bounds.Share * float64(p.sends)
	if p.countedFromStart {
		allowed += slackFraction * bounds.Slack / float64(max(entries, 1))
	}
	return allowed
}

// mayTry reports whether a request of a route may be sent to the target as a trial.
func (p *orderProgress) mayTry(route string, bounds Bounds, entries int) bool {
	fraction := trialFraction
	if p.coverage.sufficient {
		fraction = monitoringFraction
	}
	return !p.coverage.ahead[route] && float64(p.trials+1) <= p.allowance(fraction, initialSlackFraction, bounds, entries)
}

// mayMove reports whether one more request of a route may move to the target.
func (p *orderProgress) mayMove(route string, bounds Bounds, entries int, now time.Time) bool {
	if !p.moving || p.completeAt().Sub(now) > p.moveLead(route) {
		return false
	}
	return float64(p.trials+1) <= p.allowance(moveFraction, moveFraction, bounds, entries)
}

// scaleMove sets moveScale so that the requests expected to move fit into the remaining
// allowance.
func (p *orderProgress) scaleMove(bounds Bounds, entries int, now time.Time) {
	needed := 0.0
	for route, sends := range p.routeSends {
		needed += float64(sends) * p.moveLead(route).Seconds() / max(now.Sub(p.started).Seconds(), 1)
	}
	left := max(p.allowance(moveFraction, moveFraction, bounds, entries)-float64(p.trials), 0)
	if needed > left {
		p.moveScale = left / needed
	}
}

// trialServers returns the target servers that have finished warming up, or all of them once
// coldWaitFraction of the order's duration has passed.
func (p *orderProgress) trialServers(target []fleet.Server, now time.Time) []fleet.Server {
	if now.Sub(p.started) > time.Duration(coldWaitFraction*float64(p.order.Duration)) {
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

// durationSamples is the number of recent requests from which a route's duration is estimated.
const durationSamples = 64

// durations is a ring buffer of the durations of a route's latest requests.
type durations struct {
	samples [durationSamples]time.Duration
	count   int
}

func (d *durations) add(duration time.Duration) {
	d.samples[d.count%durationSamples] = duration
	d.count++
}

// longQuantile is the quantile of the request durations that longDuration returns.
const longQuantile = 0.9

// longDuration returns a duration that few requests exceed, or 0 without samples.
func (d *durations) longDuration() time.Duration {
	n := min(d.count, durationSamples)
	if n == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d.samples[:n]))
	return sorted[int(longQuantile*float64(n-1))]
}
