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

// reloadPause is the time between two signals.
const reloadPause = 200 * time.Millisecond

// Guards against a SIGHUP that terminates the process during a graceful shutdown and cuts its
// running answers.
func TestReloadDuringGracefulStopCutsNoAnswer(t *testing.T) {
	s := newPlatformSite(t)
	s.start(s.sidecar, s.entry)
	running := s.openStream("running")
	s.c.Assert(s.entry.Terminate(), qt.IsNil)
	sendReloads(s.c, s.entry.Process)
	s.assertComplete(running)
	s.assertGracefulExit(s.entry)
}

// Guards against a SIGHUP that terminates an entry before it serves.
func TestReloadWhileStartingEndsNoProcess(t *testing.T) {
	s := newPlatformSite(t)
	// The process blocks during its start until the pipe provides its settings.
	text, err := os.ReadFile(s.entry.settings)
	s.c.Assert(err, qt.IsNil)
	regular := s.entry.settings + ".regular"
	s.c.Assert(os.Rename(s.entry.settings, regular), qt.IsNil)
	s.c.Assert(syscall.Mkfifo(s.entry.settings, 0o600), qt.IsNil)
	s.c.Assert(s.entry.Launch(), qt.IsNil)
	s.c.Cleanup(func() { _ = s.entry.Kill() })
	pipe := s.openPipe(s.entry.settings)
	s.c.Assert(os.Rename(regular, s.entry.settings), qt.IsNil)
	sendReloads(s.c, s.entry.Process)
	_, err = pipe.Write(text)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(pipe.Close(), qt.IsNil)
	s.c.Assert(s.entry.WaitServing(t.Context()), qt.IsNil)
	s.c.Assert(strings.Count(s.log(s.entry), "settings read"), qt.Equals, 1)
	s.c.Assert(s.entry.Terminate(), qt.IsNil)
	s.assertGracefulExit(s.entry)
}

// openPipe opens a named pipe for writing after a process has opened it for reading.
func (s *platformSite) openPipe(path string) *os.File {
	for end := time.Now().Add(readyTimeout); ; time.Sleep(pollInterval) {
		pipe, err := os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			return pipe
		}
		s.c.Assert(errors.Is(err, syscall.ENXIO) && time.Now().Before(end), qt.IsTrue, qt.Commentf("%v", err))
	}
}

// Guards against repeated signals, in any order, that terminate a process during its graceful
// shutdown.
func TestSeriesOfSignalsEndsGracefully(t *testing.T) {
	s := newPlatformSite(t)
	s.start(s.sidecar, s.entry)
	running := s.openStream("running")
	for range 3 {
		for _, send := range []func() error{s.entry.Reload, s.entry.Terminate, s.entry.Interrupt, s.sidecar.Terminate, s.sidecar.Reload, s.sidecar.Interrupt} {
			s.c.Assert(send(), qt.IsNil)
		}
		time.Sleep(reloadPause)
	}
	s.assertComplete(running)
	s.assertGracefulExit(s.entry)
	s.assertGracefulExit(s.sidecar)
}

// Guards against a SIGHUP that terminates an entry or a sidecar with lagoonlane's own interface.
func TestReloadEndsNoRoleOfOurOwn(t *testing.T) {
	for _, name := range []string{"entry-1", "sidecar-ledger-1"} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			l := startLoad(s, loadCallers, true)
			process := s.Process(name)
			s.c.Assert(process.Reload(), qt.IsNil)
			s.waitForLog(process, `"outcome":"settings read"`)
			settings := filepath.Join(s.Spec.Dir, name+".toml")
			s.c.Assert(os.WriteFile(settings, []byte("[process]\nid = \"\"\n"), 0o600), qt.IsNil)
			s.c.Assert(process.Reload(), qt.IsNil)
			s.waitForLog(process, `"outcome":"settings kept"`)
			s.c.Assert(process.Terminate(), qt.IsNil)
			s.c.Assert(process.Reload(), qt.IsNil)
			code, err := process.Wait(t.Context())
			s.c.Assert(err, qt.IsNil)
			s.c.Assert(code, qt.Equals, 0)
			l.stopAndCheck()
		})
	}
}

// waitForLog waits until the log of a process contains a text.
func (s *site) waitForLog(p *deploy.Process, text string) {
	s.eventually(p.Name+" logs "+text, func() bool {
		log, err := p.LogText()
		s.c.Assert(err, qt.IsNil)
		return strings.Contains(log, text)
	})
}

