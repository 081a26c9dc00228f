package sidecar

import (
	"sync"

	"github.com/lagoonlane/lagoonlane/internal/config"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// Credit for grants to unproven versions, in basis points of a grant.
const (
	grantCost     = config.FullShareBP
	initialCredit = 1 * grantCost
	// maxCredit bounds the number of consecutive grants to unproven versions.
	maxCredit = 5 * grantCost
)

// shareCap limits unproven versions to config.MaxUnprovenShareBP of the grants of each route at
// one backend server, independently of the requests that entries send. Each grant of the
// route earns credit, and a grant to an unproven version costs grantCost. In the zero value
// each route has initialCredit.
type shareCap struct {
	mu sync.Mutex
	// credit holds the credit by route.
	credit map[string]int
}

// spendCredit deducts the cost of one grant. It reports false if the credit is too low.
func (c *shareCap) spendCredit(route string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.creditOf(route) < grantCost {
		return false
	}
	c.credit[route] -= grantCost
	return true
}

// addCredit adds credit to a route, up to maxCredit.
func (c *shareCap) addCredit(route string, credit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.credit[route] = min(maxCredit, c.creditOf(route)+credit)
}

// creditOf returns the credit of a route. The caller holds mu.
func (c *shareCap) creditOf(route string) int {
	if c.credit == nil {
		c.credit = map[string]int{}
	}
	credit, known := c.credit[route]
	if !known {
		credit = initialCredit
		c.credit[route] = credit
	}
	return credit
}

// isCapped reports whether shareCap applies to a request: its version is unproven and
// shares the route with other versions that are loaded at this backend server.
func (s *Sidecar) isCapped(target *server, request *lanepb.ReserveRequest) bool {
	state := s.config.Current()
	version := state.GetVersions()[config.VersionKey(target.Pool, request.GetVersion())]
	if version.GetState() != configpb.VersionState_VERSION_STATE_UNPROVEN {
		return false
	}
	route := state.GetRoutes()[request.GetRoute()]
	loaded, _ := target.versions.list()
	return len(loaded) > 1 && config.ShareOf(route, request.GetVersion()) < config.FullShareBP
}

// isOutdated reports whether a request comes from an entry with an outdated configuration:
// its version is unproven and has no share of the route in the sidecar's configuration,
// which is at least as new as that of the entry.
func (s *Sidecar) isOutdated(target *server, request *lanepb.ReserveRequest) bool {
	state := s.config.Current()
	version := state.GetVersions()[config.VersionKey(target.Pool, request.GetVersion())]
	route := state.GetRoutes()[request.GetRoute()]
	return version.GetState() == configpb.VersionState_VERSION_STATE_UNPROVEN &&
		route != nil && config.ShareOf(route, request.GetVersion()) == 0 &&
		state.GetOffset() >= request.GetConfigOffset()
}

// updateShareCredit updates the credit after the decision on a request: a grant earns credit, and
// a capped request that wasn't granted returns the credit it took.
func (s *Sidecar) updateShareCredit(d *dispatch, granted bool) {
	switch route := d.request.GetRoute(); {
	case d.capped && !granted:
		d.server.share.addCredit(route, grantCost)
	case granted:
		d.server.share.addCredit(route, config.MaxUnprovenShareBP)
	}
}
