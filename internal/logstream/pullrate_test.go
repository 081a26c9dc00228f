package logstream_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// In a long outage, each process makes only a few pulls per second.
func TestPullRateInLongOutage(t *testing.T) {
	const outage, perSecond = 10 * time.Minute, 3.0
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 5)
		defer cl.stop()
		_, err := cl.processes[0].Submit(t.Context(), putTier("first", "first", 0))
		cl.c.Assert(err, qt.IsNil)
		cl.log.SetDown(true)
		time.Sleep(outage)
		pulls := 0.0
		for _, p := range cl.processes {
			pulls += float64(p.pulls.Load())
		}
		rate := pulls / float64(len(cl.processes)) / outage.Seconds()
		t.Logf("%.1f pulls a second and process", rate)
		cl.c.Assert(rate < perSecond, qt.IsTrue)
	})
}
