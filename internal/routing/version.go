package routing

import (
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// fullShareBP is 100 % in basis points.
const fullShareBP = 10_000

// VersionPicker selects the version of each request by the shares of its route. An unproven
// version is chosen only after it has accumulated the credit of a whole request: after n requests
// it has received at most its share of n, at each entry and therefore over all entries. It is
// safe for concurrent use.
type VersionPicker struct {
	mu     sync.Mutex
	routes map[string]*routeCredit
}

// routeCredit holds the credit of each version of a route, in basis points of a request: the
// difference between its share of the requests and the requests it received.
type routeCredit struct {
	credit map[string]int64
	shares map[string]uint32
}

// NewVersionPicker returns a VersionPicker without credit.
func NewVersionPicker() *VersionPicker { return &VersionPicker{routes: map[string]*routeCredit{}} }

// ContainedFunc reports whether a version must not take requests of a route at this process.
type ContainedFunc func(pool, version, route string) bool

// Pick returns the version for the next request of a route, or "" for any version if the route
// has no shares. It returns *NoVersionError if no version may take the request.
func (v *VersionPicker) Pick(state *configpb.State, route *configpb.Route, contained ContainedFunc) (string, error) {
	if len(route.GetShares()) == 0 {
		return "", nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	credit := v.creditOf(route)
	var proven []string
	for _, share := range route.GetShares() {
		version := state.GetVersions()[route.GetPool()+"/"+share.GetVersion()]
		if !inService(version, share) || isContained(contained, route, share.GetVersion()) {
			continue
		}
		if version.GetState() == configpb.VersionState_VERSION_STATE_UNPROVEN {
			if credit.earn(share) {
				return share.GetVersion(), nil
			}
			continue
		}
		credit.credit[share.GetVersion()] += int64(share.GetShareBp())
		proven = append(proven, share.GetVersion())
	}
	return credit.pickProven(route, proven)
}

// Fallback returns a proven version other than the excluded one, which can't be served. It adds
// no credit to unproven versions. It returns *NoVersionError if there is none.
func (v *VersionPicker) Fallback(state *configpb.State, route *configpb.Route, excluded string, contained ContainedFunc) (string, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var proven []string
	for _, share := range route.GetShares() {
		version := state.GetVersions()[route.GetPool()+"/"+share.GetVersion()]
		usable := inService(version, share) && !isContained(contained, route, share.GetVersion())
		if usable && share.GetVersion() != excluded && version.GetState() == configpb.VersionState_VERSION_STATE_PROVEN {
			proven = append(proven, share.GetVersion())
		}
	}
	return v.creditOf(route).pickProven(route, proven)
}

// inService reports whether a version with a share may take requests by its state.
func inService(version *configpb.BackendVersion, share *configpb.VersionShare) bool {
	if version == nil || share.GetShareBp() == 0 {
		return false
	}
	switch version.GetState() {
	case configpb.VersionState_VERSION_STATE_CONTAINED, configpb.VersionState_VERSION_STATE_RETIRED:
		return false
	}
	return true
}

func isContained(contained ContainedFunc, route *configpb.Route, version string) bool {
	return contained != nil && contained(route.GetPool(), version, route.GetName())
}

// creditOf returns the credit of a route. A version whose share changed starts with no credit.
func (v *VersionPicker) creditOf(route *configpb.Route) *routeCredit {
	credit := v.routes[route.GetName()]
	if credit == nil {
		credit = &routeCredit{credit: map[string]int64{}, shares: map[string]uint32{}}
		v.routes[route.GetName()] = credit
	}
	for _, share := range route.GetShares() {
		name := share.GetVersion()
		if credit.shares[name] != share.GetShareBp() {
			credit.shares[name] = share.GetShareBp()
			credit.credit[name] = 0
		}
	}
	return credit
}

// earn adds the share of one request and reports whether the credit of a whole request was
// reached.
func (c *routeCredit) earn(share *configpb.VersionShare) bool {
	name := share.GetVersion()
	c.credit[name] += int64(share.GetShareBp())
	if c.credit[name] < fullShareBP {
		return false
	}
	c.credit[name] -= fullShareBP
	return true
}

// pickProven picks the proven version with the most credit.
func (c *routeCredit) pickProven(route *configpb.Route, proven []string) (string, error) {
	if len(proven) == 0 {
		return "", errors.WithStack(&NoVersionError{Route: route.GetName()})
	}
	chosen := slices.MaxFunc(proven, func(a, b string) int { return int(c.credit[a] - c.credit[b]) })
	c.credit[chosen] -= c.totalShare(proven)
	return chosen, nil
}

// totalShare returns the sum of the shares of versions, in basis points.
func (c *routeCredit) totalShare(versions []string) int64 {
	var total int64
	for _, name := range versions {
		total += int64(c.shares[name])
	}
	return total
}
