package logstream_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowLog is the response time of a slow log.
const slowLog = 3 * time.Second

// A log with response times of seconds counts as slow, not as down: changes are accepted, and
// are applied everywhere within the limit.
func TestSlowLogStillServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, propagationProcesses)
		defer cl.stop()
		time.Sleep(time.Second)
		for _, p := range cl.processes {
			p.conn.SetDelay(slowLog)
		}
		time.Sleep(10 * time.Second)
		var revision uint64
		for _, name := range []string{"first", "second", "third"} {
			entry, err := cl.processes[3].Submit(t.Context(), putTier(name, name, revision))
			cl.c.Assert(err, qt.IsNil)
			accepted := time.Now()
			revision = entry.GetOffset()
			for !allAtOffset(cl, revision) {
				cl.c.Assert(time.Since(accepted) < propagationLimit, qt.IsTrue)
				time.Sleep(propagationPoll)
			}
			t.Logf("in force everywhere after %s", time.Since(accepted))
		}
	})
}