// Guards against a closed log pipe that terminates the process, with all its requests, at the next
// log line.
func TestLostReaderOfLogsEndsNoProcess(t *testing.T) {
	s := newPlatformSite(t)
	s.start(s.sidecar)
	closePipe := pipeOutput(s.c, s.entry.Process)
	s.start(s.entry)
	running := s.openStream("running")
	closePipe()
	sendReloads(s.c, s.entry.Process)
	s.assertComplete(running)
	s.c.Assert(s.entry.Terminate(), qt.IsNil)
	s.assertGracefulExit(s.entry)
}

// The same as TestLostReaderOfLogsEndsNoProcess for the entry and sidecar roles, which log to
// standard error.
func TestLostReaderOfLogsEndsNoRoleOfOurOwn(t *testing.T) {
	s := newSite(t)
	process := s.Process("entry-1")
	s.c.Assert(process.Kill(), qt.IsNil)
	closePipe := pipeOutput(s.c, process)
	s.c.Assert(process.Restart(t.Context()), qt.IsNil)
	s.c.Assert(process.WaitReady(t.Context()), qt.IsNil)
	closePipe()
	sendReloads(s.c, process)
	s.waitServing()
	s.c.Assert(process.Terminate(), qt.IsNil)
	code, err := process.Wait(t.Context())
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(code, qt.Equals, 0)
}

// pipeOutput redirects the output of later starts of a process to a pipe, and returns a function
// that closes both ends of the pipe.
func pipeOutput(c *qt.C, p *deploy.Process) (closePipe func()) {
	read, write, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	p.RedirectOutput(write)
	return func() {
		c.Assert(write.Close(), qt.IsNil)
		c.Assert(read.Close(), qt.IsNil)
	}
}

// sendReloads sends three SIGHUP. Each makes the process write a log line.
func sendReloads(c *qt.C, p *deploy.Process) {
	for range 3 {
		c.Assert(p.Reload(), qt.IsNil)
		time.Sleep(reloadPause)
	}
}

// Guards against a log collector that stops reading and thereby blocks the shutdown until the
// process is killed.
func TestStalledReaderOfLogsHoldsNothingUp(t *testing.T) {
	s := newPlatformSite(t)
	s.start(s.sidecar)
	fillPipe := stallOutput(s.c, s.entry.Process)
	s.start(s.entry)
	running := s.openStream("running")
	fillPipe()
	sendReloads(s.c, s.entry.Process)
	s.c.Assert(s.entry.Terminate(), qt.IsNil)
	s.assertComplete(running)
	s.assertGracefulExit(s.entry)
}

// Guards against log lines that block on a stalled collector in the entry and sidecar roles, also
// during shutdown.
func TestStalledReaderOfLogsHoldsUpNoRoleOfOurOwn(t *testing.T) {
	s := newSite(t)
	process := s.Process("entry-1")
	s.c.Assert(process.Kill(), qt.IsNil)
	fillPipe := stallOutput(s.c, process)
	s.c.Assert(process.Restart(t.Context()), qt.IsNil)
	s.c.Assert(process.WaitReady(t.Context()), qt.IsNil)
	fillPipe()
	sendReloads(s.c, process)
	s.waitServing()
	s.c.Assert(process.Terminate(), qt.IsNil)
	ctx, cancel := context.WithTimeout(t.Context(), operationTimeout)
	defer cancel()
	code, err := process.Wait(ctx)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(code, qt.Equals, 0)
}

// stallOutput redirects the output of later starts of a process to a pipe without a reader, and
// returns a function that fills the pipe.
func stallOutput(c *qt.C, p *deploy.Process) (fillPipe func()) {
	read, write, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	p.RedirectOutput(write)
	c.Cleanup(func() {
		_ = read.Close()
		_ = write.Close()
	})
	return func() {
		go func() {
			// Write blocks until the reader is closed.
			_, _ = write.Write(make([]byte, 1<<20))
		}()
		time.Sleep(reloadPause)
	}
}

// Guards against a reload that blocks on unresponsive storage and delays the shutdown until the
// process is killed.
func TestReloadThatHangsHoldsNoStopUp(t *testing.T) {
	s := newPlatformSite(t)
	s.start(s.sidecar, s.entry)
	// Opening a pipe for reading blocks while it has no writer.
	s.c.Assert(os.Remove(s.entry.settings), qt.IsNil)
	s.c.Assert(syscall.Mkfifo(s.entry.settings, 0o600), qt.IsNil)
	s.c.Assert(s.entry.Reload(), qt.IsNil)
	time.Sleep(reloadPause)
	s.c.Assert(s.entry.Terminate(), qt.IsNil)
	s.assertGracefulExit(s.entry)
}
