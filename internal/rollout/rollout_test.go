package rollout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/rollout"
)

// slowing makes responses five times slower with a given probability once a condition holds.
func slowing(probability float64, bad func(route string, since time.Duration, load int) bool) behaviour {
	return func(random *rand.Rand, route string, since time.Duration, load int) response {
		a := healthy(random, route, since, load)
		if bad(route, since, load) && random.Float64() < probability {
			a.firstEvent, a.total = 5*a.firstEvent, 5*a.total
		}
		return a
	}
}

// failing makes requests fail with a given probability once a condition holds.
func failing(probability float64, bad func(route string, since time.Duration, load int) bool) behaviour {
	return func(random *rand.Rand, route string, since time.Duration, load int) response {
		a := healthy(random, route, since, load)
		if bad(route, since, load) && random.Float64() < probability {
			return response{firstEvent: a.firstEvent, total: a.firstEvent, failed: true}
		}
		return a
	}
}

func always(string, time.Duration, int) bool { return true }

// Guards against an unproven version that gets more than its share of the requests, or still
// gets requests after a fault has been observed.
func TestBadVersionIsRevertedWithinTheExposureBound(t *testing.T) {
	late := func(_ string, since time.Duration, _ int) bool { return since > 9*time.Second }
	cases := map[string]behaviour{
		"slow":                slowing(0.6, always),
		"all slow":            slowing(1, always),
		"fails":               failing(0.4, always),
		"slow late":           slowing(0.6, late),
		"fails late":          failing(0.4, late),
		"fails on one route":  failing(0.5, func(route string, _ time.Duration, _ int) bool { return route == "middle" }),
		"slow on one route":   slowing(0.8, func(route string, _ time.Duration, _ int) bool { return route == "long" }),
		"fails under load":    failing(0.5, func(_ string, _ time.Duration, load int) bool { return load > 8 }),
		"breaks answers off":  broken(0.4),
		"answers very slowly": slowing(1, always),
	}
	for name, version := range cases {
		t.Run(name, func(t *testing.T) {
			simulate(t, 5, version, func(sim *simulation) {
				sim.placeOrder(1)
				sim.c.Assert(sim.waitForState(1, rollout.StateReverted), qt.IsTrue)
				sim.sleep(2 * exchangeInterval)
				sim.assertNoTargetSends(orderDuration - sim.orderAge() + 3*time.Second)
				sim.assertExposureBounded()
				sim.c.Assert(sim.log.states(1), qt.DeepEquals, []rollout.State{rollout.StateActive, rollout.StateReverted})
			})
		})
	}
}

// broken makes answers incomplete with a given probability.
func broken(probability float64) behaviour {
	return func(random *rand.Rand, route string, since time.Duration, load int) response {
		a := healthy(random, route, since, load)
		a.broken = random.Float64() < probability
		return a
	}
}

// Guards against a healthy version that is not completed by the deadline, and against requests
// that are cut because they still run on the old servers when these stop.
func TestGoodVersionCompletes(t *testing.T) {
	for _, entries := range []int{1, 5} {
		simulate(t, entries, healthy, func(sim *simulation) {
			sim.placeOrder(1)
			sim.c.Assert(sim.waitForState(1, rollout.StateCompleted), qt.IsTrue)
			// A version that becomes faulty shortly before the deadline must still be detected.
			sim.c.Assert(orderDuration-sim.orderAge() < 1200*time.Millisecond, qt.IsTrue, qt.Commentf("completed after %v", sim.orderAge()))
			sim.mu.Lock()
			running := sim.running[oldVersion]
			sim.mu.Unlock()
			sim.c.Assert(running <= 6, qt.IsTrue, qt.Commentf("%d requests were cut", running))
			sim.assertExposureBounded()
			sim.removeServers(oldVersion)
			sim.sleep(2 * exchangeInterval)
			before := sim.refusals()
			sim.sleep(5 * time.Second)
			sim.c.Assert(sim.refusals(), qt.Equals, before)
			sim.c.Assert(sim.log.states(1), qt.DeepEquals, []rollout.State{rollout.StateActive, rollout.StateCompleted})
		})
	}
}

