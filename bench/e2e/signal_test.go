package e2e

import (
	"errors"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// reloadPause is the time between two signals of a series.
const reloadPause = 200 * time.Millisecond

// SIGHUP in a graceful stop ended the process at once and cut all its running answers.
func TestReloadDuringGracefulStopCutsNoAnswer(t *testing.T) {
	s := newPlatformSite(t)
	s.start(s.sidecar, s.entry)
	running := s.open("running")
	s.c.Assert(s.entry.Terminate(), qt.IsNil)
	for range 3 {
		time.Sleep(reloadPause)
		s.c.Assert(s.entry.Reload(), qt.IsNil)
	}
	s.whole(running)
	s.stops(s.entry)
}

// SIGHUP ended an entry that had not come to serving yet.
func TestReloadWhileStartingEndsNoProcess(t *testing.T) {
	s := newPlatformSite(t)
	// The process waits in the middle of its start until the pipe gives it its settings.
	text, err := os.ReadFile(s.entry.settings)
	s.c.Assert(err, qt.IsNil)
	regular := s.entry.settings + ".regular"
	s.c.Assert(os.Rename(s.entry.settings, regular), qt.IsNil)
	s.c.Assert(syscall.Mkfifo(s.entry.settings, 0o600), qt.IsNil)
	s.c.Assert(s.entry.Launch(), qt.IsNil)
	s.c.Cleanup(func() { _ = s.entry.Kill() })
	pipe := s.openPipe(s.entry.settings)
	s.c.Assert(os.Rename(regular, s.entry.settings), qt.IsNil)
	for range 3 {
		s.c.Assert(s.entry.Reload(), qt.IsNil)
		time.Sleep(reloadPause)
	}
	_, err = pipe.Write(text)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(pipe.Close(), qt.IsNil)
	s.c.Assert(s.entry.WaitServing(t.Context()), qt.IsNil)
	s.c.Assert(strings.Count(s.log(s.entry), "settings read"), qt.Equals, 1)
	s.c.Assert(s.entry.Terminate(), qt.IsNil)
	s.stops(s.entry)
}

// openPipe opens a named pipe for writing once a process reads it.
func (s *platformSite) openPipe(path string) *os.File {
	for end := time.Now().Add(readyTimeout); ; time.Sleep(pollInterval) {
		pipe, err := os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			return pipe
		}
		s.c.Assert(errors.Is(err, syscall.ENXIO) && time.Now().Before(end), qt.IsTrue, qt.Commentf("%v", err))
	}
}

// Signals that come again, in any order, ended a process that was ending gracefully.
func TestSeriesOfSignalsEndsGracefully(t *testing.T) {
	s := newPlatformSite(t)
	s.start(s.sidecar, s.entry)
	running := s.open("running")
	for range 3 {
		for _, send := range []func() error{s.entry.Reload, s.entry.Terminate, s.entry.Interrupt, s.sidecar.Terminate, s.sidecar.Reload, s.sidecar.Interrupt} {
			s.c.Assert(send(), qt.IsNil)
		}
		time.Sleep(reloadPause)
	}
	s.whole(running)
	s.stops(s.entry)
	s.stops(s.sidecar)
}
