package rollout

import (
	"slices"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/health"
)

const (
	// trialFraction is the part of the deployment's bound that an unproven version gets: the
	// rest is for the requests that move before the order is completed, and for what is
	// counted differently elsewhere.
	trialFraction = 0.5
	// initialSlackFraction is the part of the deployment's slack that trials may use at once, so that
	// a service with few requests comes by its evidence too.
	initialSlackFraction = 0.3
	// moveFraction is the part of the deployment's bound that trials and moved requests may
	// use together before the order is completed.
	moveFraction = 0.85
	// completionMargin is left between the completion and the deadline, for a few calls to
	// the log. It is short: a version that turns bad counts up to the deadline.
	completionMargin = 800 * time.Millisecond
	// moveMargin is added to the time that requests of a route take, as decisions are taken
	// in turns.
	moveMargin = 200 * time.Millisecond
	// monitoringFraction is the part of the deployment's bound that the target gets once there is
	// plenty of evidence: enough to see that it turns bad.
	monitoringFraction = 0.4
	// maxMoveFraction bounds the time over which requests move, in parts of the order's.
	maxMoveFraction = 0.35
	// coldWaitFraction is the part of the order's time for which trials wait for a server that is
	// no longer slow from its start.
	coldWaitFraction = 0.4
	// trialSlotWait bounds the wait for a slot at a server of an unproven version.
	trialSlotWait = 60 * time.Millisecond
)

// orderProgress is how far one order has come, as this entry knows it.
type orderProgress struct {
	order Order
	// started is when the order was written, or seen first, at the latest.
	started time.Time
	// countedFromStart says that this process has counted since the order was written.
	countedFromStart bool
	// stateKnown says that this entry knows whether the order has ended already.
	stateKnown bool
	// state is the latest that is known to be recorded.
	state State
	// noChange says that all servers had the target's version before the order.
	noChange bool
	// stopReason says why the target gets nothing more; empty: it may get requests.
	stopReason string
	// stoppedAt is when that was decided or heard.
	stoppedAt time.Time
	// moving says that requests move to the target, as it was proven in time.
	moving bool

	// sends counts the requests sent to the service, trials those that the target was
	// chosen for.
	sends, trials uint64
	// routeSends counts the requests by route.
	routeSends map[string]uint64
	// coverage tells how much of the target's evidence is in, on each route.
	coverage coverage
	// moveScale shortens the times for which requests move, so that the bound suffices.
	moveScale float64
	evidence  *health.Collector
	reported  *reportedEvidence
	inFlight  map[*Flight]bool
	durations map[string]*durations
	peers     map[string]*peerEvidence
	// nextRecord is when this entry may next try to record something.
	nextRecord time.Time
}

func newOrderProgress(order Order, began time.Time, v *versions) *orderProgress {
	// Entries tell each other of what they see from now on.
	v.evidence.Take()
	return &orderProgress{
		order: order, started: began, evidence: v.evidence, durations: v.durations, reported: &reportedEvidence{},
		routeSends: map[string]uint64{}, moveScale: 1, inFlight: map[*Flight]bool{}, peers: map[string]*peerEvidence{},
	}
}

func (p *orderProgress) deadline() time.Time { return p.started.Add(p.order.Duration) }

// completeAt is when the order is to be completed, if the target is good.
func (p *orderProgress) completeAt() time.Time { return p.deadline().Add(-completionMargin) }

// open reports whether the target is still on trial.
func (p *orderProgress) open() bool { return !p.state.Final() && !p.noChange }

// moveStart is when the first requests move, those of the route that takes longest.
func (p *orderProgress) moveStart() time.Time {
	longest := moveMargin
	for route := range p.routeSends {
		longest = max(longest, p.moveLead(route))
	}
	return p.completeAt().Add(-longest)
}

// moveLead returns how long before the completion a route's requests move: so long that
// most of those which went to other servers before have ended by then.
func (p *orderProgress) moveLead(route string) time.Duration {
	d := p.durations[route]
	if d == nil {
		return moveMargin
	}
	longest := min(d.longDuration()+moveMargin, time.Duration(maxMoveFraction*float64(p.order.Duration)))
	return time.Duration(p.moveScale * float64(longest))
}

// allowance returns how many requests a part of the deployment's bound is at this entry:
// its share of its own sends, and of the slack that all entries divide.
func (p *orderProgress) allowance(shareFraction, slackFraction float64, bounds Bounds, entries int) float64 {
	allowed := shareFraction * bounds.Share * float64(p.sends)
	if p.countedFromStart {
		allowed += slackFraction * bounds.Slack / float64(max(entries, 1))
	}
	return allowed
}

// mayTry reports whether a request may go to the unproven target.
func (p *orderProgress) mayTry(route string, bounds Bounds, entries int) bool {
	fraction := trialFraction
	if p.coverage.sufficient {
		fraction = monitoringFraction
	}
	return !p.coverage.ahead[route] && float64(p.trials+1) <= p.allowance(fraction, initialSlackFraction, bounds, entries)
}

// mayMove reports whether one more request may move to the target.
func (p *orderProgress) mayMove(route string, bounds Bounds, entries int, now time.Time) bool {
	if !p.moving || p.completeAt().Sub(now) > p.moveLead(route) {
		return false
	}
	return float64(p.trials+1) <= p.allowance(moveFraction, moveFraction, bounds, entries)
}

// scaleMove shortens the times for which requests move to what the bound suffices for.
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

// warmServers returns the servers that are no longer slow from their start; all of them once
// the order's time runs out.
func (p *orderProgress) warmServers(target []fleet.Server, now time.Time) []fleet.Server {
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

// durationSamples is the number of requests by which a route's duration is told.
const durationSamples = 64

// durations holds how long the latest requests of one route took.
type durations struct {
	samples [durationSamples]time.Duration
	count   int
}

func (d *durations) add(duration time.Duration) {
	d.samples[d.count%durationSamples] = duration
	d.count++
}

// longQuantile is the part of a route's requests that end within what counts as long.
const longQuantile = 0.9

// longDuration returns a time that few requests exceed.
func (d *durations) longDuration() time.Duration {
	n := min(d.count, durationSamples)
	if n == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d.samples[:n]))
	return sorted[int(longQuantile*float64(n-1))]
}
