package settings

import (
	"bytes"
	"errors"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Duration is a time.Duration that is written with a unit, such as "30s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler. It returns *DurationError.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return &DurationError{Text: string(text)}
	}
	*d = Duration(parsed)
	return nil
}

// Secret is a value that is never logged or printed.
type Secret string

// String implements fmt.Stringer. It hides the value.
func (Secret) String() string { return "[secret]" }

// MarshalText implements encoding.TextMarshaler. It hides the value.
func (Secret) MarshalText() ([]byte, error) { return []byte("[secret]"), nil }

// Reveal returns the value.
func (s Secret) Reveal() string { return string(s) }

// decode decodes TOML. It returns *UnknownKeyError for an unknown key and *SyntaxError for other
// faults.
func decode(path string, data []byte, into any) error {
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		row, _ := first.Position()
		return &UnknownKeyError{File: path, Key: strings.Join(first.Key(), "."), Line: row}
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		row, _ := syntax.Position()
		return &SyntaxError{File: path, Line: row, Key: strings.Join(syntax.Key(), "."), Detail: syntax.Error()}
	}
	return &SyntaxError{File: path, Detail: err.Error()}
}
