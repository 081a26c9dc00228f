package routing

import (
	"slices"
	"time"
)

const (
	// activeRefreshAge is the age at which the load of a server in a pool with requests is
	// requested again.
	activeRefreshAge = time.Second
	// idleRefreshAge is the same for a pool that has had no request for activeWindow.
	idleRefreshAge = 30 * time.Second
	activeWindow   = 10 * time.Second
	// idleRefreshInterval is the minimum time between two load requests to pools without
	// requests.
	idleRefreshInterval = time.Second
)

// TakeStale returns up to limit backend servers of the subsets whose load report is outdated and
// was not requested recently, least recently requested first. It marks them as requested. Pools
// without requests are refreshed rarely, as no decision depends on their loads.
func (t *Table) TakeStale(limit int, now time.Time) []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var active, idle []*server
	for pool, subset := range t.subsets {
		if now.Sub(t.lastUsed[pool]) <= activeWindow {
			active = appendStale(active, subset, activeRefreshAge, now)
			continue
		}
		idle = appendStale(idle, subset, idleRefreshAge, now)
	}
	due := stalest(active, limit)
	if len(due) < limit && now.Sub(t.idleRequestedAt) >= idleRefreshInterval {
		due = append(due, stalest(idle, 1)...)
		t.idleRequestedAt = now
	}
	targets := make([]Target, len(due))
	for i, s := range due {
		s.requestedAt = now
		targets[i] = s.target
	}
	return targets
}

// appendStale appends the backend servers whose load report and last load request are older than
// age.
func appendStale(stale, subset []*server, age time.Duration, now time.Time) []*server {
	for _, s := range subset {
		if !s.leaving && now.Sub(s.loadReceivedAt) > age && now.Sub(s.requestedAt) > age {
			stale = append(stale, s)
		}
	}
	return stale
}

// stalest returns up to limit backend servers, least recently requested first.
func stalest(stale []*server, limit int) []*server {
	slices.SortFunc(stale, func(a, b *server) int { return a.requestedAt.Compare(b.requestedAt) })
	return stale[:min(len(stale), limit)]
}
