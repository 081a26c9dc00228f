package logstream

import (
	"fmt"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

// LogUnavailableError says that a record was certainly not appended.
type LogUnavailableError struct{ Cause error }

func (e *LogUnavailableError) Error() string {
	return fmt.Sprintf("the log is unavailable, nothing was changed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *LogUnavailableError) Unwrap() error { return e.Cause }

// ResultUnknownError says that a record may be in the log, or is in it while its
// effect is not known here yet. Sending the command again under the same
// operation id is safe and settles it.
type ResultUnknownError struct {
	OperationID string
	// Offset of the record; 0 when it is not known whether it was appended.
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

// ConflictError says that a command lost against an earlier change.
type ConflictError struct {
	// Entry is the decision on the command.
	Entry *configpb.AuditEntry
	// Winner is the change that came first; nil when the audit trail no longer has it.
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

// InvalidError says that a command can never take effect as it stands.
type InvalidError struct{ Entry *configpb.AuditEntry }

func (e *InvalidError) Error() string { return e.Entry.GetDetail() }

// GapError says that a record can't be folded yet, because earlier ones lack.
type GapError struct {
	Have uint64
	Got  uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("record %d does not follow offset %d", e.Got, e.Have)
}

// NoSnapshotError says that the log keeps neither the first record nor a usable snapshot.
type NoSnapshotError struct{ First uint64 }

func (e *NoSnapshotError) Error() string {
	return fmt.Sprintf("the log begins at offset %d and holds no usable snapshot", e.First)
}

// LeaseHeldError says that somebody else held a lease until the caller gave up.
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

// StoppedError says that the client's Run has ended.
type StoppedError struct{}

func (e *StoppedError) Error() string { return "the log client has stopped" }

// EncodeError says that a record could not be encoded.
type EncodeError struct{ Cause error }

func (e *EncodeError) Error() string { return fmt.Sprintf("record can't be encoded: %v", e.Cause) }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// OperationReusedError says that an operation id was used for another change before.
type OperationReusedError struct {
	// First is the decision on the change that the id belongs to.
	First *configpb.AuditEntry
}

func (e *OperationReusedError) Error() string {
	return fmt.Sprintf("the operation id was used at offset %d by %s for %s of %s",
		e.First.GetOffset(), e.First.GetOperator(), e.First.GetAction(), e.First.GetEntity())
}
