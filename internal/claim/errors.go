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

// ClaimUnknownError is returned for a claim that may be in the log. Its request was not and
// must not be dispatched, but its key may be held.
type ClaimUnknownError struct {
	DispatchID string
	Cause      error
}

func (e *ClaimUnknownError) Error() string {
	return fmt.Sprintf("it is not known whether claim %s was appended: %v", e.DispatchID, e.Cause)
}

// Unwrap returns the cause.
func (e *ClaimUnknownError) Unwrap() error { return e.Cause }

// FingerprintMismatchError is returned if a key is held by a different request.
type FingerprintMismatchError struct{ KeyHash []byte }

func (e *FingerprintMismatchError) Error() string {
	return "idempotency key " + hex.EncodeToString(e.KeyHash) + " was used for another request"
}

// HistoryError is returned if the log dropped claims that may still hold their keys before this
// process could read them.
type HistoryError struct {
	// Since is the time of the oldest known claim.
	Since time.Time
	// Window is how long a key is held.
	Window time.Duration
}

func (e *HistoryError) Error() string {
	return fmt.Sprintf("claims are known since %s only, and hold their keys for %s",
		e.Since.UTC().Format(time.RFC3339), e.Window)
}

// ClockError is returned if the clock of this process agrees with that of no other process that
// appends claims, so that it cannot determine whether a key is still held.
type ClockError struct {
	// Ahead is how far another process's clock is ahead of the local one.
	Ahead time.Duration
}

func (e *ClockError) Error() string {
	return fmt.Sprintf("the clocks of other processes are %s ahead of this one's", e.Ahead)
}
