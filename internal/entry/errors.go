package entry

import (
	"fmt"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// RefusedError is returned if a sidecar refused a request. The request has not run there and will
// not run there.
type RefusedError struct {
	Reason     lanepb.RefusalReason
	RetryAfter time.Duration
	Detail     string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("sidecar refused (%s): %s", e.Reason, e.Detail)
}

// UnreachableError is returned if a call to a sidecar other than the dispatch itself failed or was
// not made. That call dispatched nothing.
type UnreachableError struct{ Cause error }

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("sidecar can't be reached: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// AnswerLostError is returned if a dispatch may have run but its answer can't be retrieved. It
// does not implement Unwrap: a cause such as *UnreachableError would match errors.As and classify
// the request as not dispatched.
type AnswerLostError struct{ Cause error }

func (e *AnswerLostError) Error() string { return fmt.Sprintf("the answer is lost: %v", e.Cause) }

// KeyHolderError is returned if the attempt that holds the call's idempotency key produced no
// answer.
type KeyHolderError struct{ Cause error }

func (e *KeyHolderError) Error() string {
	return fmt.Sprintf("the attempt that holds the idempotency key: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *KeyHolderError) Unwrap() error { return e.Cause }

// FaultError is returned if a sidecar ended an incomplete answer with a fault frame.
type FaultError struct {
	Outcome lanepb.Outcome
	Reason  lanepb.RefusalReason
	Detail  string
}

func (e *FaultError) Error() string {
	return fmt.Sprintf("answer ended by a fault (%s): %s", e.Outcome, e.Detail)
}

// BadAnswerError is returned if an answer ended but is incomplete or malformed.
type BadAnswerError struct{ Detail string }

func (e *BadAnswerError) Error() string { return "bad answer: " + e.Detail }

// StatusError is returned if a sidecar responded with an HTTP status other than 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("sidecar answered with status %d", e.Status) }

// AnswerNotKeptError is returned if a dispatch has ended and the sidecar no longer keeps its
// answer.
type AnswerNotKeptError struct{ State lanepb.DispatchState }

func (e *AnswerNotKeptError) Error() string {
	return "the sidecar does not keep the answer: " + e.State.String()
}

// CallerWriteError is returned if writing to the caller failed.
type CallerWriteError struct{ Cause error }

func (e *CallerWriteError) Error() string { return fmt.Sprintf("write to caller: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CallerWriteError) Unwrap() error { return e.Cause }
