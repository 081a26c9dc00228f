package rollout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/rollout"
)

// slower makes a part of the answers several times slower once a condition holds.
func slower(part float64, bad func(route string, since time.Duration, load int) bool) behaviour {
	return func(random *rand.Rand, route string, since time.Duration, load int) answer {
		a := good(random, route, since, load)
		if bad(route, since, load) && random.Float64() < part {
			a.first, a.whole = 5*a.first, 5*a.whole
		}
		return a
	}
}

// failing makes a part of the answers failures once a condition holds.
func failing(part float64, bad func(route string, since time.Duration, load int) bool) behaviour {
	return func(random *rand.Rand, route string, since time.Duration, load int) answer {
		a := good(random, route, since, load)
		if bad(route, since, load) && random.Float64() < part {
			return answer{first: a.first, whole: a.first, failed: true}
		}
		return a
	}
}

func always(string, time.Duration, int) bool { return true }

// Guards against a version that gets a full part of the requests while it is unproven, or
// still gets some after it has shown to be bad.
func TestBadVersionIsRevertedInTimeAndWithinTheBound(t *testing.T) {
	late := func(_ string, since time.Duration, _ int) bool { return since > 9*time.Second }
	cases := map[string]behaviour{
		"slow":                slower(0.6, always),
		"all slow":            slower(1, always),
		"fails":               failing(0.4, always),
		"slow late":           slower(0.6, late),
		"fails late":          failing(0.4, late),
		"fails on one route":  failing(0.5, func(route string, _ time.Duration, _ int) bool { return route == "middle" }),
		"slow on one route":   slower(0.8, func(route string, _ time.Duration, _ int) bool { return route == "long" }),
		"fails under load":    failing(0.5, func(_ string, _ time.Duration, load int) bool { return load > 8 }),
		"breaks answers off":  broken(0.4),
		"answers very slowly": slower(1, always),
	}
	for name, version := range cases {
		t.Run(name, func(t *testing.T) {
			play(t, 5, version, func(w *world) {
				w.order(1)
				w.c.Assert(w.until(1, rollout.StateReverted), qt.IsTrue)
				w.pass(2 * exchangePeriod)
				w.assertUntouched(orderTime - w.age() + 3*time.Second)
				w.assertBounded()
				w.c.Assert(w.log.states(1), qt.DeepEquals, []rollout.State{rollout.StateActive, rollout.StateReverted})
			})
		})
	}
}

// broken makes a part of the answers break off.
func broken(part float64) behaviour {
	return func(random *rand.Rand, route string, since time.Duration, load int) answer {
		a := good(random, route, since, load)
		a.broken = random.Float64() < part
		return a
	}
}

// Guards against a good version that isn't completed by the deadline, and against requests
// that still run on the old servers when these stop.
func TestGoodVersionCompletes(t *testing.T) {
	for _, entries := range []int{1, 5} {
		play(t, entries, good, func(w *world) {
			w.order(1)
			w.c.Assert(w.until(1, rollout.StateCompleted), qt.IsTrue)
			// Until shortly before the deadline the version could still turn bad.
			w.c.Assert(orderTime-w.age() < 1200*time.Millisecond, qt.IsTrue, qt.Commentf("completed after %v", w.age()))
			w.mu.Lock()
			running := w.running[oldVersion]
			w.mu.Unlock()
			w.c.Assert(running <= 6, qt.IsTrue, qt.Commentf("%d requests were cut", running))
			w.assertBounded()
			w.remove(oldVersion)
			w.pass(2 * exchangePeriod)
			before := w.refusals()
			w.pass(5 * time.Second)
			w.c.Assert(w.refusals(), qt.Equals, before)
			w.c.Assert(w.log.states(1), qt.DeepEquals, []rollout.State{rollout.StateActive, rollout.StateCompleted})
		})
	}
}

