package logstream_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowLog is how long a slow log takes for each answer.
const slowLog = 3 * time.Second

// A log that takes seconds for each answer is slow, not down: changes are
// accepted, and in force everywhere in time.
func TestSlowLogStillServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, spreadProcesses)
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
				cl.c.Assert(time.Since(accepted) < spreadLimit, qt.IsTrue)
				time.Sleep(spreadPoll)
			}
			t.Logf("in force everywhere after %s", time.Since(accepted))
		}
	})
}
