package move

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"math/rand/v2"

	"github.com/lagoonlane/lagoonlane/internal/command"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
)

func intent(finishIn time.Duration) command.Intent {
	return command.Intent{ID: "m-1", Pool: poolName, FromVersion: oldName, ToVersion: newName, FinishBy: time.Now().Add(finishIn)}
}

func smallFleet(answer behaviour) fleetOptions {
	return fleetOptions{entries: 3, engines: 5, routes: []string{"press", "desk"}, rate: 100, answer: answer, loadTime: 500 * time.Millisecond, seed: 1}
}

// TestGoodVersionMovesInTime checks that a move to a healthy version loads it everywhere, unloads
// the old one and ends in time.
func TestGoodVersionMovesInTime(t *testing.T) {
	withFleet(t, smallFleet(healthy), func(c *qt.C, f *fleet) {
		time.Sleep(3 * time.Second)
		began := time.Now()
		_, err := f.plan(30 * time.Second)
		c.Assert(err, qt.IsNil)
		move := f.awaitEnd(40 * time.Second)
		c.Assert(move.GetState(), qt.Equals, done, qt.Commentf("%s", move.GetReason()))
		c.Assert(time.Since(began) <= 30*time.Second, qt.IsTrue)
		time.Sleep(time.Second)
		for _, s := range f.sidecars {
			c.Assert(s.loaded[newName], qt.IsTrue)
			c.Assert(s.loaded[oldName], qt.IsFalse)
		}
		for _, e := range f.entries {
			shares := e.holder.Current().GetRoutes()["press"].GetShares()
			c.Assert(shares, qt.HasLen, 1)
			c.Assert(shares[0].GetVersion(), qt.Equals, newName)
		}
	})
}

func failing(random *rand.Rand, r requestInfo) response { return fail(random, healthy(random, r), 0.5) }

// TestBadVersionIsTakenBack guards against unloading the old version of a move that is reversed,
// and against requests to a contained version.
func TestBadVersionIsTakenBack(t *testing.T) {
	withFleet(t, smallFleet(failing), func(c *qt.C, f *fleet) {
		time.Sleep(3 * time.Second)
		_, err := f.plan(30 * time.Second)
		c.Assert(err, qt.IsNil)
		move := f.awaitEnd(40 * time.Second)
		c.Assert(move.GetState(), qt.Equals, reversed)
		c.Assert(move.GetReason(), qt.Matches, "contained: errors.*")
		for _, s := range f.sidecars {
			c.Assert(s.loaded[oldName], qt.IsTrue)
		}
		for _, n := range f.tallies() {
			c.Assert(n.afterGrace, qt.Equals, 0)
		}
	})
}

// TestPlanRejectsInfeasibleMoves checks the earliest finish time of a rejected plan, and that a
// second move of the same versions is rejected.
func TestPlanRejectsInfeasibleMoves(t *testing.T) {
	withFleet(t, smallFleet(healthy), func(c *qt.C, f *fleet) {
		_, err := f.plan(5 * time.Second)
		infeasible, ok := asError[*command.InfeasibleError](err)
		c.Assert(ok, qt.IsTrue)
		c.Assert(infeasible.EarliestFinish.After(time.Now().Add(5*time.Second)), qt.IsTrue)
		_, err = f.plan(time.Until(infeasible.EarliestFinish))
		c.Assert(err, qt.IsNil)
		_, err = f.plan(time.Minute)
		_, ok = asError[*command.InfeasibleError](err)
		c.Assert(ok, qt.IsTrue, qt.Commentf("a second move of the same versions: %v", err))
	})
}

var _ = configpb.MoveState_MOVE_STATE_DONE

// TestBadVersionIsContainedWhileLogIsDown guards against containment that depends on the log.
func TestBadVersionIsContainedWhileLogIsDown(t *testing.T) {
	var broken func() bool
	answer := func(random *rand.Rand, r requestInfo) response {
		resp := healthy(random, r)
		resp.BadAnswer = broken()
		resp.faulty = resp.BadAnswer
		return resp
	}
	withFleet(t, smallFleet(answer), func(c *qt.C, f *fleet) {
		broken = func() bool { f.log.mu.Lock(); defer f.log.mu.Unlock(); return f.log.down }
		time.Sleep(3 * time.Second)
		_, err := f.plan(time.Minute)
		c.Assert(err, qt.IsNil)
		f.awaitState(canary)
		f.log.setDown(true)
		time.Sleep(10 * time.Second)
		for _, e := range f.entries {
			c.Assert(e.node.Contained(poolName, newName, "press"), qt.IsTrue)
		}
		for _, n := range f.tallies() {
			c.Assert(n.afterGrace, qt.Equals, 0)
		}
		f.log.setDown(false)
		c.Assert(f.awaitEnd(10*time.Second).GetState(), qt.Equals, reversed)
	})
}

// TestPlainServiceMovesBetweenInstances checks that a pool of plain services moves without load
// steps, and only if an instance of the new version is live.
func TestPlainServiceMovesBetweenInstances(t *testing.T) {
	options := smallFleet(healthy)
	options.engines = 0
	withFleet(t, options, func(c *qt.C, f *fleet) {
		_, err := f.plan(30 * time.Second)
		_, ok := asError[*command.InfeasibleError](err)
		c.Assert(ok, qt.IsTrue, qt.Commentf("no instance of the new version: %v", err))
		f.instances.add(platform.Instance{ID: "svc", Role: platform.RoleSidecar, Address: "10.0.2.1:7000", State: platform.InstanceLive,
			BackendServers: []platform.BackendServer{
				{ID: "desk-1", Kind: "service", Pool: poolName, Version: oldName},
				{ID: "desk-2", Kind: "service", Pool: poolName, Version: newName},
			}})
		time.Sleep(3 * time.Second)
		move, err := f.plan(30 * time.Second)
		c.Assert(err, qt.IsNil)
		for _, step := range move.GetSteps() {
			c.Assert(step.GetBackendServers(), qt.HasLen, 0)
		}
		c.Assert(f.awaitEnd(30*time.Second).GetState(), qt.Equals, done)
	})
}