// Guards against an order that is left open, or gets two ends, when the entry dies that
// wrote last.
func TestOrderEndsOnceWhenItsDriverDies(t *testing.T) {
	for name, version := range map[string]behaviour{"good": good, "slow": slower(0.6, always)} {
		t.Run(name, func(t *testing.T) {
			play(t, 5, version, func(w *world) {
				w.order(1)
				w.pass(time.Second)
				w.kill(0)
				w.pass(5 * time.Second)
				w.kill(1)
				w.pass(orderTime - w.age())
				states := w.log.states(1)
				w.c.Assert(states, qt.HasLen, 2)
				want := rollout.StateReverted
				if name == "good" {
					want = rollout.StateCompleted
				}
				w.c.Assert(states[1], qt.Equals, want)
				w.assertBounded()
			})
		})
	}
}

// Guards against an order that waits for an entry that lives but can't reach the store.
func TestAnotherEntryRecordsWhenTheFirstCannot(t *testing.T) {
	for name, want := range map[string]rollout.State{"good": rollout.StateCompleted, "fails": rollout.StateReverted} {
		play(t, 5, map[string]behaviour{"good": good, "fails": failing(0.4, always)}[name], func(w *world) {
			w.log.refuse("entry-0")
			w.order(1)
			w.c.Assert(w.until(1, want), qt.IsTrue, qt.Commentf("%s", name))
		})
	}
}

// Guards against a version whose answers don't come, and which is judged by those that do.
func TestAnswersCountWhileTheyAreAwaited(t *testing.T) {
	hangs := func(*rand.Rand, string, time.Duration, int) answer {
		return answer{first: 15 * time.Second, whole: 15 * time.Second}
	}
	play(t, 5, hangs, func(w *world) {
		w.order(1)
		w.c.Assert(w.until(1, rollout.StateReverted), qt.IsTrue)
		w.c.Assert(w.age() < 6*time.Second, qt.IsTrue, qt.Commentf("%v", w.age()))
	})
}

// Guards against containment that needs the store, and against an order that is never
// recorded as reverted after an outage.
func TestBadVersionIsContainedWhileTheStoreIsAway(t *testing.T) {
	play(t, 5, slower(0.6, always), func(w *world) {
		w.order(1)
		w.log.set(true, false)
		w.pass(10 * time.Second)
		w.assertUntouched(orderTime)
		w.assertBounded()
		w.log.set(false, false)
		w.pass(3 * time.Second)
		states := w.log.states(1)
		w.c.Assert(states[len(states)-1], qt.Equals, rollout.StateReverted)
	})
}

// Guards against a good version that keeps its requests though no completion could be
// recorded: the old servers are still the ones that stay.
func TestVersionThatCouldNotBeCompletedGetsNothing(t *testing.T) {
	play(t, 5, good, func(w *world) {
		w.order(1)
		w.log.set(true, false)
		w.pass(orderTime - w.age())
		w.assertUntouched(3 * time.Second)
		w.assertBounded()
		w.log.set(false, false)
		w.pass(3 * time.Second)
		states := w.log.states(1)
		w.c.Assert(states[len(states)-1], qt.Equals, rollout.StateReverted)
	})
}

// Guards against a version that is completed because nothing was seen of it.
func TestVersionWithTooLittleEvidenceIsReverted(t *testing.T) {
	play(t, 5, good, func(w *world) {
		w.set(func() { w.rate = 6 })
		w.order(1)
		w.c.Assert(w.until(1, rollout.StateReverted), qt.IsTrue)
		w.assertBounded()
	})
}

// Guards against a process that has started during an order, and sends to its target before
// it knows whether the order has ended.
func TestStartedProcessTriesNothingBeforeItKnowsTheState(t *testing.T) {
	play(t, 1, good, func(w *world) {
		w.log.set(true, false)
		id := w.kill(0)
		w.add(newVersion, 4)
		w.restart(0, id, rollout.Order{Service: "model", Target: newVersion, Duration: orderTime, ID: 1})
		w.pass(10 * time.Second)
		w.c.Assert(w.last().IsZero(), qt.IsTrue)
		// The order is over, and its servers are the only ones left.
		w.remove(oldVersion)
		w.pass(orderTime)
		refused := w.refusals()
		w.pass(2 * time.Second)
		w.c.Assert(w.refusals(), qt.Equals, refused)
	})
	play(t, 1, good, func(w *world) {
		w.log.set(true, false)
		id := w.kill(0)
		w.add(newVersion, 4)
		w.restart(0, id, rollout.Order{Service: "model", Target: newVersion, Duration: orderTime, ID: 1})
		w.pass(5 * time.Second)
		w.log.set(false, false)
		w.each((*entry).recordsKnown)
		w.pass(5 * time.Second)
		w.c.Assert(w.last().IsZero(), qt.IsFalse)
	})
}

