package config

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

const (
	// MaxAuditEntries bounds the audit trail of a state. The oldest entries are dropped first.
	MaxAuditEntries = 20_000
	// OperationIDWindow is the number of audit entries for which operation ids are deduplicated.
	OperationIDWindow = 1_024
)

// completeEntry fills in an audit entry from the error that a change returned.
func (e *edit) completeEntry(entry *configpb.AuditEntry, err error) *configpb.AuditEntry {
	entry.Offset = e.offset
	entry.UnixMs = e.unixMS
	if entry.Operator == "" {
		entry.Operator = e.author
	}
	var conflict *ConflictError
	switch {
	case err == nil:
		entry.Result = configpb.AuditResult_AUDIT_RESULT_ACCEPTED
	case errors.As(err, &conflict):
		entry.Result = configpb.AuditResult_AUDIT_RESULT_CONFLICT
		entry.WinnerOffset = conflict.WinnerOffset
		entry.Detail = conflict.Winner
	default:
		entry.Result = configpb.AuditResult_AUDIT_RESULT_INVALID
		entry.Detail = err.Error()
	}
	return entry
}

// appendAudit appends an entry to the audit trail and indexes it by operation id.
func (e *edit) appendAudit(entry *configpb.AuditEntry) {
	trail := append(slices.Clip(e.state.Audit), entry)
	if len(trail) > MaxAuditEntries {
		trail = slices.Clone(trail[len(trail)-MaxAuditEntries:])
	}
	e.state.Audit = trail
	e.indexOperation(entry)
}

// indexOperation indexes an entry by its operation id and removes the entry that leaves the
// operation window.
func (e *edit) indexOperation(entry *configpb.AuditEntry) {
	trail := e.state.Audit
	var expired *configpb.AuditEntry
	if len(trail) > OperationIDWindow {
		expired = trail[len(trail)-OperationIDWindow-1]
	}
	if entry.GetOperationId() == "" && expired.GetOperationId() == "" {
		return
	}
	operations := maps.Clone(e.state.Operations)
	if operations == nil {
		operations = map[string]*configpb.AuditEntry{}
	}
	if operations[expired.GetOperationId()].GetOffset() == expired.GetOffset() {
		delete(operations, expired.GetOperationId())
	}
	if entry.GetOperationId() != "" {
		operations[entry.GetOperationId()] = entry
	}
	e.state.Operations = operations
}

// indexOperations rebuilds the index by operation id from an audit trail.
func indexOperations(trail []*configpb.AuditEntry) map[string]*configpb.AuditEntry {
	operations := map[string]*configpb.AuditEntry{}
	for _, entry := range trail[max(0, len(trail)-OperationIDWindow):] {
		if entry.GetOperationId() != "" {
			operations[entry.GetOperationId()] = entry
		}
	}
	return operations
}

func searchAudit(trail []*configpb.AuditEntry, offset uint64) (int, bool) {
	return slices.BinarySearchFunc(trail, offset, func(entry *configpb.AuditEntry, offset uint64) int {
		return cmp.Compare(entry.GetOffset(), offset)
	})
}
