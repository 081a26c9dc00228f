package main

import (
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// Guards against a process that blocks at shutdown because its standard output is a full pipe, and
// runs until it is killed.
func TestProcessWithAStuckOutputEndsInItsGraceTime(t *testing.T) {
	e := newTestEntry(t)
	reader, writer, err := os.Pipe()
	e.c.Assert(err, qt.IsNil)
	size, err := unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, os.Getpagesize())
	e.c.Assert(err, qt.IsNil)
	_, err = writer.Write(make([]byte, size))
	e.c.Assert(err, qt.IsNil)
	e.c.Cleanup(func() { reader.Close() })
	os.Stdout = writer
	stop, ended := e.run()
	stop(&stopError{})
	select {
	case err := <-ended:
		e.c.Assert(err, qt.IsNil)
	case <-time.After(3500 * time.Millisecond):
		e.c.Fatal("the process has not exited within its grace time")
	}
}

// Guards against refused connections when all entries of a zone stop within seconds: an entry that
// still runs for its long answers must keep accepting connections.
func TestEntryAcceptsWhileLongAnswersKeepIt(t *testing.T) {
	const grace = 6 * time.Second
	e := newTestEntryWithGrace(t, grace)
	stop, ended := e.run()
	closeStream := e.openStream("long")
	stop(&stopError{})
	time.Sleep(minAcceptTime + 500*time.Millisecond)
	response, err := e.send("late", "/call/x")
	e.c.Assert(err, qt.IsNil)
	response.Body.Close()
	e.c.Assert(response.Close, qt.IsTrue)
	closeStream()
	select {
	case err := <-ended:
		e.c.Assert(err, qt.IsNil)
	case <-time.After(time.Second):
		e.c.Fatal("the process has not exited after its last answer ended")
	}
	_, err = e.send("after", "/call/x")
	e.c.Assert(err, qt.IsNotNil)
}

// Guards against an entry that accepts connections until its end and so cuts the answers of its
// last callers.
func TestEntryStopsAcceptingBeforeItsEnd(t *testing.T) {
	const grace = 6 * time.Second
	e := newTestEntryWithGrace(t, grace)
	stop, ended := e.run()
	e.openStream("long")
	stop(&stopError{})
	time.Sleep(grace - exitMargin - stopAcceptingBefore + 300*time.Millisecond)
	_, err := e.send("last", "/call/x")
	e.c.Assert(err, qt.IsNotNil)
	e.c.Assert(<-ended, qt.IsNil)
}