// Guards against two final states when the answers of the store are lost.
func TestLostAnswersAreSettledByReading(t *testing.T) {
	for _, version := range []behaviour{good, failing(0.5, always)} {
		play(t, 5, version, func(w *world) {
			w.log.set(false, true)
			w.order(1)
			w.pass(orderTime)
			states := w.log.states(1)
			w.c.Assert(states, qt.HasLen, 2, qt.Commentf("%v", states))
			w.c.Assert(states[1].Final(), qt.IsTrue)
			w.c.Assert(w.log.calls < 40, qt.IsTrue, qt.Commentf("%d calls to the store", w.log.calls))
		})
	}
}

// Guards against entries that count from zero after a restart, and so send too much, and
// against one that tries a version anew that was reverted before its start.
func TestRestartedEntryKeepsToTheOrder(t *testing.T) {
	play(t, 3, slower(0.6, func(_ string, since time.Duration, _ int) bool { return since > 12*time.Second }), func(w *world) {
		order := w.order(1)
		for i := 0; i < 3; i++ {
			w.pass(2 * time.Second)
			id := w.kill(i)
			w.pass(300 * time.Millisecond)
			w.restart(i, id, order)
		}
		w.c.Assert(w.until(1, rollout.StateReverted), qt.IsTrue)
		w.pass(2 * exchangePeriod)
		id := w.kill(0)
		w.restart(0, id, order)
		w.assertUntouched(orderTime)
		w.assertBounded()
	})
}

// Guards against a share that only holds while entries reach each other.
func TestShareHoldsWhilePeersAreCut(t *testing.T) {
	play(t, 5, slower(0.6, always), func(w *world) {
		w.set(func() { w.cut = true })
		w.order(1)
		w.pass(orderTime - w.age())
		w.assertBounded()
		w.assertUntouched(5 * time.Second)
		states := w.log.states(1)
		w.c.Assert(states[len(states)-1], qt.Equals, rollout.StateReverted)
	})
}

// Guards against a version on trial that takes everything when the old servers are gone.
func TestShareHoldsWithoutOldServers(t *testing.T) {
	late := func(_ string, since time.Duration, _ int) bool { return since > 15*time.Second }
	for name, version := range map[string]behaviour{"good": good, "slow": slower(0.6, always), "fails late": failing(0.5, late)} {
		t.Run(name, func(t *testing.T) {
			play(t, 5, version, func(w *world) {
				w.order(1)
				w.pass(4 * time.Second)
				w.remove(oldVersion)
				for w.age() < orderTime && len(w.log.states(1)) < 2 {
					w.assertBounded()
					w.pass(50 * time.Millisecond)
				}
				states := w.log.states(1)
				w.c.Assert(states, qt.HasLen, 2)
				w.c.Assert(states[1] == rollout.StateReverted || name == "good", qt.IsTrue)
			})
		})
	}
}

// completions counts the seeds with which a version is completed.
func completions(t *testing.T, seeds uint64, old, version behaviour) int {
	n := 0
	for seed := range seeds {
		play(t, 5, version, func(w *world) {
			w.set(func() { w.random, w.versions[oldVersion] = rand.New(rand.NewPCG(seed, 3)), old })
			w.pass(10 * time.Second)
			w.order(1)
			if w.until(1, rollout.StateCompleted) {
				n++
			}
			w.assertBounded()
		})
	}
	return n
}

// Guards against a good version that is taken back because the service as a whole fails
// part of its requests.
func TestFailuresOfAllVersionsAreNoFault(t *testing.T) {
	c := qt.New(t)
	everywhere := failing(0.13, always)
	c.Assert(completions(t, 10, everywhere, everywhere) >= 9, qt.IsTrue)
	c.Assert(completions(t, 10, good, good), qt.Equals, 10)
}

