package telemetry_test

import (
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/telemetry"
)

// Guards against a process that never ends because closing its log blocks on a standard output that
// is not read.
func TestCloseOfAStuckLogIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		reader, writer := io.Pipe()
		var dropped atomic.Int64
		log := telemetry.NewLossyWriter(writer, func(lines int) { dropped.Add(int64(lines)) })
		const lines = 7
		for i := range lines {
			fmt.Fprintf(log, "line %d\n", i)
		}
		began := time.Now()
		c.Assert(log.Close(), qt.IsNil)
		c.Assert(time.Since(began) <= 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		c.Assert(dropped.Load(), qt.Equals, int64(lines))
		c.Assert(reader.Close(), qt.IsNil)
	})
}

// Guards against losing lines when a log whose output is read is closed.
func TestCloseOfALogWritesItsLastLines(t *testing.T) {
	c := qt.New(t)
	reader, writer := io.Pipe()
	all := make(chan string, 1)
	go func() {
		text, _ := io.ReadAll(reader)
		all <- string(text)
	}()
	log := telemetry.NewLossyWriter(writer, func(lines int) { c.Errorf("%d lines dropped", lines) })
	const lines = 1000
	for range lines {
		fmt.Fprintln(log, "line")
	}
	c.Assert(log.Close(), qt.IsNil)
	c.Assert(writer.Close(), qt.IsNil)
	c.Assert(<-all, qt.Equals, strings.Repeat("line\n", lines))
}
