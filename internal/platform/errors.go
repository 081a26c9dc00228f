package platform

import "fmt"

// UnavailableError reports that a platform service was unreachable or refused the call, and that
// the call had no effect.
type UnavailableError struct {
	Service string
	Cause   error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s is unavailable: %v", e.Service, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// AppendUnknownError reports that an append got no valid response: the record may be in the log.
type AppendUnknownError struct {
	Stream string
	Cause  error
}

func (e *AppendUnknownError) Error() string {
	return fmt.Sprintf("append to %s has an unknown result: %v", e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *AppendUnknownError) Unwrap() error { return e.Cause }

// TruncatedError reports that an offset is older than the oldest retained one.
type TruncatedError struct {
	Stream string
	From   uint64
	First  uint64
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("%s no longer retains offset %d; the first retained offset is %d", e.Stream, e.From, e.First)
}

// NotFoundError reports that an object with the given name does not exist.
type NotFoundError struct {
	Kind string
	Name string
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("no %s named %q", e.Kind, e.Name) }

// NotSentError reports that no byte of a call was sent to the backend server.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return fmt.Sprintf("call was not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// BrokenCallError reports that a call got no complete response, although the backend server may
// have received it.
type BrokenCallError struct{ Cause error }

func (e *BrokenCallError) Error() string { return fmt.Sprintf("call broke: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BrokenCallError) Unwrap() error { return e.Cause }

// FencedError reports that an order has a lower fencing number than one that the engine has
// already accepted.
type FencedError struct {
	Given   uint64
	Highest uint64
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("fencing number %d is older than %d", e.Given, e.Highest)
}

// ProtocolError reports a response that violates the protocol of a platform service.
type ProtocolError struct {
	Service string
	Status  int
	Detail  string
}

func (e *ProtocolError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.Service, e.Status, e.Detail)
}
