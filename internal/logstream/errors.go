package logstream

import (
	"fmt"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// LogUnavailableError reports that a record was definitely not appended.
type LogUnavailableError struct{ Cause error }

func (e *LogUnavailableError) Error() string {
	return fmt.Sprintf("the log is unavailable, nothing was changed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *LogUnavailableError) Unwrap() error { return e.Cause }

// ResultUnknownError reports that a record may be in the log, or that it is in the log but its
// effect is unknown in this process. Submitting the command again with the same operation id is
// safe and returns its result.
type ResultUnknownError struct {
	OperationID string
	// Offset is the offset of the record; 0 if it is unknown whether it was appended.
	Offset uint64
	Cause  error
}

func (e *ResultUnknownError) Error() string {
	if e.Offset > 0 {
		return fmt.Sprintf("operation %s is in the log at offset %d, its effect is not known yet: %v", e.OperationID, e.Offset, e.Cause)
	}
	return fmt.Sprintf("it is not known whether operation %s took effect: %v", e.OperationID, e.Cause)
}

// Unwrap returns the cause.
func (e *ResultUnknownError) Unwrap() error { return e.Cause }

// ConflictError reports that a command was rejected because of an earlier change.
type ConflictError struct {
	// Entry is the decision on the command.
	Entry *configpb.AuditEntry
	// Winner is the earlier change; nil if the audit trail no longer contains it.
	Winner *configpb.AuditEntry
}

func (e *ConflictError) Error() string {
	if e.Winner == nil {
		return fmt.Sprintf("%s is not at revision %d", e.Entry.GetEntity(), e.Entry.GetExpectedRevision())
	}
	changedAt := time.UnixMilli(e.Winner.GetUnixMs()).UTC().Format(time.RFC3339)
	return fmt.Sprintf("%s: operator %s was first at offset %d, %s",
		e.Entry.GetEntity(), e.Winner.GetOperator(), e.Winner.GetOffset(), changedAt)
}

// InvalidError reports a command that is rejected regardless of other changes.
type InvalidError struct{ Entry *configpb.AuditEntry }

func (e *InvalidError) Error() string { return e.Entry.GetDetail() }

// GapError reports a record that can't be applied yet because earlier records are missing.
type GapError struct {
	Have uint64
	Got  uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("record %d does not follow offset %d", e.Got, e.Have)
}

// NoSnapshotError reports that the log contains neither its first record nor a usable snapshot.
type NoSnapshotError struct{ First uint64 }

func (e *NoSnapshotError) Error() string {
	return fmt.Sprintf("the log begins at offset %d and holds no usable snapshot", e.First)
}

// LeaseHeldError reports that another holder had a lease until the caller's context was done.
type LeaseHeldError struct {
	Name   string
	Holder string
	Cause  error
}

func (e *LeaseHeldError) Error() string {
	return fmt.Sprintf("lease %s is held by %q: %v", e.Name, e.Holder, e.Cause)
}

// Unwrap returns the cause.
func (e *LeaseHeldError) Unwrap() error { return e.Cause }

// StoppedError reports that the client's Run has returned.
type StoppedError struct{}

func (e *StoppedError) Error() string { return "the log client has stopped" }

// EncodeError reports that a record could not be encoded.
type EncodeError struct{ Cause error }

func (e *EncodeError) Error() string { return fmt.Sprintf("record can't be encoded: %v", e.Cause) }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// OperationReusedError reports that an operation id was already used for a different change.
type OperationReusedError struct {
	// First is the decision on the first change with the operation id.
	First *configpb.AuditEntry
}

func (e *OperationReusedError) Error() string {
	return fmt.Sprintf("the operation id was used at offset %d by %s for %s of %s",
		e.First.GetOffset(), e.First.GetOperator(), e.First.GetAction(), e.First.GetEntity())
}
