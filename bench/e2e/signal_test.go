package e2e

import (
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
