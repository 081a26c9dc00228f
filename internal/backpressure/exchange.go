package backpressure

import (
	"cmp"
	"slices"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
)

const (
	// relayTolerance is how much later than known the time of a statement must be to replace it, if
	// the same process was told. Each exchange makes a time appear later by the duration of the
	// message.
	relayTolerance = 100 * time.Millisecond
	// maxReported bounds the servers in one report, which keeps it small on slow links.
	maxReported = 64
	// maxIDBytes bounds the ids that are adopted from a report.
	maxIDBytes = 256
)

// ServerReport is what a process knows of one incarnation of a backend server. Ages are in
// milliseconds at the time of the report.
type ServerReport struct {
	Server fleet.Incarnation `json:"server"`
	// Limit is set if the limit or its absence is known.
	Limit *LimitReport `json:"limit,omitempty"`
	// Leaving is set if the server has announced its end.
	Leaving *LeavingReport `json:"leaving,omitempty"`
	// SidecarGrantAgeMS is the time since the server's sidecar last granted a slot to any process, if it
	// has a rate limit and is known to have a sidecar.
	SidecarGrantAgeMS *int64 `json:"sidecar_grant_age_ms,omitempty"`
}

// LimitReport describes the rate limit of a backend server.
type LimitReport struct {
	// PerSecond is 0 if there is no limit.
	PerSecond float64 `json:"requests_per_second,omitempty"`
	// AgeMS is the time since the server last said so, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// By is the id of the process that the server told.
	By string `json:"told,omitempty"`
}

// LeavingReport describes the announced end of a backend server.
type LeavingReport struct {
	AgeMS int64  `json:"age_ms"`
	By    string `json:"told,omitempty"`
}

// LimitReport returns the report on the rate limit of a backend server, or nil if nothing is known of
// it.
func (t *Tracker) LimitReport(server fleet.Incarnation) *LimitReport {
	limit, known := t.RateLimit(server)
	if !known {
		return nil
	}
	return limit.Report(t.options.Now())
}

// Report returns the report on a limit.
func (l RateLimit) Report(now time.Time) *LimitReport {
	return &LimitReport{PerSecond: l.PerSecond, AgeMS: max(now.Sub(l.SaidAt).Milliseconds(), 0), By: l.By}
}

// Limit returns the reported limit, given when the report was made. It reports false if the report is
// invalid.
func (r *LimitReport) Limit(at time.Time) (RateLimit, bool) {
	if r == nil || r.AgeMS < 0 || !(r.PerSecond == 0 || r.PerSecond >= MinRate) || len(r.By) > maxIDBytes {
		return RateLimit{}, false
	}
	saidAt := at.Add(-time.Duration(r.AgeMS) * time.Millisecond)
	return RateLimit{PerSecond: r.PerSecond, SaidAt: saidAt, Since: saidAt, By: r.By}, true
}

// Newer reports whether a limit is a later statement than another one.
func (l RateLimit) Newer(other RateLimit) bool {
	later := l.SaidAt.Sub(other.SaidAt)
	return !other.known() || later > relayTolerance || later > 0 && l.By != other.By
}

// Report returns the report for peers: the latest statements, if there are too many.
func (t *Tracker) Report() []ServerReport {
	if t == nil {
		return nil
	}
	now := t.options.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []ServerReport
	for server, s := range t.servers {
		report := ServerReport{Server: server}
		if s.limit.PerSecond > 0 || s.limit.known() && now.Sub(s.limit.SaidAt) < withdrawnTTL {
			report.Limit = s.limit.Report(now)
		}
		if report.Limit != nil && !s.grantedAt.IsZero() {
			age := max(now.Sub(s.grantedAt).Milliseconds(), 0)
			report.SidecarGrantAgeMS = &age
		}
		if !s.leavingAt.IsZero() {
			report.Leaving = &LeavingReport{AgeMS: max(now.Sub(s.leavingAt).Milliseconds(), 0), By: s.leavingBy}
		}
		if report.Limit != nil || report.Leaving != nil {
			reports = append(reports, report)
		}
	}
	slices.SortFunc(reports, func(a, b ServerReport) int { return cmp.Compare(a.age(), b.age()) })
	return reports[:min(len(reports), maxReported)]
}

// age returns the age of the latest statement.
func (r ServerReport) age() int64 {
	switch {
	case r.Limit == nil:
		return r.Leaving.AgeMS
	case r.Leaving == nil:
		return r.Limit.AgeMS
	}
	return min(r.Limit.AgeMS, r.Leaving.AgeMS)
}

// HandleReport adopts what a peer knows better, given when the report was made. Invalid parts of the
// report are ignored.
func (t *Tracker) HandleReport(reports []ServerReport, at time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range reports[:min(len(reports), maxReported)] {
		if len(report.Server.ID) > maxIDBytes {
			continue
		}
		limit, hasLimit := report.Limit.Limit(at)
		s := t.servers[report.Server]
		if s == nil {
			if len(t.servers) >= maxServers || !hasLimit && report.Leaving == nil {
				continue
			}
			s = &state{updated: at}
			t.servers[report.Server] = s
		}
		if hasLimit && limit.Newer(s.limit) {
			t.setLimit(report.Server, s, limit)
		}
		if age := report.SidecarGrantAgeMS; age != nil && *age >= 0 {
			if grantedAt := at.Add(-time.Duration(*age) * time.Millisecond); grantedAt.Sub(s.grantedAt) > relayTolerance {
				s.grantedAt = grantedAt
			}
		}
		if l := report.Leaving; l != nil && l.AgeMS >= 0 && len(l.By) <= maxIDBytes && s.leavingAt.IsZero() {
			t.setLeaving(report.Server, s, at.Add(-time.Duration(l.AgeMS)*time.Millisecond), l.By)
		}
	}
}