// Guards against an order that stays open or gets two final states when the entry that recorded
// last stops.
func TestOrderEndsOnceWhenRecordingEntriesStop(t *testing.T) {
	for name, version := range map[string]behaviour{"good": healthy, "slow": slowing(0.6, always)} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 5, version, func(sim *simulation) {
				sim.placeOrder(1)
				sim.sleep(time.Second)
				sim.killEntry(0)
				sim.sleep(5 * time.Second)
				sim.killEntry(1)
				sim.sleep(orderDuration - sim.orderAge())
				states := sim.log.states(1)
				sim.c.Assert(states, qt.HasLen, 2)
				want := rollout.StateReverted
				if name == "good" {
					want = rollout.StateCompleted
				}
				sim.c.Assert(states[1], qt.Equals, want)
				sim.assertExposureBounded()
			})
		})
	}
}

// Guards against an order that waits for a live entry which cannot reach the store.
func TestNextEntryRecordsWhenFirstCannotReachStore(t *testing.T) {
	for name, want := range map[string]rollout.State{"good": rollout.StateCompleted, "fails": rollout.StateReverted} {
		simulate(t, 5, map[string]behaviour{"good": healthy, "fails": failing(0.4, always)}[name], func(sim *simulation) {
			sim.log.refuse("entry-0")
			sim.placeOrder(1)
			sim.c.Assert(sim.waitForState(1, want), qt.IsTrue, qt.Commentf("%s", name))
		})
	}
}

// Guards against a completed order that an entry reverts in the log, because it was cut off when
// the order ended and reaches the log before it hears of the end.
func TestIsolatedEntryAdoptsTheRecordedEnd(t *testing.T) {
	simulate(t, 5, healthy, func(sim *simulation) {
		order := sim.placeOrder(1)
		sim.sleep(orderDuration / 2)
		sim.update(func() { sim.isolated = "entry-0" })
		sim.log.refuse("entry-0")
		sim.c.Assert(sim.waitForState(order.ID, rollout.StateCompleted), qt.IsTrue)
		sim.sleep(2 * time.Second)
		sim.log.refuse("")
		sim.sleep(3 * time.Second)
		sim.c.Assert(sim.log.states(order.ID), qt.DeepEquals, []rollout.State{rollout.StateActive, rollout.StateCompleted})
		sim.update(func() { sim.isolated = "" })
		sim.removeServers(oldVersion)
		id := sim.killEntry(0)
		sim.restartEntry(0, id, order)
		before := sim.refusals()
		sim.sleep(2 * time.Second)
		sim.c.Assert(sim.refusals(), qt.Equals, before)
	})
}

// Guards against a version whose overdue answers are ignored, so that only its fast answers
// count as evidence.
func TestOverdueSendsCountAsEvidence(t *testing.T) {
	unresponsive := func(*rand.Rand, string, time.Duration, int) response {
		return response{firstEvent: 15 * time.Second, total: 15 * time.Second}
	}
	simulate(t, 5, unresponsive, func(sim *simulation) {
		sim.placeOrder(1)
		sim.c.Assert(sim.waitForState(1, rollout.StateReverted), qt.IsTrue)
		sim.c.Assert(sim.orderAge() < 6*time.Second, qt.IsTrue, qt.Commentf("%v", sim.orderAge()))
	})
}

// Guards against containment that depends on the store, and against an order that is not
// recorded as reverted after an outage.
func TestBadVersionIsContainedWhileStoreIsUnreachable(t *testing.T) {
	simulate(t, 5, slowing(0.6, always), func(sim *simulation) {
		sim.placeOrder(1)
		sim.log.setFaults(true, false)
		sim.sleep(10 * time.Second)
		sim.assertNoTargetSends(orderDuration)
		sim.assertExposureBounded()
		sim.log.setFaults(false, false)
		sim.sleep(3 * time.Second)
		states := sim.log.states(1)
		sim.c.Assert(states[len(states)-1], qt.Equals, rollout.StateReverted)
	})
}

