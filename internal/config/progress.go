package config

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// Short names of the states of a move.
const (
	confirmed = configpb.MoveState_MOVE_STATE_CONFIRMED
	preparing = configpb.MoveState_MOVE_STATE_PREPARING
	canary    = configpb.MoveState_MOVE_STATE_CANARY
	ramping   = configpb.MoveState_MOVE_STATE_RAMPING
	watching  = configpb.MoveState_MOVE_STATE_WATCHING
	done      = configpb.MoveState_MOVE_STATE_DONE
	reversing = configpb.MoveState_MOVE_STATE_REVERSING
	reversed  = configpb.MoveState_MOVE_STATE_REVERSED
)

// validTransition reports whether a move may change from one state to another.
func validTransition(from, to configpb.MoveState) bool {
	switch from {
	case confirmed:
		return slices.Contains([]configpb.MoveState{preparing, reversing}, to)
	case preparing:
		return slices.Contains([]configpb.MoveState{preparing, canary, reversing}, to)
	case canary:
		return slices.Contains([]configpb.MoveState{canary, ramping, reversing}, to)
	case ramping:
		return slices.Contains([]configpb.MoveState{ramping, watching, reversing}, to)
	case watching:
		return slices.Contains([]configpb.MoveState{watching, done, reversing}, to)
	case reversing:
		return slices.Contains([]configpb.MoveState{reversing, reversed}, to)
	}
	return false
}

// applyProgress applies a step reported by the driver of a move.
func (e *edit) applyProgress(p *configpb.MoveProgress) *configpb.AuditEntry {
	entry := &configpb.AuditEntry{
		Entity:           MoveEntity(p.GetMoveId()),
		Action:           "progress",
		ExpectedRevision: p.GetFencing(),
		Detail:           progressDetail(p),
	}
	e.completeEntry(entry, e.advanceMove(p))
	e.appendAudit(entry)
	return entry
}

func progressDetail(p *configpb.MoveProgress) string {
	detail := fmt.Sprintf("%s, step %d, share %d", p.GetState(), p.GetStep(), p.GetShareBp())
	if p.GetReason() != "" {
		detail += ": " + truncateText(p.GetReason())
	}
	return detail
}

func (e *edit) advanceMove(p *configpb.MoveProgress) error {
	move := e.state.GetMoves()[p.GetMoveId()]
	if move == nil {
		return invalid(MoveEntity(p.GetMoveId()), "it does not exist")
	}
	lease := e.state.GetLeases()[MoveLeaseName(p.GetMoveId())]
	if lease.GetFencing() == 0 || lease.GetFencing() != p.GetFencing() {
		return &ConflictError{Entity: MoveEntity(p.GetMoveId()), WinnerOffset: lease.GetFencing(), Winner: lease.GetHolder()}
	}
	if err := e.checkProgress(move, p); err != nil {
		return err
	}
	next := proto.CloneOf(move)
	next.State = p.GetState()
	next.Step = p.GetStep()
	next.ShareBp = p.GetShareBp()
	next.ChangedUnixMs = e.unixMS
	if p.GetReason() != "" {
		next.Reason = truncateText(p.GetReason())
	}
	e.moves()[move.GetId()] = next
	e.setRevision(MoveEntity(move.GetId()))
	e.updateRouteShares(move, next)
	e.updateVersionState(next)
	return nil
}

// checkProgress checks the state transition, the step and the share.
func (e *edit) checkProgress(move *configpb.Move, p *configpb.MoveProgress) error {
	entity := MoveEntity(move.GetId())
	if !validTransition(move.GetState(), p.GetState()) {
		return invalid(entity, "it can't go from %s to %s", move.GetState(), p.GetState())
	}
	if len(move.GetSteps()) > 0 && int(p.GetStep()) > len(move.GetSteps()) {
		return invalid(entity, "step %d is past its %d steps", p.GetStep(), len(move.GetSteps()))
	}
	to := e.state.GetVersions()[VersionKey(move.GetPool(), move.GetToVersion())]
	contained := to.GetState() == configpb.VersionState_VERSION_STATE_CONTAINED
	if contained && p.GetShareBp() > 0 {
		return invalid(entity, "version %q is contained", move.GetToVersion())
	}
	low, high := shareBounds(move, p.GetState())
	if p.GetShareBp() < low || p.GetShareBp() > high {
		return invalid(entity, "share %d is not within %d to %d in state %s", p.GetShareBp(), low, high, p.GetState())
	}
	return nil
}

// shareBounds returns the range of shares allowed in a state, in basis points.
func shareBounds(move *configpb.Move, state configpb.MoveState) (low, high uint32) {
	switch state {
	case preparing, reversed:
		return 0, 0
	case canary:
		return 0, MaxUnprovenShareBP
	case ramping:
		return 0, FullShareBP
	case reversing:
		return 0, move.GetShareBp()
	}
	return FullShareBP, FullShareBP
}

// updateVersionState marks the new version as proven when the move starts ramping, and as
// unproven again when the move is reversed and no route sends requests to the version.
func (e *edit) updateVersionState(move *configpb.Move) {
	version := e.state.GetVersions()[VersionKey(move.GetPool(), move.GetToVersion())]
	state := version.GetState()
	switch {
	case move.GetState() == ramping && state == configpb.VersionState_VERSION_STATE_UNPROVEN:
		e.setVersionState(move.GetPool(), move.GetToVersion(), configpb.VersionState_VERSION_STATE_PROVEN, "")
	case move.GetState() == reversed && state == configpb.VersionState_VERSION_STATE_PROVEN:
		if _, used := e.routeWithShare(version); used {
			return
		}
		e.setVersionState(move.GetPool(), move.GetToVersion(), configpb.VersionState_VERSION_STATE_UNPROVEN, "")
	}
}

// updateRouteShares gives the new version its share on all routes of the move, and the old
// version the rest. A route whose old version is contained stays unchanged if the old version's
// share would rise: traffic never returns to a contained version.
func (e *edit) updateRouteShares(old, move *configpb.Move) {
	for _, name := range move.GetRoutes() {
		route := e.state.GetRoutes()[name]
		if route == nil || !shareChanges(route, old, move) || e.raisesContained(route, move) {
			continue
		}
		shares := []*configpb.VersionShare{
			{Version: move.GetFromVersion(), ShareBp: FullShareBP - move.GetShareBp()},
			{Version: move.GetToVersion(), ShareBp: move.GetShareBp()},
		}
		if !MoveActive(move) {
			shares = slices.DeleteFunc(shares, func(s *configpb.VersionShare) bool { return s.GetShareBp() == 0 })
		}
		e.setShares(name, shares)
	}
}

func shareChanges(route *configpb.Route, old, move *configpb.Move) bool {
	return ShareOf(route, move.GetToVersion()) != move.GetShareBp() || MoveActive(old) != MoveActive(move)
}

// raisesContained reports whether the shares of a move would raise the share of a contained old
// version.
func (e *edit) raisesContained(route *configpb.Route, move *configpb.Move) bool {
	rest := FullShareBP - move.GetShareBp()
	return e.contained(move.GetPool(), move.GetFromVersion()) && rest > ShareOf(route, move.GetFromVersion())
}
