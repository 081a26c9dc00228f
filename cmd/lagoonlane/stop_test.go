package main

import (
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// A process whose standard output nobody reads stayed until it was killed.
func TestProcessWithAStuckOutputEndsInItsGraceTime(t *testing.T) {
	w := newTold(t)
	reader, writer, err := os.Pipe()
	w.c.Assert(err, qt.IsNil)
	size, err := unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, os.Getpagesize())
	w.c.Assert(err, qt.IsNil)
	_, err = writer.Write(make([]byte, size))
	w.c.Assert(err, qt.IsNil)
	w.c.Cleanup(func() { reader.Close() })
	os.Stdout = writer
	stop, ended := w.run()
	stop(&stopError{})
	select {
	case err := <-ended:
		w.c.Assert(err, qt.IsNil)
	case <-time.After(3500 * time.Millisecond):
		w.c.Fatal("the process has not ended at the end of its grace time")
	}
}
