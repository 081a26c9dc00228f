package config

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

func (e *edit) putRoute(route *configpb.Route) error {
	entity := RouteEntity(route.GetName())
	if err := checkRouteName(entity, route.GetName()); err != nil {
		return err
	}
	if err := checkName(entity, route.GetPool()); err != nil {
		return err
	}
	if route.GetKind() == configpb.BackendKind_BACKEND_KIND_UNSPECIFIED {
		return invalid(entity, "it has no kind of backend server")
	}
	if err := checkListLength(entity, "client accounts", len(route.GetAccounts())); err != nil {
		return err
	}
	for _, account := range route.GetAccounts() {
		if e.state.GetAccounts()[account] == nil {
			return invalid(entity, "client account %q does not exist", account)
		}
	}
	if err := checkOperations(entity, route); err != nil {
		return err
	}
	if err := e.checkShares(entity, route); err != nil {
		return err
	}
	if err := e.checkRouteNotMoving(route); err != nil {
		return err
	}
	e.routes()[route.GetName()] = route
	e.setRevision(entity)
	return nil
}

func checkOperations(entity string, route *configpb.Route) error {
	if err := checkListLength(entity, "operations", len(route.GetOperations())); err != nil {
		return err
	}
	if len(route.GetOperations()) > 0 && route.GetKind() != configpb.BackendKind_BACKEND_KIND_SERVICE {
		return invalid(entity, "only a plain service has operations")
	}
	for _, operation := range route.GetOperations() {
		if operation.GetMethod() == "" || !strings.HasPrefix(operation.GetPathPrefix(), "/") {
			return invalid(entity, "an operation has a method and a path prefix that begins with /")
		}
	}
	return nil
}

func (e *edit) checkShares(entity string, route *configpb.Route) error {
	var sum uint64
	var seen []string
	for _, share := range route.GetShares() {
		if slices.Contains(seen, share.GetVersion()) {
			return invalid(entity, "version %q is given twice", share.GetVersion())
		}
		seen = append(seen, share.GetVersion())
		sum += uint64(share.GetShareBp())
		if err := e.checkShare(entity, route, share); err != nil {
			return err
		}
	}
	if sum != FullShareBP {
		return invalid(entity, "the shares add up to %d, not %d", sum, FullShareBP)
	}
	return nil
}

func (e *edit) checkShare(entity string, route *configpb.Route, share *configpb.VersionShare) error {
	version := e.state.GetVersions()[VersionKey(route.GetPool(), share.GetVersion())]
	if version == nil {
		return invalid(entity, "version %q of pool %q does not exist", share.GetVersion(), route.GetPool())
	}
	old := e.state.GetRoutes()[route.GetName()]
	if old.GetPool() == route.GetPool() && share.GetShareBp() <= ShareOf(old, share.GetVersion()) {
		return nil
	}
	switch version.GetState() {
	case configpb.VersionState_VERSION_STATE_CONTAINED, configpb.VersionState_VERSION_STATE_RETIRED:
		if share.GetShareBp() > 0 {
			return invalid(entity, "version %q is contained or retired", share.GetVersion())
		}
	case configpb.VersionState_VERSION_STATE_UNPROVEN:
		isOnlyVersion := old == nil && share.GetShareBp() == FullShareBP
		if share.GetShareBp() > MaxUnprovenShareBP && !isOnlyVersion {
			return invalid(entity, "version %q is unproven: its share is at most %d; move the route to it",
				share.GetVersion(), MaxUnprovenShareBP)
		}
	}
	return nil
}

// checkRouteNotMoving rejects a change of shares or pool while a move of the route is active.
func (e *edit) checkRouteNotMoving(route *configpb.Route) error {
	move := e.activeMoveOfRoute(route.GetName())
	if move == nil {
		return nil
	}
	old := e.state.GetRoutes()[route.GetName()]
	same := old.GetPool() == route.GetPool() && len(old.GetShares()) == len(route.GetShares())
	for i := 0; same && i < len(old.GetShares()); i++ {
		same = proto.Equal(old.GetShares()[i], route.GetShares()[i])
	}
	if !same {
		return e.conflict(MoveEntity(move.GetId()))
	}
	return nil
}

func (e *edit) deleteRoute(name string) error {
	entity := RouteEntity(name)
	if e.state.GetRoutes()[name] == nil {
		return invalid(entity, "it does not exist")
	}
	if move := e.activeMoveOfRoute(name); move != nil {
		return e.conflict(MoveEntity(move.GetId()))
	}
	delete(e.routes(), name)
	e.removeRevision(entity)
	return nil
}

// setShares replaces the shares of an existing route.
func (e *edit) setShares(name string, shares []*configpb.VersionShare) {
	old := e.state.GetRoutes()[name]
	next := proto.CloneOf(old)
	next.Shares = shares
	e.routes()[name] = next
	e.setRevision(RouteEntity(name))
}