// Guards against a healthy version that keeps getting requests after the deadline although its
// completion could not be recorded. The old servers are then the ones that stay.
func TestUncompletedVersionGetsNoRequestsAfterDeadline(t *testing.T) {
	simulate(t, 5, healthy, func(sim *simulation) {
		sim.placeOrder(1)
		sim.log.setFaults(true, false)
		sim.sleep(orderDuration - sim.orderAge())
		sim.assertNoTargetSends(3 * time.Second)
		sim.assertExposureBounded()
		sim.log.setFaults(false, false)
		sim.sleep(3 * time.Second)
		states := sim.log.states(1)
		sim.c.Assert(states[len(states)-1], qt.Equals, rollout.StateReverted)
	})
}

// Guards against completing a version without enough evidence.
func TestVersionWithTooLittleEvidenceIsReverted(t *testing.T) {
	simulate(t, 5, healthy, func(sim *simulation) {
		sim.update(func() { sim.requestsPerSecond = 6 })
		sim.placeOrder(1)
		sim.c.Assert(sim.waitForState(1, rollout.StateReverted), qt.IsTrue)
		sim.assertExposureBounded()
	})
}

// Guards against a process that starts during an order and sends requests to the target before
// it has learned whether the order has ended.
func TestRestartedEntrySendsNoTrialsBeforeStateIsKnown(t *testing.T) {
	simulate(t, 1, healthy, func(sim *simulation) {
		sim.log.setFaults(true, false)
		id := sim.killEntry(0)
		sim.addServers(newVersion, 4)
		sim.restartEntry(0, id, rollout.Order{Service: "model", Target: newVersion, Duration: orderDuration, ID: 1})
		sim.sleep(10 * time.Second)
		sim.c.Assert(sim.lastTargetSent().IsZero(), qt.IsTrue)
		// The order has ended, and only the servers of its target are left.
		sim.removeServers(oldVersion)
		sim.sleep(orderDuration)
		refused := sim.refusals()
		sim.sleep(2 * time.Second)
		sim.c.Assert(sim.refusals(), qt.Equals, refused)
	})
	simulate(t, 1, healthy, func(sim *simulation) {
		sim.log.setFaults(true, false)
		id := sim.killEntry(0)
		sim.addServers(newVersion, 4)
		sim.restartEntry(0, id, rollout.Order{Service: "model", Target: newVersion, Duration: orderDuration, ID: 1})
		sim.sleep(5 * time.Second)
		sim.log.setFaults(false, false)
		sim.forEachEntry((*entry).markRecordsRead)
		sim.sleep(5 * time.Second)
		sim.c.Assert(sim.lastTargetSent().IsZero(), qt.IsFalse)
	})
}

// Guards against two final states when replies of the store are lost.
func TestLostStoreRepliesAreResolvedByReading(t *testing.T) {
	for _, version := range []behaviour{healthy, failing(0.5, always)} {
		simulate(t, 5, version, func(sim *simulation) {
			sim.log.setFaults(false, true)
			sim.placeOrder(1)
			sim.sleep(orderDuration)
			states := sim.log.states(1)
			sim.c.Assert(states, qt.HasLen, 2, qt.Commentf("%v", states))
			sim.c.Assert(states[1].Final(), qt.IsTrue)
			sim.c.Assert(sim.log.calls < 40, qt.IsTrue, qt.Commentf("%d calls to the store", sim.log.calls))
		})
	}
}

// Guards against restarted entries that exceed the bound because they count from zero, and
// against a restarted entry that sends to a version reverted before its start.
func TestRestartedEntryKeepsBoundAndContainment(t *testing.T) {
	simulate(t, 3, slowing(0.6, func(_ string, since time.Duration, _ int) bool { return since > 12*time.Second }), func(sim *simulation) {
		order := sim.placeOrder(1)
		for i := 0; i < 3; i++ {
			sim.sleep(2 * time.Second)
			id := sim.killEntry(i)
			sim.sleep(300 * time.Millisecond)
			sim.restartEntry(i, id, order)
		}
		sim.c.Assert(sim.waitForState(1, rollout.StateReverted), qt.IsTrue)
		sim.sleep(2 * exchangeInterval)
		id := sim.killEntry(0)
		sim.restartEntry(0, id, order)
		sim.assertNoTargetSends(orderDuration)
		sim.assertExposureBounded()
	})
}

