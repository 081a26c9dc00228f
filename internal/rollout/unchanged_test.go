package rollout_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/rollout"
)

// orderBack orders the version that runs, at all entries but the isolated one.
func (sim *simulation) orderBack(id uint64) rollout.Order {
	order := rollout.Order{Service: "model", Target: oldVersion, Duration: orderDuration, ID: id}
	sim.forEachEntry(func(e *entry) {
		if e.id != sim.isolated {
			e.SetOrder(order)
		}
	})
	return order
}

// Guards against an order of the version that runs, given while another one is on trial or its servers drain, after which
// the version on trial got nearly all requests, or none got any.
func TestOrderOfTheRunningVersionKeepsItServing(t *testing.T) {
	bad := failing(0.5, func(_ string, since time.Duration, _ int) bool { return since > 6*time.Second })
	restartAll := func(sim *simulation, order rollout.Order) {
		for i := range sim.entries {
			sim.restartEntry(i, sim.killEntry(i), order)
		}
	}
	for name, play := range map[string]func(sim *simulation) rollout.Order{
		"on trial": func(sim *simulation) rollout.Order { return sim.orderBack(2) },
		"at once": func(sim *simulation) rollout.Order {
			// The first order is not recorded yet.
			return sim.orderBack(2)
		},
		"entries restarted": func(sim *simulation) rollout.Order {
			order := sim.orderBack(2)
			restartAll(sim, order)
			return order
		},
		"one entry restarted": func(sim *simulation) rollout.Order {
			order := sim.orderBack(2)
			sim.restartEntry(1, sim.killEntry(1), order)
			return order
		},
		"one entry cut off": func(sim *simulation) rollout.Order {
			sim.update(func() { sim.isolated = "entry-1" })
			order := sim.orderBack(2)
			sim.sleep(2 * time.Second)
			sim.update(func() { sim.isolated = "" })
			return order
		},
		"store away": func(sim *simulation) rollout.Order {
			sim.log.setFaults(true, false)
			order := sim.orderBack(2)
			sim.sleep(4 * time.Second)
			sim.log.setFaults(false, false)
			return order
		},
		"reverted": func(sim *simulation) rollout.Order {
			sim.c.Assert(sim.waitForState(1, rollout.StateReverted), qt.IsTrue)
			return sim.orderBack(2)
		},
		"reverted, entries restarted": func(sim *simulation) rollout.Order {
			sim.c.Assert(sim.waitForState(1, rollout.StateReverted), qt.IsTrue)
			order := sim.orderBack(2)
			restartAll(sim, order)
			return order
		},
		"three orders": func(sim *simulation) rollout.Order {
			sim.forEachEntry(func(e *entry) {
				e.SetOrder(rollout.Order{Service: "model", Target: "v3", Duration: orderDuration, ID: 2})
			})
			sim.sleep(time.Second)
			return sim.orderBack(3)
		},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 3, bad, func(sim *simulation) {
				sim.placeOrder(1)
				if name != "at once" {
					sim.sleep(3 * time.Second)
				}
				refused := sim.refusals()
				order := play(sim)
				sim.sleep(time.Second)
				sim.assertNoTargetSends(10 * time.Second)
				sim.c.Assert(sim.log.states(order.ID), qt.DeepEquals, []rollout.State{rollout.StateCompleted})
				sim.removeServers(newVersion)
				sim.sleep(2 * time.Second)
				sim.c.Assert(sim.refusals(), qt.Equals, refused)
				sim.assertExposureBounded()
			})
		})
	}
}

// Guards against an order to go back that is taken for one of the running version: after a completed roll-out the earlier
// version is on trial again.
func TestOrderOfAnEarlierVersionIsATrial(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		simulate(t, 3, healthy, func(sim *simulation) {
			sim.placeOrder(1)
			sim.c.Assert(sim.waitForState(1, rollout.StateCompleted), qt.IsTrue)
			sim.removeServers(oldVersion)
			sim.sleep(5 * time.Second)
			order := sim.orderBack(2)
			sim.addServers(oldVersion, 4)
			if restarted {
				for i := range sim.entries {
					sim.restartEntry(i, sim.killEntry(i), order)
				}
			}
			before, all := sim.versionSends(oldVersion)
			sim.sleep(8 * time.Second)
			after, allAfter := sim.versionSends(oldVersion)
			sim.c.Assert(float64(after-before) <= bounds.Share*float64(allAfter-all)+bounds.Slack, qt.IsTrue, qt.Commentf("%d of %d", after-before, allAfter-all))
			sim.c.Assert(sim.log.states(2), qt.DeepEquals, []rollout.State{rollout.StateActive})
		})
	}
}

// Guards against an order of the version that runs which ends the version that has replaced it meanwhile.
func TestCompletedVersionIsNotEndedByALateOrder(t *testing.T) {
	simulate(t, 3, healthy, func(sim *simulation) {
		sim.placeOrder(1)
		sim.sleep(orderDuration - 4*time.Second)
		// Entry 2 learns of the second order alone, and the others complete the first one.
		sim.update(func() { sim.isolated = "entry-2" })
		sim.log.refuse("entry-2")
		sim.entries[2].SetOrder(rollout.Order{Service: "model", Target: oldVersion, Duration: orderDuration, ID: 2})
		sim.c.Assert(sim.waitForState(1, rollout.StateCompleted), qt.IsTrue)
		sim.log.refuse("")
		sim.sleep(time.Second)
		sim.removeServers(oldVersion)
		sim.update(func() { sim.isolated = "" })
		sim.sleep(8 * time.Second)
		sim.c.Assert(sim.log.states(2), qt.Not(qt.Contains), rollout.StateCompleted)
		refused := sim.refusals()
		sim.sleep(3 * time.Second)
		sim.c.Assert(sim.refusals(), qt.Equals, refused)
	})
}
