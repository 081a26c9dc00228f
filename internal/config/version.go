package config

import (
	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

func (e *edit) putVersion(version *configpb.BackendVersion) error {
	entity := VersionEntity(version.GetPool(), version.GetName())
	if err := checkName(entity, version.GetPool()); err != nil {
		return err
	}
	if err := checkName(entity, version.GetName()); err != nil {
		return err
	}
	if err := checkText(entity, "artifact", version.GetArtifact()); err != nil {
		return err
	}
	if err := checkText(entity, "reason", version.GetReason()); err != nil {
		return err
	}
	isContainment := version.GetState() == configpb.VersionState_VERSION_STATE_CONTAINED
	if move := e.activeMoveOfVersion(version.GetPool(), version.GetName()); move != nil && !isContainment {
		return e.conflict(MoveEntity(move.GetId()))
	}
	old := e.state.GetVersions()[VersionKey(version.GetPool(), version.GetName())]
	next := proto.CloneOf(version)
	if next.GetState() == configpb.VersionState_VERSION_STATE_UNSPECIFIED {
		next.State = registeredState(old)
	}
	switch next.GetState() {
	case configpb.VersionState_VERSION_STATE_PROVEN:
		if old.GetState() == configpb.VersionState_VERSION_STATE_CONTAINED {
			return invalid(entity, "a contained version is registered anew as unproven")
		}
	case configpb.VersionState_VERSION_STATE_RETIRED:
		if name, used := e.routeWithShare(next); used {
			return invalid(entity, "route %q sends requests to it", name)
		}
	case configpb.VersionState_VERSION_STATE_CONTAINED:
		e.zeroShares(next)
	}
	if next.GetState() != configpb.VersionState_VERSION_STATE_CONTAINED {
		next.Reason = ""
	}
	e.versions()[VersionKey(next.GetPool(), next.GetName())] = next
	e.setRevision(entity)
	return nil
}

// registeredState returns the state of a version that is registered without an explicit state.
func registeredState(old *configpb.BackendVersion) configpb.VersionState {
	if old.GetState() == configpb.VersionState_VERSION_STATE_PROVEN {
		return configpb.VersionState_VERSION_STATE_PROVEN
	}
	return configpb.VersionState_VERSION_STATE_UNPROVEN
}

func (e *edit) routeWithShare(version *configpb.BackendVersion) (string, bool) {
	return firstMatch(e.state.GetRoutes(), func(route *configpb.Route) bool {
		return route.GetPool() == version.GetPool() && ShareOf(route, version.GetName()) > 0
	})
}

// setVersionState changes the state and the reason of a version if the state differs.
func (e *edit) setVersionState(pool, name string, state configpb.VersionState, reason string) {
	old := e.state.GetVersions()[VersionKey(pool, name)]
	if old == nil || old.GetState() == state {
		return
	}
	next := proto.CloneOf(old)
	next.State = state
	next.Reason = reason
	e.versions()[VersionKey(pool, name)] = next
	e.setRevision(VersionEntity(pool, name))
}
