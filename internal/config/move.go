package config

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// MaxFinishedMoves bounds the finished moves of a state. The oldest are dropped first.
const MaxFinishedMoves = 256

func (e *edit) confirmMove(command *configpb.Command, move *configpb.Move) error {
	entity := MoveEntity(move.GetId())
	if err := checkName(entity, move.GetId()); err != nil {
		return err
	}
	if err := e.checkMoveVersions(entity, move); err != nil {
		return err
	}
	if err := e.checkMoveOverlap(move); err != nil {
		return err
	}
	if err := e.checkMoveRoutes(entity, command, move); err != nil {
		return err
	}
	if move.GetFinishByUnixMs() <= e.unixMS {
		return invalid(entity, "its finish time has passed")
	}
	next := proto.CloneOf(move)
	next.State = configpb.MoveState_MOVE_STATE_CONFIRMED
	next.Step = 0
	next.ShareBp = 0
	next.Reason = ""
	next.Operator = command.GetOperator()
	next.ConfirmedUnixMs = e.unixMS
	next.ChangedUnixMs = e.unixMS
	e.pruneMoves()
	e.moves()[next.GetId()] = next
	e.setRevision(entity)
	return nil
}

func (e *edit) checkMoveVersions(entity string, move *configpb.Move) error {
	if move.GetFromVersion() == move.GetToVersion() {
		return invalid(entity, "it moves from a version to itself")
	}
	for _, name := range []string{move.GetFromVersion(), move.GetToVersion()} {
		if e.state.GetVersions()[VersionKey(move.GetPool(), name)] == nil {
			return invalid(entity, "version %q of pool %q does not exist", name, move.GetPool())
		}
	}
	switch e.state.GetVersions()[VersionKey(move.GetPool(), move.GetToVersion())].GetState() {
	case configpb.VersionState_VERSION_STATE_CONTAINED, configpb.VersionState_VERSION_STATE_RETIRED:
		return invalid(entity, "version %q is contained or retired", move.GetToVersion())
	}
	return nil
}

// checkMoveOverlap rejects a move that shares a route or a version with an active one.
func (e *edit) checkMoveOverlap(move *configpb.Move) error {
	conflicting := ""
	for id, other := range e.state.GetMoves() {
		if !MoveActive(other) || !overlaps(move, other) {
			continue
		}
		if conflicting == "" || id < conflicting {
			conflicting = id
		}
	}
	if conflicting != "" {
		return e.conflict(MoveEntity(conflicting))
	}
	return nil
}

func overlaps(a, b *configpb.Move) bool {
	for _, route := range a.GetRoutes() {
		if slices.Contains(b.GetRoutes(), route) {
			return true
		}
	}
	if a.GetPool() != b.GetPool() {
		return false
	}
	moving := []string{b.GetFromVersion(), b.GetToVersion()}
	return slices.Contains(moving, a.GetFromVersion()) || slices.Contains(moving, a.GetToVersion())
}

func (e *edit) checkMoveRoutes(entity string, command *configpb.Command, move *configpb.Move) error {
	if len(move.GetRoutes()) == 0 {
		return invalid(entity, "it names no route")
	}
	for _, name := range move.GetRoutes() {
		route := e.state.GetRoutes()[name]
		if route == nil || route.GetPool() != move.GetPool() {
			return invalid(entity, "pool %q has no route %q", move.GetPool(), name)
		}
		if command.GetRouteRevisions()[name] != e.state.GetRevisions()[RouteEntity(name)] {
			return e.conflict(RouteEntity(name))
		}
		for _, share := range route.GetShares() {
			if share.GetVersion() != move.GetFromVersion() && share.GetShareBp() > 0 {
				return invalid(entity, "route %q also sends to version %q", name, share.GetVersion())
			}
		}
	}
	return nil
}

// reverseMove sets a move to reversing. The driver of the move then carries out the reversal.
func (e *edit) reverseMove(command *configpb.Command, id string) error {
	entity := MoveEntity(id)
	move := e.state.GetMoves()[id]
	if move == nil {
		return invalid(entity, "it does not exist")
	}
	if move.GetState() == reversing || !validTransition(move.GetState(), reversing) {
		return invalid(entity, "a move in state %s can't be reversed", move.GetState())
	}
	next := proto.CloneOf(move)
	next.State = configpb.MoveState_MOVE_STATE_REVERSING
	next.Reason = "operator " + command.GetOperator() + " reversed it"
	next.ChangedUnixMs = e.unixMS
	e.moves()[id] = next
	e.setRevision(entity)
	return nil
}

// pruneMoves removes the finished move with the oldest change if there are MaxFinishedMoves.
func (e *edit) pruneMoves() {
	finished := 0
	oldest := ""
	for id, move := range e.state.GetMoves() {
		if MoveActive(move) {
			continue
		}
		finished++
		if oldest == "" || e.state.GetRevisions()[MoveEntity(id)] < e.state.GetRevisions()[MoveEntity(oldest)] {
			oldest = id
		}
	}
	if finished < MaxFinishedMoves {
		return
	}
	delete(e.moves(), oldest)
	e.removeRevision(MoveEntity(oldest))
	if e.state.GetLeases()[MoveLeaseName(oldest)] != nil {
		delete(e.leases(), MoveLeaseName(oldest))
	}
}

func (e *edit) activeMoveOfRoute(route string) *configpb.Move {
	for _, move := range e.state.GetMoves() {
		if MoveActive(move) && slices.Contains(move.GetRoutes(), route) {
			return move
		}
	}
	return nil
}

func (e *edit) activeMoveOfVersion(pool, name string) *configpb.Move {
	for _, move := range e.state.GetMoves() {
		moves := move.GetFromVersion() == name || move.GetToVersion() == name
		if MoveActive(move) && move.GetPool() == pool && moves {
			return move
		}
	}
	return nil
}
