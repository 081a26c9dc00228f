package rollout

import (
	"slices"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/health"
)

const (
	// trustDelay is how long a version without an order waits after its first server was seen.
	// If no order has been read by then, it is treated as an ordinary version of the service.
	trustDelay = 3 * time.Second
	// starvationDelay replaces trustDelay if no server of a trusted version is ready and the
	// orders cannot be read.
	starvationDelay = 6 * time.Second
)

// versions holds the versions of one service.
type versions struct {
	// trusted versions get requests without restriction.
	trusted map[string]bool
	// blocked versions get no requests. The value is the reason.
	blocked map[string]string
	// superseded holds the blocked versions whose order was superseded before this process learned how it ended.
	superseded map[string]bool
	// starvedSince is since when no server of a trusted version is ready, or zero.
	starvedSince time.Time
	// aliveAt holds when a server of each version was last known to be alive, by its answers or by the renewal of its
	// registration. It is cleared when the store comes back from an older copy.
	aliveAt map[string]time.Time
	// firstSeen holds when versions that are neither trusted nor blocked were first seen.
	firstSeen map[string]time.Time
	// progress is that of the newest order, nil if there is none.
	progress *orderProgress
	// past holds the earlier orders since the start of this process, the newest last.
	past []Order
	// evidence and durations are also collected without an order, because a trial needs a
	// baseline.
	evidence  *health.Collector
	durations map[string]*durations
}

func newVersions() *versions {
	return &versions{
		trusted: map[string]bool{}, blocked: map[string]string{}, superseded: map[string]bool{}, aliveAt: map[string]time.Time{}, firstSeen: map[string]time.Time{},
		evidence: health.NewCollector(health.CollectorOptions{}), durations: map[string]*durations{},
	}
}

// target returns the version on trial, if there is one.
func (v *versions) target() (string, bool) {
	if v.progress == nil || !v.progress.open() {
		return "", false
	}
	return v.progress.order.Target, true
}

// update processes the versions of the ready servers. All orders up to ordersReadUntil have
// been read. If it is zero, none have been read.
func (v *versions) update(ready []fleet.Server, ordersReadUntil, now time.Time) {
	target, onTrial := v.target()
	if len(v.trusted) == 0 && !ordersReadUntil.IsZero() {
		v.trustOldest(ready, target, onTrial)
	}
	noneTrusted := !v.anyTrusted(ready)
	switch {
	case !noneTrusted:
		v.starvedSince = time.Time{}
	case v.starvedSince.IsZero():
		v.starvedSince = now
	}
	for _, server := range ready {
		version := server.Version
		if noneTrusted && v.superseded[version] && now.Sub(v.starvedSince) >= soleVersionTime {
			// Its order was completed: the servers that it replaced are gone.
			v.trust(version)
		}
		if v.trusted[version] || v.blocked[version] != "" || (onTrial && version == target) {
			continue
		}
		first, seen := v.firstSeen[version]
		switch {
		case !seen:
			v.firstSeen[version] = now
		case ordersReadUntil.Sub(first) >= trustDelay, noneTrusted && !onTrial && now.Sub(first) >= starvationDelay:
			delete(v.firstSeen, version)
			v.trusted[version] = true
		}
	}
}

// trustOldest trusts the version of the longest-running server that is not of a blocked version or one on trial.
// Without other information, that is the version that the service runs.
func (v *versions) trustOldest(ready []fleet.Server, target string, onTrial bool) {
	if oldest := oldestServer(ready, func(s fleet.Server) bool { return v.blocked[s.Version] == "" && (!onTrial || s.Version != target) }); oldest != nil {
		v.trusted[oldest.Version] = true
	}
}

func oldestServer(list []fleet.Server, match func(fleet.Server) bool) *fleet.Server {
	var oldest *fleet.Server
	for i, server := range list {
		switch {
		case !match(server):
		case oldest == nil, server.StartedAt.Before(oldest.StartedAt), server.StartedAt.Equal(oldest.StartedAt) && server.Version < oldest.Version:
			oldest = &list[i]
		}
	}
	return oldest
}

func (v *versions) anyTrusted(ready []fleet.Server) bool {
	for _, server := range ready {
		if v.trusted[server.Version] {
			return true
		}
	}
	return false
}

// trustedServers returns the servers that get requests without restriction. Before the orders
// have been read, these are the servers of the longest-running version.
func (v *versions) trustedServers(ready []fleet.Server) []fleet.Server {
	trusted := v.trusted
	if len(trusted) == 0 {
		if oldest := oldestServer(ready, func(s fleet.Server) bool { return v.blocked[s.Version] == "" }); oldest != nil {
			trusted = map[string]bool{oldest.Version: true}
		}
	}
	var list []fleet.Server
	for _, server := range ready {
		if trusted[server.Version] {
			list = append(list, server)
		}
	}
	return list
}

// applyFinalState trusts or blocks the target according to how its order ended.
func (v *versions) applyFinalState(p *orderProgress) {
	target := p.order.Target
	if p.state == StateCompleted {
		v.trust(target)
		return
	}
	v.block(target, "its roll-out was reverted")
}

// trust lets a version get requests without restriction.
func (v *versions) trust(version string) {
	delete(v.blocked, version)
	delete(v.superseded, version)
	delete(v.firstSeen, version)
	v.trusted[version] = true
}

// recordAlive records that a server of a version was alive at a time.
func (v *versions) recordAlive(version string, at time.Time) {
	if at.After(v.aliveAt[version]) {
		v.aliveAt[version] = at
	}
}

// readAgain reports whether an order of a later era of the store is one that is known: the current one, which the
// operator may have written again under another number, or an earlier one, which the copy holds as the newest.
func (v *versions) readAgain(order Order, now time.Time) bool {
	p := v.progress
	if order.ID>>orderEraShift <= p.order.ID>>orderEraShift {
		return false
	}
	if order.Target == p.order.Target {
		if !sameOrder(order.ID, p.order.ID) && p.state != StateNone {
			// The recorded state names the earlier number.
			p.recordLostAt = now
		}
		p.order.ID = order.ID
		return true
	}
	return slices.ContainsFunc(v.past, func(known Order) bool {
		return known.Target == order.Target && sameOrder(known.ID, order.ID)
	})
}

// block stops all requests to a version. A later order of the version lifts the block.
func (v *versions) block(version, reason string) {
	delete(v.trusted, version)
	delete(v.firstSeen, version)
	delete(v.superseded, version)
	v.blocked[version] = reason
}
