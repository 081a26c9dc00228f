package bounded_test

import (
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/bounded"
)

// TestBytesBeyondTheLimitAreAnError checks that data cut at the limit is an error.
func TestBytesBeyondTheLimitAreAnError(t *testing.T) {
	c := qt.New(t)
	var large *bounded.TooLargeError
	for size := range 6 {
		for limit := range 6 {
			data, err := bounded.ReadAll(iotest.HalfReader(strings.NewReader(strings.Repeat("x", size))), int64(limit))
			c.Assert(errors.As(err, &large), qt.Equals, size > limit, qt.Commentf("%d of %d", size, limit))
			c.Assert(len(data), qt.Equals, min(size, limit))
		}
	}
}

func TestResetRestoresTheLimit(t *testing.T) {
	c := qt.New(t)
	r := bounded.NewReader(strings.NewReader("abcdef"), 3)
	buffer := make([]byte, 3)
	for _, want := range []string{"abc", "def"} {
		n, err := r.Read(buffer)
		c.Assert(err, qt.IsNil)
		c.Assert(string(buffer[:n]), qt.Equals, want)
		r.Reset()
	}
}