// Guards against a share that is only enforced while entries can reach each other.
func TestShareHoldsWhilePeersAreUnreachable(t *testing.T) {
	simulate(t, 5, slowing(0.6, always), func(sim *simulation) {
		sim.update(func() { sim.partitioned = true })
		sim.placeOrder(1)
		sim.sleep(orderDuration - sim.orderAge())
		sim.assertExposureBounded()
		sim.assertNoTargetSends(5 * time.Second)
		states := sim.log.states(1)
		sim.c.Assert(states[len(states)-1], qt.Equals, rollout.StateReverted)
	})
}

// Guards against a version on trial that gets all requests when the old servers disappear.
func TestShareHoldsWithoutOldServers(t *testing.T) {
	late := func(_ string, since time.Duration, _ int) bool { return since > 15*time.Second }
	for name, version := range map[string]behaviour{"good": healthy, "slow": slowing(0.6, always), "fails late": failing(0.5, late)} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 5, version, func(sim *simulation) {
				sim.placeOrder(1)
				sim.sleep(4 * time.Second)
				sim.removeServers(oldVersion)
				for sim.orderAge() < orderDuration && len(sim.log.states(1)) < 2 {
					sim.assertExposureBounded()
					sim.sleep(50 * time.Millisecond)
				}
				states := sim.log.states(1)
				sim.c.Assert(states, qt.HasLen, 2)
				sim.c.Assert(states[1] == rollout.StateReverted || name == "good", qt.IsTrue)
			})
		})
	}
}

// completions returns the number of seeds with which a version is completed.
func completions(t *testing.T, seeds uint64, old, version behaviour) int {
	n := 0
	for seed := range seeds {
		simulate(t, 5, version, func(sim *simulation) {
			sim.update(func() { sim.random, sim.versions[oldVersion] = rand.New(rand.NewPCG(seed, 3)), old })
			sim.sleep(10 * time.Second)
			sim.placeOrder(1)
			if sim.waitForState(1, rollout.StateCompleted) {
				n++
			}
			sim.assertExposureBounded()
		})
	}
	return n
}

// Guards against reverting a healthy version because all versions of the service fail some
// requests.
func TestFailuresOfAllVersionsDoNotContainTarget(t *testing.T) {
	c := qt.New(t)
	everywhere := failing(0.13, always)
	c.Assert(completions(t, 10, everywhere, everywhere) >= 9, qt.IsTrue)
	c.Assert(completions(t, 10, healthy, healthy), qt.Equals, 10)
}

// Guards against completing a version that fails or delays a small part of its requests.
func TestVersionWithRareFaultsIsNotCompleted(t *testing.T) {
	c := qt.New(t)
	c.Assert(completions(t, 10, healthy, failing(0.2, always)), qt.Equals, 0)
	c.Assert(completions(t, 10, healthy, slowing(0.3, always)), qt.Equals, 0)
}

// spreadTimes multiplies the times to the first event of healthy by a log-normal factor, as for
// prompts of various sizes, and by a constant factor.
func spreadTimes(factor float64) behaviour {
	return func(random *rand.Rand, route string, since time.Duration, load int) response {
		a := healthy(random, route, since, load)
		first := time.Duration(factor * math.Exp(0.8*random.NormFloat64()) * float64(a.firstEvent))
		return response{firstEvent: first, total: first + a.total - a.firstEvent}
	}
}

// Guards against completing a version whose answers all take two to three times as long, which
// is hard to detect in widely spread times. Such a version was completed on covek-halo (share
// 0.15, seed 2).
func TestSlowVersionIsDetectedDespiteSpreadTimes(t *testing.T) {
	c := qt.New(t)
	c.Assert(completions(t, 10, spreadTimes(1), spreadTimes(2.5)), qt.Equals, 0)
	c.Assert(completions(t, 10, spreadTimes(1), spreadTimes(1)) >= 9, qt.IsTrue)
}

