package routing

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/platform"
)

// TestIdlePoolsAreRefreshedSeldom counts the loads that an entry asks for in a
// minute, of 40 sidecars that never answer.
func TestIdlePoolsAreRefreshedSeldom(t *testing.T) {
	const round = 250 * time.Millisecond
	c := qt.New(t)
	table := NewTable(Options{Self: "entry", Seed: 1})
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
			n += len(table.Stale(2, start.Add(elapsed)))
		}
		return n
	}
	idle := requests(0, time.Minute)
	c.Assert(idle > 0 && idle <= 60, qt.IsTrue, qt.Commentf("%d loads asked for in an idle minute", idle))
	// A choice marks the pool as in use, whether a backend server can be chosen or not.
	_, _ = table.Choose(Request{Pool: "model", Version: "v1"}, start.Add(time.Minute))
	active := requests(time.Minute, activeWindow)
	c.Assert(active >= 2*int(activeWindow/time.Second), qt.IsTrue, qt.Commentf("%d loads asked for in use", active))
}
