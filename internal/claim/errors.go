package claim

import (
	"encoding/hex"
	"fmt"
	"time"
)

// LogUnavailableError is returned for a claim that was certainly not appended.
type LogUnavailableError struct{ Cause error }

func (e *LogUnavailableError) Error() string {
	return fmt.Sprintf("the claim was not appended: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *LogUnavailableError) Unwrap() error { return e.Cause }

// ResultUnknownError is returned for a claim that may be in the log. Its request was not and
// must not be dispatched, but its key may be held.
type ResultUnknownError struct {
	DispatchID string
	Cause      error
}

func (e *ResultUnknownError) Error() string {
	return fmt.Sprintf("it is not known whether claim %s was appended: %v", e.DispatchID, e.Cause)
}

// Unwrap returns the cause.
func (e *ResultUnknownError) Unwrap() error { return e.Cause }

// FingerprintMismatchError is returned if a key is held by a different request.
type FingerprintMismatchError struct{ KeyHash []byte }

func (e *FingerprintMismatchError) Error() string {
	return "idempotency key " + hex.EncodeToString(e.KeyHash) + " was used for another request"
}

// IncompleteHistoryError is returned if the log dropped claims that may still hold their keys
// before this process could read them.
type IncompleteHistoryError struct {
	// Since is the time of the oldest known claim.
	Since time.Time
	// Window is how long a key is held.
	Window time.Duration
}

func (e *IncompleteHistoryError) Error() string {
	return fmt.Sprintf("claims are known since %s only, and hold their keys for %s",
		e.Since.UTC().Format(time.RFC3339), e.Window)
}

// ClockSkewError is returned if the clock of this process agrees with that of no other process that
// appends claims, so that it cannot determine whether a key is still held.
type ClockSkewError struct {
	// Ahead is how far another process's clock is ahead of the local one.
	Ahead time.Duration
}

func (e *ClockSkewError) Error() string {
	return fmt.Sprintf("the clocks of other processes are %s ahead of this one's", e.Ahead)
}