// Guards against traffic to servers of a new version that register before the order is read,
// and against a version without an order that never gets requests.
func TestNewVersionWaitsForItsOrder(t *testing.T) {
	simulate(t, 3, healthy, func(sim *simulation) {
		sim.addServers(newVersion, 4)
		sim.sleep(2 * time.Second)
		sim.c.Assert(sim.lastTargetSent().IsZero(), qt.IsTrue)
		sim.sleep(3 * time.Second)
		sim.c.Assert(sim.lastTargetSent().IsZero(), qt.IsFalse)
		sim.removeServers(oldVersion)
		before := sim.refusals()
		sim.sleep(3 * time.Second)
		sim.c.Assert(sim.refusals(), qt.Equals, before)
	})
}

// Guards against a service without usable servers after all of them restart with another
// version.
func TestServiceWithOnlyNewVersionIsServed(t *testing.T) {
	simulate(t, 3, healthy, func(sim *simulation) {
		sim.removeServers(oldVersion)
		sim.addServers(newVersion, 4)
		sim.sleep(4 * time.Second)
		before := sim.refusals()
		sim.sleep(3 * time.Second)
		sim.c.Assert(sim.refusals(), qt.Equals, before)
	})
}

// Guards against a process that has read the servers but not the orders after its start and
// treats the version on trial as the trusted one.
func TestStartedProcessPrefersTheOlderVersion(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	sim := &simulation{T: t, c: c, log: &fakeLog{}, ctx: t.Context()}
	e := sim.startEntry("entry")
	servers := []fleet.Server{
		{ID: "b", Service: "model", Version: newVersion, StartedAt: now},
		{ID: "a", Service: "model", Version: oldVersion, StartedAt: now.Add(-time.Minute)},
	}
	choice := e.Choose("model", "long", servers, false, now)
	c.Assert(choice.Preferred, qt.DeepEquals, servers[1:])
}

// Guards against an order for the version that already runs, which would leave the service
// without servers if it were put on trial.
func TestOrderOfRunningVersionCompletesImmediately(t *testing.T) {
	simulate(t, 3, healthy, func(sim *simulation) {
		order := rollout.Order{Service: "model", Target: oldVersion, Duration: orderDuration, ID: 1}
		before := sim.refusals()
		sim.forEachEntry(func(e *entry) { e.SetOrder(order) })
		sim.sleep(2 * time.Second)
		sim.c.Assert(sim.log.states(1), qt.DeepEquals, []rollout.State{rollout.StateCompleted})
		sim.c.Assert(sim.refusals(), qt.Equals, before)
	})
}

// Guards against a version that keeps its share after another version has been ordered.
func TestLaterOrderSupersedesOpenOne(t *testing.T) {
	simulate(t, 3, healthy, func(sim *simulation) {
		sim.placeOrder(1)
		sim.sleep(4 * time.Second)
		sim.forEachEntry(func(e *entry) {
			e.SetOrder(rollout.Order{Service: "model", Target: "v3", Duration: orderDuration, ID: 2})
		})
		sim.assertNoTargetSends(5 * time.Second)
		sim.c.Assert(sim.log.states(2), qt.DeepEquals, []rollout.State{rollout.StateActive})
	})
}

// Guards against an entry without access to the store that treats a version on trial as an
// ordinary one. It receives the order from another entry.
func TestOrderIsReceivedFromOtherEntries(t *testing.T) {
	simulate(t, 3, failing(0.5, always), func(sim *simulation) {
		order := rollout.Order{Service: "model", Target: newVersion, Duration: orderDuration, ID: 1}
		sim.update(func() { sim.orderedAt = time.Now() })
		sim.entries[2].SetOrder(order)
		sim.sleep(time.Second)
		sim.addServers(newVersion, 4)
		sim.c.Assert(sim.waitForState(1, rollout.StateReverted), qt.IsTrue)
		sim.sleep(2 * exchangeInterval)
		sim.assertNoTargetSends(5 * time.Second)
		sim.assertExposureBounded()
	})
}

