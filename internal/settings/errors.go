package settings

import "fmt"

// FileError reports that a settings file could not be read.
type FileError struct {
	File  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("settings file %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// SyntaxError reports that a settings file is not valid TOML or that a value has the wrong type.
type SyntaxError struct {
	File   string
	Line   int
	Key    string
	Detail string
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("settings file %s, line %d, key %q: %s", e.File, e.Line, e.Key, e.Detail)
}

// UnknownKeyError reports an unknown key in a settings file.
type UnknownKeyError struct {
	File string
	Key  string
	Line int
}

func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("settings file %s, line %d: unknown key %q", e.File, e.Line, e.Key)
}

// ValueError reports a missing key or a value that is not allowed.
type ValueError struct {
	File    string
	Key     string
	Value   string
	Allowed string
}

func (e *ValueError) Error() string {
	if e.Value == "" {
		return fmt.Sprintf("settings file %s: key %q is missing; allowed: %s", e.File, e.Key, e.Allowed)
	}
	return fmt.Sprintf("settings file %s: key %q has value %q; allowed: %s", e.File, e.Key, e.Value, e.Allowed)
}

// DurationError reports a malformed duration, such as a number without a unit.
type DurationError struct{ Text string }

func (e *DurationError) Error() string {
	return fmt.Sprintf("%q is not a duration; write a number with a unit, such as \"30s\" or \"5m\"", e.Text)
}
