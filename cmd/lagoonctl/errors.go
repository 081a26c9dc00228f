package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/operatorapi"
)

// UsageError reports an invalid command line.
type UsageError struct{ Text string }

func (e *UsageError) Error() string { return e.Text }

// ProblemError is an error response of an entry.
type ProblemError struct{ Problem operatorapi.Problem }

func (e *ProblemError) Error() string {
	text := fmt.Sprintf("%s (outcome %s): %s", e.Problem.Title, e.Problem.Outcome, e.Problem.Detail)
	if winner := e.Problem.Winner; winner != nil {
		text += fmt.Sprintf("\nwinner: operator %s, %s of %s at offset %d, %s", winner.Operator,
			winner.Action, winner.Entity, winner.Offset, winner.Time.Format(time.RFC3339))
	}
	if e.Problem.EarliestFinish != nil {
		text += "\nearliest finish: " + e.Problem.EarliestFinish.Format(time.RFC3339)
	}
	return text
}

func (e *ProblemError) conflict() bool { return e.Problem.Status == http.StatusConflict }

// retry reports whether the operation may succeed when it is retried.
func (e *ProblemError) retry() bool {
	return e.Problem.Status == http.StatusGatewayTimeout || e.Problem.Status == http.StatusServiceUnavailable
}

// NoAnswerError reports that no complete response was received. A change may still have taken
// effect.
type NoAnswerError struct {
	Operation string
	Cause     error
}

func (e *NoAnswerError) Error() string {
	if e.Operation == "" {
		return fmt.Sprintf("no answer: %v", e.Cause)
	}
	return fmt.Sprintf("no answer to operation %s: %v (look at: lagoonctl audit --operation %s)",
		e.Operation, e.Cause, e.Operation)
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }

// FileError reports that a file cannot be read, written or decoded.
type FileError struct {
	File  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// ValueError reports an invalid value in a flag.
type ValueError struct {
	Field string
	Value string
}

func (e *ValueError) Error() string { return fmt.Sprintf("%s: %q is not allowed", e.Field, e.Value) }

// MoveReversedError reports that a watched move was reversed.
type MoveReversedError struct {
	ID     string
	Reason string
}

func (e *MoveReversedError) Error() string { return "move " + e.ID + " was reversed: " + e.Reason }