// The store comes back from a copy that lacks the end of a roll-out and names the service's earlier order as the newest.
// Guards against an end that is lost or recorded twice, and against an earlier order that is carried out again.
func TestEndIsRecordedAgainOnceAfterRewind(t *testing.T) {
	for _, number := range []uint64{6, 9} {
		simulate(t, 5, healthy, func(sim *simulation) {
			earlier := rollout.Order{Service: "model", Target: oldVersion, Duration: orderDuration, ID: rollout.NewOrderID(0, 2)}
			sim.forEachEntry(func(e *entry) { e.SetOrder(earlier) })
			sim.sleep(6 * time.Second)
			order := sim.placeOrder(rollout.NewOrderID(0, 6))
			sim.c.Assert(sim.waitForState(order.ID, rollout.StateCompleted), qt.IsTrue)
			sim.sleep(2 * time.Second)
			sim.removeServers(oldVersion)
			sim.log.rewind(func(r rollout.Record) bool { return r.Order != order.ID })
			again := order
			again.ID = rollout.NewOrderID(1, number)
			sim.forEachEntry(func(e *entry) {
				e.Rewound(1, true)
				e.SetOrder(rollout.Order{Service: "model", Target: oldVersion, Duration: orderDuration, ID: rollout.NewOrderID(1, 2)})
			})
			sim.sleep(time.Second)
			sim.forEachEntry(func(e *entry) { e.SetOrder(again) })
			before := sim.refusals()
			sim.sleep(4 * time.Second)
			sim.c.Assert(sim.refusals(), qt.Equals, before)
			var ends []rollout.State
			for _, id := range []uint64{order.ID, again.ID} {
				ends = append(ends, sim.log.states(id)...)
			}
			want := []rollout.State{rollout.StateCompleted}
			if number != 6 {
				// The end is recorded under the number of the order that was written again, too.
				want = append(want, rollout.StateCompleted)
			}
			sim.c.Assert(ends, qt.DeepEquals, want)
			sim.forEachEntry(func(e *entry) {
				e.SetOrder(rollout.Order{Service: "model", Target: oldVersion, Duration: orderDuration, ID: rollout.NewOrderID(1, 12)})
			})
			sim.sleep(time.Second)
			sim.c.Assert(len(sim.log.states(rollout.NewOrderID(1, 12))) > 0, qt.IsTrue, qt.Commentf("a later order of the earlier version counts"))
		})
	}
}

// completeAndRewind completes an order, which ends the other servers, and lets the store come back from a copy that lacks
// the completion. The servers that have ended stay registered.
func completeAndRewind(sim *simulation) rollout.Order {
	order := sim.placeOrder(1)
	sim.c.Assert(sim.waitForState(1, rollout.StateCompleted), qt.IsTrue)
	sim.update(func() { sim.stopped[oldVersion] = true })
	sim.sleep(time.Second)
	sim.log.rewind(func(r rollout.Record) bool { return r.State == rollout.StateActive })
	return order
}

// assertStaysCompleted checks that an order is never recorded as reverted, and that its target is served in the end.
func (sim *simulation) assertStaysCompleted() {
	sim.Helper()
	sim.sleep(8 * time.Second)
	before := sim.refusals()
	sim.sleep(orderDuration)
	sim.c.Assert(sim.refusals(), qt.Equals, before)
	sim.c.Assert(sim.log.states(1), qt.DeepEquals, []rollout.State{rollout.StateActive, rollout.StateCompleted})
}

