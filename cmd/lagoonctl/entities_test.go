package main

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Durations that the configuration can't store are refused, not wrapped.
func TestDurationOutOfRangeIsRefused(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"-1s", "1200h"} {
		var into uint32
		err := parseMillis(text, &into)
		var outOfRange *DurationRangeError
		c.Assert(errors.As(err, &outOfRange), qt.IsTrue, qt.Commentf("%s: %d, %v", text, into, err))
	}
	var into uint32
	c.Assert(parseMillis("1190h", &into), qt.IsNil)
	c.Assert(into, qt.Equals, uint32(1190*3600*1000))
}
