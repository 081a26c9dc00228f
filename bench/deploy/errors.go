package deploy

import "fmt"

// StartError reports that a program could not be started.
type StartError struct {
	Process string
	Cause   error
}

func (e *StartError) Error() string { return fmt.Sprintf("%s did not start: %v", e.Process, e.Cause) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// ExitedError reports that a process exited before it became healthy or ready.
type ExitedError struct {
	Process string
	Code    int
	Log     string
}

func (e *ExitedError) Error() string {
	return fmt.Sprintf("%s exited with %d; its log ends:\n%s", e.Process, e.Code, e.Log)
}

// NotReadyError reports that a process did not pass a health or readiness check in time.
type NotReadyError struct {
	Process string
	URL     string
	Log     string
}

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("%s does not answer 200 at %s; its log ends:\n%s", e.Process, e.URL, e.Log)
}

// StillRunningError reports that a process has not exited or, after SIGSTOP, has not stopped.
type StillRunningError struct{ Process string }

func (e *StillRunningError) Error() string { return e.Process + " is still running" }

// SignalError reports that a signal could not be sent to a process.
type SignalError struct {
	Process string
	Cause   error
}

func (e *SignalError) Error() string {
	return fmt.Sprintf("%s could not be signalled: %v", e.Process, e.Cause)
}

// Unwrap returns the cause.
func (e *SignalError) Unwrap() error { return e.Cause }

// NoPortError reports that no free port was found.
type NoPortError struct{}

func (*NoPortError) Error() string { return "no free port on 127.0.0.1" }

// CommandError reports that a command failed.
type CommandError struct {
	Command string
	Cause   error
	Output  string
}

func (e *CommandError) Error() string {
	return fmt.Sprintf("%s: %v\n%s", e.Command, e.Cause, e.Output)
}

// Unwrap returns the cause.
func (e *CommandError) Unwrap() error { return e.Cause }

// StatusError reports an HTTP error status of a stand-in.
type StatusError struct {
	URL    string
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.URL, e.Status, e.Body)
}
