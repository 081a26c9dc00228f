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

// Where all entries of a zone stopped within seconds, callers found nobody who listened,
// although the processes lived on for their long answers.
func TestEntryAcceptsWhileLongAnswersKeepIt(t *testing.T) {
	const grace = 6 * time.Second
	w := newToldWithGrace(t, grace)
	stop, ended := w.run()
	leave := w.open("long")
	stop(&stopError{})
	time.Sleep(leaveAfter + 500*time.Millisecond)
	response, err := w.send("late", "/call/x")
	w.c.Assert(err, qt.IsNil)
	response.Body.Close()
	w.c.Assert(response.Close, qt.IsTrue)
	leave()
	select {
	case err := <-ended:
		w.c.Assert(err, qt.IsNil)
	case <-time.After(time.Second):
		w.c.Fatal("the process stays without the answer that kept it")
	}
	_, err = w.send("after", "/call/x")
	w.c.Assert(err, qt.IsNotNil)
}

// Accepting to the end would cost callers that come last their answers.
func TestEntryStopsAcceptingBeforeItsEnd(t *testing.T) {
	const grace = 6 * time.Second
	w := newToldWithGrace(t, grace)
	stop, ended := w.run()
	w.open("long")
	stop(&stopError{})
	time.Sleep(grace - exitMargin - closeBefore + 300*time.Millisecond)
	_, err := w.send("last", "/call/x")
	w.c.Assert(err, qt.IsNotNil)
	w.c.Assert(<-ended, qt.IsNil)
}
