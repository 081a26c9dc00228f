package routing

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/platform"
)

// TestIdlePoolsAreRefreshedSeldom guards against flooding the sidecars of idle pools with load
// requests. It counts the load requests of an entry in one minute when none of 40 sidecars
// responds.
func TestIdlePoolsAreRefreshedSeldom(t *testing.T) {
	const round = 250 * time.Millisecond
	c := qt.New(t)
	table := NewTable(Options{EntryID: "entry", Seed: 1})
	var list []platform.Instance
	for i := range 40 {
		id := fmt.Sprint("sidecar-", i)
		list = append(list, platform.Instance{ID: id, Role: platform.RoleSidecar, Address: id, State: platform.InstanceLive,
			BackendServers: []platform.BackendServer{{ID: "engine-" + id, Kind: "engine", Pool: "model"}}})
	}
	table.SetInstances(list)
	start := time.Unix(1, 0)
	requests := func(from, length time.Duration) int {
		n := 0
		for elapsed := from; elapsed < from+length; elapsed += round {
			n += len(table.TakeStale(2, start.Add(elapsed)))
		}
		return n
	}
	idle := requests(0, time.Minute)
	c.Assert(idle > 0 && idle <= 60, qt.IsTrue, qt.Commentf("%d load requests in an idle minute", idle))
	// Choose marks the pool as active even if no backend server can be chosen.
	_, _ = table.Choose(Request{Pool: "model", Version: "v1"}, start.Add(time.Minute))
	active := requests(time.Minute, activeWindow)
	c.Assert(active >= 2*int(activeWindow/time.Second), qt.IsTrue, qt.Commentf("%d load requests while in use", active))
}
