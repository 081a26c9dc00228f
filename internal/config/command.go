package config

import (
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// change is a parsed command: the affected entity, the action, and the function that applies it.
type change struct {
	entity string
	action string
	apply  func() error
	// revisionOptional is set if expected revision 0 skips the revision check.
	revisionOptional bool
}

// applyCommand applies a command. It returns the existing entry if the operation id was used before.
func (e *edit) applyCommand(command *configpb.Command) *configpb.AuditEntry {
	if decided, ok := e.state.GetOperations()[command.GetOperationId()]; ok && command.GetOperationId() != "" {
		return decided
	}
	c := e.parseChange(command)
	entry := e.completeEntry(&configpb.AuditEntry{
		Operator:         command.GetOperator(),
		OperationId:      command.GetOperationId(),
		Entity:           c.entity,
		Action:           c.action,
		ExpectedRevision: command.GetExpectedRevision(),
	}, e.execute(command, c))
	e.appendAudit(entry)
	return entry
}

// execute checks the operation id and the expected revision, then applies the change.
func (e *edit) execute(command *configpb.Command, c change) error {
	if command.GetOperationId() == "" {
		return invalid(c.entity, "the command has no operation id")
	}
	if c.apply == nil {
		return invalid(c.entity, "the command has no known change")
	}
	expected := command.GetExpectedRevision()
	skip := c.revisionOptional && expected == 0
	if !skip && e.state.GetRevisions()[c.entity] != expected {
		return e.conflict(c.entity)
	}
	return c.apply()
}

func (e *edit) parseChange(command *configpb.Command) change {
	switch body := command.GetChange().(type) {
	case *configpb.Command_PutTier:
		return change{entity: TierEntity(body.PutTier.GetName()), action: "put",
			apply: func() error { return e.putTier(body.PutTier) }}
	case *configpb.Command_DeleteTier:
		return change{entity: TierEntity(body.DeleteTier), action: "delete",
			apply: func() error { return e.deleteTier(body.DeleteTier) }}
	case *configpb.Command_PutAccount:
		return change{entity: AccountEntity(body.PutAccount.GetName()), action: "put",
			apply: func() error { return e.putAccount(body.PutAccount) }}
	case *configpb.Command_DeleteAccount:
		return change{entity: AccountEntity(body.DeleteAccount), action: "delete",
			apply: func() error { return e.deleteAccount(body.DeleteAccount) }}
	case *configpb.Command_PutRoute:
		return change{entity: RouteEntity(body.PutRoute.GetName()), action: "put",
			apply: func() error { return e.putRoute(body.PutRoute) }}
	case *configpb.Command_DeleteRoute:
		return change{entity: RouteEntity(body.DeleteRoute), action: "delete",
			apply: func() error { return e.deleteRoute(body.DeleteRoute) }}
	case *configpb.Command_PutVersion:
		v := body.PutVersion
		return change{entity: VersionEntity(v.GetPool(), v.GetName()), action: "put",
			apply: func() error { return e.putVersion(v) }}
	case *configpb.Command_ConfirmMove:
		return change{entity: MoveEntity(body.ConfirmMove.GetId()), action: "confirm",
			apply: func() error { return e.confirmMove(command, body.ConfirmMove) }}
	case *configpb.Command_ReverseMove:
		return change{entity: MoveEntity(body.ReverseMove), action: "reverse", revisionOptional: true,
			apply: func() error { return e.reverseMove(command, body.ReverseMove) }}
	}
	return change{entity: "unknown", action: "unknown"}
}

// CommandTarget returns the entity and the action of a command, as in the fields of AuditEntry.
func CommandTarget(command *configpb.Command) (entity, action string) {
	c := (&edit{}).parseChange(command)
	return c.entity, c.action
}
