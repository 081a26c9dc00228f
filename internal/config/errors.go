package config

import (
	"fmt"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// InvalidError reports a change that is rejected regardless of other changes.
type InvalidError struct {
	Entity string
	Reason string
}

func (e *InvalidError) Error() string { return e.Entity + ": " + e.Reason }

// ConflictError reports a change that is rejected because of an earlier change.
type ConflictError struct {
	Entity string
	// WinnerOffset is the offset of the earlier change; 0 if it is unknown.
	WinnerOffset uint64
	// Winner is the operator or process that made the earlier change.
	Winner string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s was changed at offset %d by %s", e.Entity, e.WinnerOffset, e.Winner)
}

func invalid(entity, format string, args ...any) error {
	return &InvalidError{Entity: entity, Reason: fmt.Sprintf(format, args...)}
}

// conflict returns a ConflictError with the last accepted change of an entity as the winner.
func (e *edit) conflict(entity string) error {
	conflict := &ConflictError{Entity: entity, WinnerOffset: e.state.GetRevisions()[entity]}
	if entry, ok := LastChange(e.state, entity); ok {
		conflict.WinnerOffset = entry.GetOffset()
		conflict.Winner = entry.GetOperator()
	}
	return conflict
}

// LastChange returns the latest accepted change of an entity in the audit trail.
func LastChange(state *configpb.State, entity string) (*configpb.AuditEntry, bool) {
	for i := len(state.GetAudit()) - 1; i >= 0; i-- {
		entry := state.GetAudit()[i]
		accepted := entry.GetResult() == configpb.AuditResult_AUDIT_RESULT_ACCEPTED
		if accepted && entry.GetEntity() == entity {
			return entry, true
		}
	}
	return nil, false
}

// AuditAt returns the audit entry with an offset.
func AuditAt(state *configpb.State, offset uint64) (*configpb.AuditEntry, bool) {
	audit := state.GetAudit()
	i, found := searchAudit(audit, offset)
	if !found {
		return nil, false
	}
	return audit[i], true
}
