package backpressure

import (
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
)

// Tracker holds what backend servers ask for. It is safe for concurrent use. A nil Tracker holds
// nothing.
type Tracker struct {
	options Options

	mu      sync.Mutex
	servers map[fleet.Incarnation]*state
}

// New returns a Tracker that knows of no requests of backend servers.
func New(options Options) *Tracker {
	return &Tracker{options: options, servers: map[fleet.Incarnation]*state{}}
}

// Record records what a backend server asks for in an answer that this process has just received.
// It reports whether the rate limit has changed.
func (t *Tracker) Record(server fleet.Incarnation, notice Notice) (changed bool) {
	if t == nil {
		return false
	}
	now := t.options.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	if s == nil {
		if notice == (Notice{RateLimitUnknown: notice.RateLimitUnknown}) || len(t.servers) >= maxServers {
			return false
		}
		s = &state{}
		t.servers[server] = s
	}
	s.updated = now
	switch {
	case notice.HasRateLimit:
		changed = t.setLimit(server, s, RateLimit{PerSecond: max(notice.RateLimit, MinRate), SaidAt: now, By: t.options.ID})
	case !notice.RateLimitUnknown && s.limit.PerSecond > 0:
		changed = t.setLimit(server, s, RateLimit{SaidAt: now, By: t.options.ID})
	}
	if notice.Leaving && s.leavingAt.IsZero() {
		t.setLeaving(server, s, now, t.options.ID)
	}
	if until := now.Add(min(notice.Pause, MaxPause)); notice.Pause > 0 && until.After(s.pausedUntil) {
		s.pausedUntil = until
		t.options.Logger.Info().Str("backend_server", server.ID).Dur("for_ms", until.Sub(now)).Str("outcome", "paused").Msg("backpressure")
	}
	if notice.ColdLeft > 0 {
		s.coldUntil = now.Add(notice.ColdLeft)
	}
	return changed
}

// ColdUntil returns when a backend server has warmed up, as it told this process; zero if it isn't cold.
func (t *Tracker) ColdUntil(server fleet.Incarnation) time.Time {
	if t == nil {
		return time.Time{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[server]; s != nil {
		return s.coldUntil
	}
	return time.Time{}
}

// setLeaving records that a server leaves. The caller holds t.mu.
func (t *Tracker) setLeaving(server fleet.Incarnation, s *state, at time.Time, by string) {
	s.leavingAt, s.leavingBy = at, by
	t.options.Logger.Info().Str("backend_server", server.ID).Str("told", by).Dur("age_ms", t.options.Now().Sub(at)).
		Str("outcome", "leaving").Msg("backpressure")
}

// Blocked returns the wish of a backend server to get no requests, if there is one.
func (t *Tracker) Blocked(server fleet.Incarnation) (Block, bool) {
	if t == nil {
		return Block{}, false
	}
	now := t.options.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	switch {
	case s == nil:
	case !s.leavingAt.IsZero():
		return Block{By: s.leavingBy}, true
	case now.Before(s.pausedUntil):
		return Block{Left: s.pausedUntil.Sub(now)}, true
	}
	return Block{}, false
}

// setLimit replaces the limit and reports whether its rate has changed. The caller holds t.mu.
func (t *Tracker) setLimit(server fleet.Incarnation, s *state, limit RateLimit) bool {
	previous := s.limit
	changed := limit.PerSecond != previous.PerSecond
	limit.Since = previous.Since
	if changed {
		limit.Since = limit.SaidAt
	}
	s.limit = limit
	if changed {
		outcome := "limited"
		if limit.PerSecond == 0 {
			outcome = "limit withdrawn"
		}
		t.options.Logger.Info().Str("backend_server", server.ID).Float64("requests_per_second", limit.PerSecond).
			Float64("previous", previous.PerSecond).Dur("age_ms", t.options.Now().Sub(limit.SaidAt)).Str("told", limit.By).
			Str("outcome", outcome).Msg("backpressure")
	}
	return changed
}

// RateLimit returns the rate limit of a backend server, and whether it or its absence is known.
func (t *Tracker) RateLimit(server fleet.Incarnation) (RateLimit, bool) {
	if t == nil {
		return RateLimit{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	if s == nil {
		return RateLimit{}, false
	}
	return s.limit, s.limit.known()
}

// RecordSidecarGrant records that the sidecar of an engine has granted a slot to this process.
func (t *Tracker) RecordSidecarGrant(server fleet.Incarnation) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[server]; s != nil && s.limit.PerSecond > 0 {
		s.grantedAt = t.options.Now()
	}
}

// SidecarActive reports whether the sidecar of an engine with a rate limit has granted a slot to any
// process lately. It may be active although this process doesn't reach it.
func (t *Tracker) SidecarActive(server fleet.Incarnation) bool {
	if t == nil {
		return false
	}
	now := t.options.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	if s == nil || s.grantedAt.IsZero() || s.limit.PerSecond == 0 {
		return false
	}
	active := max(minSidecarActive, time.Duration(sidecarActiveRequests/s.limit.PerSecond*float64(time.Second)))
	return now.Sub(s.grantedAt) < active
}

// Prune removes the state of servers that haven't been registered for some time.
func (t *Tracker) Prune(registered func(fleet.Incarnation) bool) {
	if t == nil {
		return
	}
	now := t.options.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for server, s := range t.servers {
		switch {
		case registered(server):
			s.updated = now
		case now.Sub(s.updated) > unregisteredTTL:
			delete(t.servers, server)
		}
	}
}

// Limited is a backend server with a rate limit.
type Limited struct {
	Server fleet.Incarnation
	RateLimit
	// Age is the time since the server last named the limit.
	Age time.Duration
}

// Limited returns the backend servers with a rate limit.
func (t *Tracker) Limited() []Limited {
	if t == nil {
		return nil
	}
	now := t.options.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Limited
	for server, s := range t.servers {
		if s.limit.PerSecond > 0 {
			list = append(list, Limited{Server: server, RateLimit: s.limit, Age: max(now.Sub(s.limit.SaidAt), 0)})
		}
	}
	return list
}