// Guards against a version with a fault in few answers that is completed.
func TestFaultInFewAnswersIsNoProof(t *testing.T) {
	c := qt.New(t)
	c.Assert(completions(t, 10, good, failing(0.2, always)), qt.Equals, 0)
	c.Assert(completions(t, 10, good, slower(0.3, always)), qt.Equals, 0)
}

// Guards against traffic to servers of a new version that register before the order is
// read, and against a service that starves as it gets a version without an order.
func TestNewVersionWaitsForItsOrder(t *testing.T) {
	play(t, 3, good, func(w *world) {
		w.add(newVersion, 4)
		w.pass(2 * time.Second)
		w.c.Assert(w.last().IsZero(), qt.IsTrue)
		w.pass(3 * time.Second)
		w.c.Assert(w.last().IsZero(), qt.IsFalse)
		w.remove(oldVersion)
		before := w.refusals()
		w.pass(3 * time.Second)
		w.c.Assert(w.refusals(), qt.Equals, before)
	})
}

// Guards against a service whose servers all restart with another version.
func TestServiceOfNewVersionsOnlyDoesNotStarve(t *testing.T) {
	play(t, 3, good, func(w *world) {
		w.remove(oldVersion)
		w.add(newVersion, 4)
		w.pass(4 * time.Second)
		before := w.refusals()
		w.pass(3 * time.Second)
		w.c.Assert(w.refusals(), qt.Equals, before)
	})
}

// Guards against a process that has just started, and has read the servers but not the
// orders, and takes the version on trial for the usual one.
func TestStartedProcessPrefersTheOlderVersion(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	w := &world{T: t, c: c, log: &fakeLog{}, ctx: t.Context()}
	e := w.start("entry")
	servers := []fleet.Server{
		{ID: "b", Service: "model", Version: newVersion, Born: now},
		{ID: "a", Service: "model", Version: oldVersion, Born: now.Add(-time.Minute)},
	}
	choice := e.Choose("model", "long", servers, false, now)
	c.Assert(choice.First, qt.DeepEquals, servers[1:])
}

// Guards against an order of the version that runs already, which would starve the service.
func TestOrderOfTheRunningVersionIsDoneAtOnce(t *testing.T) {
	play(t, 3, good, func(w *world) {
		order := rollout.Order{Service: "model", Target: oldVersion, Duration: orderTime, ID: 1}
		before := w.refusals()
		w.each(func(e *entry) { e.Ordered(order) })
		w.pass(2 * time.Second)
		w.c.Assert(w.log.states(1), qt.DeepEquals, []rollout.State{rollout.StateCompleted})
		w.c.Assert(w.refusals(), qt.Equals, before)
	})
}

// Guards against a version that keeps its share when another one is ordered meanwhile.
func TestLaterOrderTakesThePlaceOfAnOpenOne(t *testing.T) {
	play(t, 3, good, func(w *world) {
		w.order(1)
		w.pass(4 * time.Second)
		w.each(func(e *entry) {
			e.Ordered(rollout.Order{Service: "model", Target: "v3", Duration: orderTime, ID: 2})
		})
		w.assertUntouched(5 * time.Second)
		w.c.Assert(w.log.states(2), qt.DeepEquals, []rollout.State{rollout.StateActive})
	})
}

// Guards against an entry that is cut off from the store and sends to a version on trial
// like to any other: it hears of the order from another entry.
func TestOrderIsHeardFromOtherEntries(t *testing.T) {
	play(t, 3, failing(0.5, always), func(w *world) {
		order := rollout.Order{Service: "model", Target: newVersion, Duration: orderTime, ID: 1}
		w.set(func() { w.ordered = time.Now() })
		w.entries[2].Ordered(order)
		w.pass(time.Second)
		w.add(newVersion, 4)
		w.c.Assert(w.until(1, rollout.StateReverted), qt.IsTrue)
		w.pass(2 * exchangePeriod)
		w.assertUntouched(5 * time.Second)
		w.assertBounded()
	})
}
