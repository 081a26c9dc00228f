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
		start := time.Now()
		c.Assert(log.Close(), qt.IsNil)
		c.Assert(time.Since(start) <= 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
		c.Assert(dropped.Load(), qt.Equals, int64(lines))
		c.Assert(reader.Close(), qt.IsNil)
	})
}

// Guards against losing lines when a log whose output is read is closed.
func TestCloseWritesTheRemainingLines(t *testing.T) {
	c := qt.New(t)
	reader, writer := io.Pipe()
	output := make(chan string, 1)
	go func() {
		text, _ := io.ReadAll(reader)
		output <- string(text)
	}()
	log := telemetry.NewLossyWriter(writer, func(lines int) { c.Errorf("%d lines dropped", lines) })
	const lines = 1000
	for range lines {
		fmt.Fprintln(log, "line")
	}
	c.Assert(log.Close(), qt.IsNil)
	c.Assert(writer.Close(), qt.IsNil)
	c.Assert(<-output, qt.Equals, strings.Repeat("line\n", lines))
}
