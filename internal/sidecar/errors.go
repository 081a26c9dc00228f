package sidecar

import "fmt"

// OptionError reports a missing or invalid field of Options.
type OptionError struct{ Field string }

func (e *OptionError) Error() string { return "missing or invalid option " + e.Field }

// IncompleteAnswerError reports an answer that ended before it was complete.
type IncompleteAnswerError struct {
	// Bytes is the number of body bytes that were received.
	Bytes uint64
	// Cause is the read error, or nil if the body ended without one.
	Cause error
}

func (e *IncompleteAnswerError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("answer was cut after %d bytes", e.Bytes)
	}
	return fmt.Sprintf("answer was cut after %d bytes: %v", e.Bytes, e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteAnswerError) Unwrap() error { return e.Cause }

// FrameNotRetainedError reports a frame that is not in the buffer of its answer: it was dropped, or
// it is beyond the end.
type FrameNotRetainedError struct {
	// Sequence is the sequence number of the requested frame.
	Sequence uint64
	// First is the sequence number of the first retained frame.
	First uint64
	// Next is the sequence number after the last frame.
	Next uint64
}

func (e *FrameNotRetainedError) Error() string {
	return fmt.Sprintf("frame %d is not kept: the buffer holds %d up to %d", e.Sequence, e.First, e.Next)
}

// CancelledError is the context cause of a dispatch that its entry cancelled.
type CancelledError struct{}

func (e *CancelledError) Error() string { return "dispatch was cancelled by its caller" }

// AbandonedError is the context cause of a dispatch whose answer had no reader for the
// grace period.
type AbandonedError struct{}

func (e *AbandonedError) Error() string { return "no reader came back for the answer" }

// DeadlineExceededError is the context cause of a dispatch that exceeded its deadline.
type DeadlineExceededError struct{}

func (e *DeadlineExceededError) Error() string { return "deadline passed while the request ran" }

// BodyTooLargeError reports a request body of more than Limit bytes.
type BodyTooLargeError struct{ Limit int64 }

func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("request body is over %d bytes", e.Limit)
}
