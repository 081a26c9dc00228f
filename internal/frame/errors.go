package frame

import "fmt"

// TooLargeError reports that a message exceeds its size limit.
type TooLargeError struct {
	Bytes uint64
	Limit int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes is over the limit of %d", e.Bytes, e.Limit)
}

// MalformedError reports that a message could not be encoded or decoded. Cause is nil if the
// length prefix is malformed.
type MalformedError struct{ Cause error }

func (e *MalformedError) Error() string {
	if e.Cause == nil {
		return "malformed message length"
	}
	return fmt.Sprintf("malformed message: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// TruncatedError reports that a stream ended in the middle of a message.
type TruncatedError struct{}

func (e *TruncatedError) Error() string { return "stream ended in the middle of a message" }