// Guards against a completed version that is reverted, which takes the last servers from the service: the store comes back
// from a copy without the end of the order, and with the registrations of the servers that ended with it, however long
// these last, and all entries restart meanwhile, twice.
func TestCompletedVersionStaysAfterRewindAndRestart(t *testing.T) {
	for _, stale := range []time.Duration{0, 2 * time.Second, 4 * time.Second, 8 * time.Second, 30 * time.Second} {
		simulate(t, 3, healthy, func(sim *simulation) {
			order := completeAndRewind(sim)
			for i := range 3 {
				sim.restartEntry(i, sim.killEntry(i), order)
			}
			sim.sleep(stale / 2)
			for i := range 3 {
				sim.restartEntry(i, sim.killEntry(i), order)
			}
			sim.sleep(stale / 2)
			sim.removeServers(oldVersion)
			sim.assertStaysCompleted()
		})
	}
}

// The copy may even lack the order, which the operator then writes again: to the processes that have started since, it
// looks like a new one.
func TestCompletedVersionStaysAfterCopyWithoutTheOrder(t *testing.T) {
	for _, written := range []time.Duration{0, time.Second, 5 * time.Second} {
		simulate(t, 3, healthy, func(sim *simulation) {
			order := completeAndRewind(sim)
			sim.log.rewind(func(rollout.Record) bool { return false })
			for i := range 3 {
				id := sim.killEntry(i)
				e := sim.startEntry(id)
				e.Rewound(sim.log.currentEra(), false)
				e.MarkOrdersRead(time.Now())
				sim.update(func() { sim.entries[i] = e })
			}
			sim.sleep(written)
			sim.forEachEntry(func(e *entry) { e.SetOrder(order) })
			sim.sleep(4*time.Second - written)
			sim.removeServers(oldVersion)
			sim.sleep(8 * time.Second)
			before := sim.refusals()
			sim.sleep(orderDuration)
			sim.c.Assert(sim.refusals(), qt.Equals, before)
			states := sim.log.states(1)
			sim.c.Assert(states[len(states)-1], qt.Equals, rollout.StateCompleted)
		})
	}
}

// Guards against an entry that was cut off when the order ended, and reverts it by the clock or by what it remembers
// after the others have restarted.
func TestCompletedVersionStaysWithAnEntryThatWasCutOff(t *testing.T) {
	for _, version := range []behaviour{healthy, slowing(1, func(_ string, since time.Duration, _ int) bool { return since > orderDuration+time.Second })} {
		simulate(t, 3, version, func(sim *simulation) {
			order := sim.placeOrder(1)
			sim.sleep(orderDuration - 4*time.Second)
			sim.update(func() { sim.isolated = "entry-2" })
			sim.log.refuse("entry-2")
			sim.c.Assert(sim.waitForState(1, rollout.StateCompleted), qt.IsTrue)
			sim.update(func() { sim.stopped[oldVersion] = true })
			sim.sleep(5 * time.Second)
			sim.log.rewind(func(r rollout.Record) bool { return r.State == rollout.StateActive })
			for i := range 2 {
				sim.restartEntry(i, sim.killEntry(i), order)
			}
			sim.log.refuse("")
			// The entry reaches the log before it reads the orders of the new era.
			sim.sleep(time.Second)
			sim.entries[2].Rewound(1, true)
			sim.update(func() { sim.isolated = "" })
			sim.sleep(3 * time.Second)
			sim.removeServers(oldVersion)
			sim.assertStaysCompleted()
		})
	}
}

// Guards against a reversal that an entry which was cut off decides in one era of the store, and records in the next: it
// reads the orders of the new era while its call to the log runs.
func TestReversalOfAnEarlierEraIsNotRecorded(t *testing.T) {
	simulate(t, 3, healthy, func(sim *simulation) {
		order := sim.placeOrder(1)
		sim.sleep(orderDuration - 4*time.Second)
		sim.update(func() { sim.isolated = "entry-2" })
		sim.log.refuse("entry-2")
		sim.c.Assert(sim.waitForState(1, rollout.StateCompleted), qt.IsTrue)
		sim.update(func() { sim.stopped[oldVersion] = true })
		sim.sleep(time.Second)
		for i := range 2 {
			sim.killEntry(i)
		}
		cutOff := sim.entries[2]
		var rewound atomic.Bool
		sim.log.observeCurrent(func(id string) {
			if id == "entry-2" && rewound.CompareAndSwap(false, true) {
				cutOff.Rewound(1, true)
			}
		})
		sim.log.rewind(func(r rollout.Record) bool { return r.State == rollout.StateActive })
		sim.log.refuse("")
		sim.sleep(time.Second)
		sim.c.Assert(rewound.Load(), qt.IsTrue)
		for i := range 2 {
			sim.restartEntry(i, fmt.Sprint("entry-", i), order)
		}
		sim.update(func() { sim.isolated = "" })
		sim.sleep(2 * time.Second)
		sim.removeServers(oldVersion)
		sim.assertStaysCompleted()
	})
}

