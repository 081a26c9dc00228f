package e2e

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/bench/deploy"
)

// reloadPause is the time between two signals of a series.
const reloadPause = 200 * time.Millisecond

// SIGHUP in a graceful stop ended the process at once and cut all its running answers.
func TestReloadDuringGracefulStopCutsNoAnswer(t *testing.T) {
	s := newPlatformSite(t)
	s.start(s.sidecar, s.entry)
	running := s.open("running")
	s.c.Assert(s.entry.Terminate(), qt.IsNil)
	reloadAll(s.c, s.entry.Process)
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
	reloadAll(s.c, s.entry.Process)
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

// SIGHUP ended the roles of our own interface at any time.
func TestReloadEndsNoRoleOfOurOwn(t *testing.T) {
	for _, name := range []string{"entry-1", "sidecar-ledger-1"} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			l := startLoad(s, loadCallers, true)
			process := s.Process(name)
			s.c.Assert(process.Reload(), qt.IsNil)
			s.logs(process, `"outcome":"settings read"`)
			settings := filepath.Join(s.Spec.Dir, name+".toml")
			s.c.Assert(os.WriteFile(settings, []byte("[process]\nid = \"\"\n"), 0o600), qt.IsNil)
			s.c.Assert(process.Reload(), qt.IsNil)
			s.logs(process, `"outcome":"settings kept"`)
			s.c.Assert(process.Terminate(), qt.IsNil)
			s.c.Assert(process.Reload(), qt.IsNil)
			code, err := process.Wait(t.Context())
			s.c.Assert(err, qt.IsNil)
			s.c.Assert(code, qt.Equals, 0)
			l.end()
		})
	}
}

// logs waits until a process has logged a text.
func (s *site) logs(p *deploy.Process, text string) {
	s.eventually(p.Name+" logs "+text, func() bool {
		log, err := p.LogText()
		s.c.Assert(err, qt.IsNil)
		return strings.Contains(log, text)
	})
}

// A collector of logs that went away ended the process at its next log line, with all that it ran.
func TestLostReaderOfLogsEndsNoProcess(t *testing.T) {
	s := newPlatformSite(t)
	s.start(s.sidecar)
	dropReader := pipeLogs(s.c, s.entry.Process)
	s.start(s.entry)
	running := s.open("running")
	dropReader()
	reloadAll(s.c, s.entry.Process)
	s.whole(running)
	s.c.Assert(s.entry.Terminate(), qt.IsNil)
	s.stops(s.entry)
}

// The same for the roles of our own interface, which log to standard error.
func TestLostReaderOfLogsEndsNoRoleOfOurOwn(t *testing.T) {
	s := newSite(t)
	process := s.Process("entry-1")
	s.c.Assert(process.Kill(), qt.IsNil)
	dropReader := pipeLogs(s.c, process)
	s.c.Assert(process.Restart(t.Context()), qt.IsNil)
	s.c.Assert(process.WaitReady(t.Context()), qt.IsNil)
	dropReader()
	reloadAll(s.c, process)
	s.waitServing()
	s.c.Assert(process.Terminate(), qt.IsNil)
	code, err := process.Wait(t.Context())
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(code, qt.Equals, 0)
}

// pipeLogs gives the output of a process that starts next to a pipe, and returns what
// takes the reader of the pipe away.
func pipeLogs(c *qt.C, p *deploy.Process) (dropReader func()) {
	read, write, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	p.LogTo(write)
	return func() {
		c.Assert(write.Close(), qt.IsNil)
		c.Assert(read.Close(), qt.IsNil)
	}
}

// reloadAll sends a series of SIGHUP. Each makes a process write a log line.
func reloadAll(c *qt.C, p *deploy.Process) {
	for range 3 {
		c.Assert(p.Reload(), qt.IsNil)
		time.Sleep(reloadPause)
	}
}

// A collector of logs that no longer read held up the end of the process until it was killed.
func TestStalledReaderOfLogsHoldsNothingUp(t *testing.T) {
	s := newPlatformSite(t)
	s.start(s.sidecar)
	stall := stallLogs(s.c, s.entry.Process)
	s.start(s.entry)
	running := s.open("running")
	stall()
	reloadAll(s.c, s.entry.Process)
	s.c.Assert(s.entry.Terminate(), qt.IsNil)
	s.whole(running)
	s.stops(s.entry)
}

// In the roles of our own interface each line waited for the collector, also those of a stop.
func TestStalledReaderOfLogsHoldsUpNoRoleOfOurOwn(t *testing.T) {
	s := newSite(t)
	process := s.Process("entry-1")
	s.c.Assert(process.Kill(), qt.IsNil)
	stall := stallLogs(s.c, process)
	s.c.Assert(process.Restart(t.Context()), qt.IsNil)
	s.c.Assert(process.WaitReady(t.Context()), qt.IsNil)
	stall()
	reloadAll(s.c, process)
	s.waitServing()
	s.c.Assert(process.Terminate(), qt.IsNil)
	ctx, cancel := context.WithTimeout(t.Context(), operationTimeout)
	defer cancel()
	code, err := process.Wait(ctx)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(code, qt.Equals, 0)
}

// stallLogs gives the output of a process that starts next to a pipe that nobody reads,
// and returns what fills the pipe.
func stallLogs(c *qt.C, p *deploy.Process) (fill func()) {
	read, write, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	p.LogTo(write)
	c.Cleanup(func() {
		_ = read.Close()
		_ = write.Close()
	})
	return func() {
		go func() {
			// It waits in Write until the reader is closed.
			_, _ = write.Write(make([]byte, 1<<20))
		}()
		time.Sleep(reloadPause)
	}
}
