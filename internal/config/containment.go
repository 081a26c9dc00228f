package config

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// applyContainment removes a version from traffic. It needs no lease: containment is always allowed.
func (e *edit) applyContainment(c *configpb.Containment) *configpb.AuditEntry {
	entity := VersionEntity(c.GetPool(), c.GetVersion())
	entry := &configpb.AuditEntry{Operator: c.GetReporter(), Entity: entity, Action: "contain"}
	version := e.state.GetVersions()[VersionKey(c.GetPool(), c.GetVersion())]
	if version == nil {
		return e.completeEntry(entry, invalid(entity, "it does not exist"))
	}
	entry.Detail = containmentDetail(c)
	if version.GetState() == configpb.VersionState_VERSION_STATE_CONTAINED {
		return e.completeEntry(entry, nil)
	}
	keptRoutes := e.zeroShares(version)
	if len(keptRoutes) > 0 {
		entry.Detail += "; kept as the only version of " + strings.Join(keptRoutes, ", ")
	}
	e.setVersionState(c.GetPool(), c.GetVersion(), configpb.VersionState_VERSION_STATE_CONTAINED, entry.Detail)
	e.completeEntry(entry, nil)
	e.appendAudit(entry)
	return entry
}

func containmentDetail(c *configpb.Containment) string {
	if c.GetRoute() == "" {
		return truncateText(c.GetReason())
	}
	return fmt.Sprintf("%s (on route %s)", truncateText(c.GetReason()), truncateText(c.GetRoute()))
}

// zeroShares sets the shares of a version to 0 on all routes of its pool. It returns the routes
// that keep the version because they have no other version to send requests to.
func (e *edit) zeroShares(version *configpb.BackendVersion) []string {
	var keptRoutes []string
	for _, name := range e.routesWithShare(version) {
		route := e.state.GetRoutes()[name]
		shares, ok := e.redistributeShare(route, version)
		if !ok {
			keptRoutes = append(keptRoutes, name)
			continue
		}
		e.setShares(name, shares)
	}
	for id, move := range e.state.GetMoves() {
		if MoveActive(move) && move.GetPool() == version.GetPool() && move.GetToVersion() == version.GetName() {
			e.zeroMoveShare(id)
		}
	}
	return keptRoutes
}

func (e *edit) zeroMoveShare(id string) {
	next := proto.CloneOf(e.state.GetMoves()[id])
	next.ShareBp = 0
	e.moves()[id] = next
}

func (e *edit) routesWithShare(version *configpb.BackendVersion) []string {
	var names []string
	for name, route := range e.state.GetRoutes() {
		if route.GetPool() == version.GetPool() && ShareOf(route, version.GetName()) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// redistributeShare returns the shares of a route without a version. Its share goes to the old
// version if it is the new version of a move and the old one isn't contained, otherwise in
// proportion to the proven versions of the route. It returns false if there are none.
func (e *edit) redistributeShare(route *configpb.Route, version *configpb.BackendVersion) ([]*configpb.VersionShare, bool) {
	move := e.activeMoveOfRoute(route.GetName())
	isNewVersion := move.GetToVersion() == version.GetName()
	if isNewVersion && !e.contained(route.GetPool(), move.GetFromVersion()) {
		return transferShare(route, version.GetName(), move.GetFromVersion()), true
	}
	return e.redistributeInProportion(route, version.GetName())
}

// transferShare returns the shares of a route after moving the share of one version to another.
func transferShare(route *configpb.Route, from, to string) []*configpb.VersionShare {
	freed := ShareOf(route, from)
	var shares []*configpb.VersionShare
	found := false
	for _, share := range route.GetShares() {
		next := proto.CloneOf(share)
		switch share.GetVersion() {
		case from:
			next.ShareBp = 0
		case to:
			next.ShareBp += freed
			found = true
		}
		shares = append(shares, next)
	}
	if !found {
		shares = append(shares, &configpb.VersionShare{Version: to, ShareBp: freed})
	}
	return shares
}

// redistributeInProportion distributes the share of a version over the proven versions of a
// route. The largest of them also gets the rounding remainder.
func (e *edit) redistributeInProportion(route *configpb.Route, from string) ([]*configpb.VersionShare, bool) {
	var total uint32
	var largest string
	for _, share := range route.GetShares() {
		if share.GetVersion() == from || !e.proven(route.GetPool(), share.GetVersion()) {
			continue
		}
		total += share.GetShareBp()
		if largest == "" || share.GetShareBp() > ShareOf(route, largest) {
			largest = share.GetVersion()
		}
	}
	if total == 0 {
		return nil, false
	}
	freed := ShareOf(route, from)
	remainder := freed
	var shares []*configpb.VersionShare
	for _, share := range route.GetShares() {
		next := proto.CloneOf(share)
		switch {
		case share.GetVersion() == from:
			next.ShareBp = 0
		case e.proven(route.GetPool(), share.GetVersion()):
			portion := uint32(uint64(freed) * uint64(share.GetShareBp()) / uint64(total))
			next.ShareBp += portion
			remainder -= portion
		}
		shares = append(shares, next)
	}
	for _, share := range shares {
		if share.GetVersion() == largest {
			share.ShareBp += remainder
		}
	}
	return shares, true
}

func (e *edit) proven(pool, name string) bool {
	state := e.state.GetVersions()[VersionKey(pool, name)].GetState()
	return state == configpb.VersionState_VERSION_STATE_PROVEN
}

func (e *edit) contained(pool, name string) bool {
	state := e.state.GetVersions()[VersionKey(pool, name)].GetState()
	return state == configpb.VersionState_VERSION_STATE_CONTAINED
}