// Guards against an entry that was cut off while an order ended and another was given, and keeps blocking the version
// that runs since.
func TestVersionThatRunsIsServedAfterTwoOrders(t *testing.T) {
	simulate(t, 3, healthy, func(sim *simulation) {
		sim.placeOrder(1)
		sim.sleep(orderDuration - 4*time.Second)
		sim.update(func() { sim.isolated = "entry-2" })
		sim.log.refuse("entry-2")
		sim.c.Assert(sim.waitForState(1, rollout.StateCompleted), qt.IsTrue)
		sim.removeServers(oldVersion)
		sim.sleep(time.Second)
		next := rollout.Order{Service: "model", Target: "v3", Duration: orderDuration, ID: 2}
		for _, e := range sim.entries[:2] {
			e.SetOrder(next)
		}
		sim.sleep(time.Second)
		sim.log.refuse("")
		sim.update(func() { sim.isolated = "" })
		sim.sleep(5 * time.Second)
		before := sim.refusals()
		sim.sleep(5 * time.Second)
		sim.c.Assert(sim.refusals(), qt.Equals, before)
	})
}

// An order whose time is over isn't judged either while a process that has started knows no servers yet.
func TestCompletedVersionStaysWhileNoServersAreKnown(t *testing.T) {
	simulate(t, 3, healthy, func(sim *simulation) {
		order := completeAndRewind(sim)
		sim.removeServers(oldVersion)
		sim.removeServers(newVersion)
		for i := range 3 {
			sim.restartEntry(i, sim.killEntry(i), order)
		}
		sim.sleep(time.Second)
		sim.addServers(newVersion, 4)
		sim.sleep(6 * time.Second)
		sim.c.Assert(sim.log.states(1), qt.DeepEquals, []rollout.State{rollout.StateActive, rollout.StateCompleted})
	})
}

// Guards against an order that stays open because nobody sends requests: the registrations that servers renew show that
// there is a version to go back to.
func TestOrderWithoutRequestsIsReverted(t *testing.T) {
	simulate(t, 3, healthy, func(sim *simulation) {
		sim.update(func() { sim.requestsPerSecond = 1; sim.versions[oldVersion] = failing(1, always) })
		order := sim.placeOrder(1)
		sim.sleep(orderDuration / 2)
		for i := range 3 {
			sim.restartEntry(i, sim.killEntry(i), order)
		}
		sim.sleep(orderDuration)
		sim.c.Assert(sim.log.states(1), qt.DeepEquals, []rollout.State{rollout.StateActive}, qt.Commentf("no server is known to be alive"))
		sim.update(func() {
			for i := range sim.servers {
				sim.servers[i].RenewedAt = time.Now()
			}
		})
		sim.sleep(3 * time.Second)
		sim.c.Assert(sim.log.states(1), qt.DeepEquals, []rollout.State{rollout.StateActive, rollout.StateReverted})
	})
}

// An order on trial is judged by all entries as before if they restart while servers of the other version are ready.
func TestBadVersionIsRevertedAfterRestart(t *testing.T) {
	simulate(t, 3, failing(0.8, always), func(sim *simulation) {
		order := sim.placeOrder(1)
		sim.sleep(time.Second)
		for i := range 3 {
			sim.restartEntry(i, sim.killEntry(i), order)
		}
		sim.c.Assert(sim.waitForState(1, rollout.StateReverted), qt.IsTrue)
		sim.assertExposureBounded()
	})
}
