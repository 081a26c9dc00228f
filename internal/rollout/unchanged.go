package rollout

import (
	"slices"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
)

// runsAlready reports whether a service runs the target of an order: the target is trusted, and no other version with
// servers is. Servers of other versions may be left of a roll-out that was reverted, or that the order ends.
func (c *Controller) runsAlready(v *versions, order Order, now time.Time) bool {
	return v.trusted[order.Target] && !slices.ContainsFunc(c.otherServers(order, now), func(s fleet.Server) bool { return v.trusted[s.Version] })
}

// otherServers returns the registered servers of other versions than the target of an order.
func (c *Controller) otherServers(order Order, now time.Time) []fleet.Server {
	return otherVersionServers(c.options.Registered(order.Service, now), order.Target)
}

// keepRunning lets the target of an order go on serving the service. The other versions, whose servers the platform ends
// at the completion, get no more requests. The order is completed once their last requests have ended. The caller holds
// c.mu.
func (c *Controller) keepRunning(v *versions, p *orderProgress, now time.Time) {
	p.noChange = true
	v.trust(p.order.Target)
	others := c.otherServers(p.order, now)
	if len(others) == 0 {
		return
	}
	for _, server := range others {
		if v.blocked[server.Version] == "" {
			v.block(server.Version, "the running version was ordered")
		}
	}
	longest := moveMargin
	for route := range v.durations {
		longest = max(longest, p.moveLead(route))
	}
	p.replacesTrial, p.keptUntil = true, p.started.Add(longest)
	c.options.Logger.Info().Str("service", p.order.Service).Str("target", p.order.Target).Uint64("order", p.order.ID).
		Int("servers_of_others", len(others)).Dur("completion_in_ms", p.keptUntil.Sub(now)).Str("outcome", "kept").Msg("roll-out")
}

// applyEarlierRecord processes the newest record of a service if it is of an earlier order than the current one, of which
// nothing is recorded yet. A process that has started after both orders learns from it which version the service runs: the
// target of the current order, if that was serving before the earlier order was given, which wasn't completed. Another one
// learns that the earlier order was completed before the current one reached all processes.
func (c *Controller) applyEarlierRecord(v *versions, p *orderProgress, record Record, now time.Time) {
	if p.replacesTrial && record.State == StateCompleted && record.Target != p.order.Target && !p.state.Final() {
		c.yieldTo(v, p, record.Target)
		return
	}
	if p.countedFromStart || p.noChange || p.state != StateNone || record.Target == p.order.Target || record.Order == 0 || record.Order >= p.order.ID {
		return
	}
	if record.State == StateCompleted || !ranBefore(c.options.Registered(p.order.Service, now), p.order.Target, record) {
		return
	}
	c.keepRunning(v, p, now)
}

// ranBefore reports whether a server of a version is older than an order, given a record of it.
func ranBefore(servers []fleet.Server, version string, record Record) bool {
	oldest := oldestServer(servers, func(s fleet.Server) bool { return s.Version == version })
	if oldest == nil {
		return false
	}
	if !record.FirstSeen.IsZero() {
		return oldest.StartedAt.Before(record.FirstSeen)
	}
	target := oldestServer(servers, func(s fleet.Server) bool { return s.Version == record.Target })
	return target == nil || oldest.StartedAt.Before(target.StartedAt)
}

// mayComplete reports whether an order of the version that runs may be recorded as completed, which ends the servers of
// all others: only if a server of the target was alive since the order.
func (v *versions) mayComplete(p *orderProgress) bool {
	return !p.replacesTrial || v.aliveAt[p.order.Target].After(p.started)
}

// yieldTo lets another version run the service: its order was completed before the one of the version that was taken for
// the running one, as another process has recorded. The caller holds c.mu.
func (c *Controller) yieldTo(v *versions, p *orderProgress, version string) {
	p.noChange, p.replacesTrial = false, false
	delete(v.trusted, p.order.Target)
	v.trust(version)
	c.options.Logger.Warn().Str("service", p.order.Service).Str("target", p.order.Target).Uint64("order", p.order.ID).
		Str("running", version).Str("outcome", "not kept").Msg("roll-out")
}
