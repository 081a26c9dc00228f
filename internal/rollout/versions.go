package rollout

import (
	"time"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/health"
)

const (
	// vouchAfter is how long after its first server a version waits for an order. One that
	// was not ordered until then is an ordinary version of the service.
	vouchAfter = 3 * time.Second
	// starvedAfter is the same when there is no other server and the orders can't be read.
	starvedAfter = 6 * time.Second
)

// versions are those of one service.
type versions struct {
	// trusted versions get requests like any other.
	trusted map[string]bool
	// blocked versions get none; the value says why.
	blocked map[string]string
	// fresh holds when the others were first seen.
	fresh map[string]time.Time
	// course is that of the newest order; nil if there is none.
	course *course
	// evidence and durations are kept without an order too: what is usual must be known
	// before something else is tried.
	evidence  *health.Collector
	durations map[string]*durations
}

func newVersions() *versions {
	return &versions{
		trusted: map[string]bool{}, blocked: map[string]string{}, fresh: map[string]time.Time{},
		evidence: health.NewCollector(health.CollectorOptions{}), durations: map[string]*durations{},
	}
}

// target returns the version that is on trial, if there is one.
func (v *versions) target() (string, bool) {
	if v.course == nil || !v.course.open() {
		return "", false
	}
	return v.course.order.Target, true
}

// see takes note of the versions of the servers. Known is the moment up to which all
// orders are known; zero: none have been read.
func (v *versions) see(ready []fleet.Server, known, now time.Time) {
	target, onTrial := v.target()
	if len(v.trusted) == 0 && !known.IsZero() {
		v.trustFirst(ready, target, onTrial)
	}
	alone := !v.anyTrusted(ready)
	for _, server := range ready {
		version := server.Version
		if v.trusted[version] || v.blocked[version] != "" || (onTrial && version == target) {
			continue
		}
		first, seen := v.fresh[version]
		switch {
		case !seen:
			v.fresh[version] = now
		case known.Sub(first) >= vouchAfter, alone && !onTrial && now.Sub(first) >= starvedAfter:
			delete(v.fresh, version)
			v.trusted[version] = true
		}
	}
}

// trustFirst trusts the version of the server that has run for longest, apart from one
// that is on trial: before any other knowledge, that is what the service runs.
func (v *versions) trustFirst(ready []fleet.Server, target string, onTrial bool) {
	if oldest := oldestServer(ready, func(s fleet.Server) bool { return !onTrial || s.Version != target }); oldest != nil {
		v.trusted[oldest.Version] = true
	}
}

func oldestServer(list []fleet.Server, wanted func(fleet.Server) bool) *fleet.Server {
	var oldest *fleet.Server
	for i, server := range list {
		switch {
		case !wanted(server):
		case oldest == nil, server.Born.Before(oldest.Born), server.Born.Equal(oldest.Born) && server.Version < oldest.Version:
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

// usual returns the servers that get requests like any other. Before the orders are
// known, those are the servers of the version that has run for longest.
func (v *versions) usual(ready []fleet.Server) []fleet.Server {
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

// ended takes over how an order ended.
func (v *versions) ended(c *course) {
	target := c.order.Target
	if c.state == StateCompleted {
		delete(v.blocked, target)
		delete(v.fresh, target)
		v.trusted[target] = true
		return
	}
	v.block(target, "its roll-out was reverted")
}

func (v *versions) block(version, why string) {
	delete(v.trusted, version)
	delete(v.fresh, version)
	v.blocked[version] = why
}
