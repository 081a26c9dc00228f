package move

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// slow multiplies the latencies of a response by a factor and marks it as faulty.
func slow(resp response, factor float64) response {
	resp.FirstToken = time.Duration(float64(resp.FirstToken) * factor)
	resp.InterToken = time.Duration(float64(resp.InterToken) * factor)
	resp.faulty = true
	return resp
}

// fail turns a fraction of the responses into errors.
func fail(random *rand.Rand, resp response, fraction float64) response {
	if random.Float64() < fraction {
		resp.Failed, resp.faulty = true, true
	}
	return resp
}

// withFault applies a fault to the requests that meet a condition.
func withFault(condition func(requestInfo) bool, fault func(*rand.Rand, response) response) behaviour {
	return func(random *rand.Rand, r requestInfo) response {
		resp := healthy(random, r)
		if condition(r) {
			return fault(random, resp)
		}
		return resp
	}
}

func always(requestInfo) bool         { return true }
func afterMinute(r requestInfo) bool  { return r.elapsed > time.Minute }
func overHalfLoad(r requestInfo) bool { return r.load >= 0.5*nominalRate }
func onDeskRoute(r requestInfo) bool  { return r.route == "desk" }

// badVersions are the behaviours of faulty versions that must be contained.
var badVersions = map[string]behaviour{
	"fails at once":       withFault(always, func(random *rand.Rand, resp response) response { return fail(random, resp, 1) }),
	"fails half the time": withFault(always, func(random *rand.Rand, resp response) response { return fail(random, resp, 0.5) }),
	"slow at once":        withFault(always, func(_ *rand.Rand, resp response) response { return slow(resp, 8) }),
	"three times slower":  withFault(always, func(_ *rand.Rand, resp response) response { return slow(resp, 3) }),
	"fails after 60 s":    withFault(afterMinute, func(random *rand.Rand, resp response) response { return fail(random, resp, 0.8) }),
	"slow after 60 s":     withFault(afterMinute, func(_ *rand.Rand, resp response) response { return slow(resp, 5) }),
	"slow over half load": withFault(overHalfLoad, func(_ *rand.Rand, resp response) response { return slow(resp, 8) }),
	"fails on one route":  withFault(onDeskRoute, func(random *rand.Rand, resp response) response { return fail(random, resp, 1) }),
	"cuts answers": withFault(always, func(random *rand.Rand, resp response) response {
		if random.Float64() < 0.7 {
			resp.BadAnswer, resp.faulty = true, true
		}
		return resp
	}),
}

// caseSeeds is the number of seeds of each case, starting from 0.
const caseSeeds = 3

// nominalRate is the request rate of each route, in requests per second.
const nominalRate = 100

// TestBadVersionsAreContained checks that each kind of fault is contained in time, with the log
// up and down.
func TestBadVersionsAreContained(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(badVersions)) {
		runContainmentCases(t, name, badVersions[name])
	}
}

// TestFaultInThreeOfTenAnswersIsContained guards against missing a fault that affects only 30 %
// of the answers, and therefore takes longer to detect.
func TestFaultInThreeOfTenAnswersIsContained(t *testing.T) {
	intermittent := withFault(always, func(random *rand.Rand, resp response) response { return fail(random, resp, 0.3) })
	runContainmentCases(t, "fails now and then", intermittent)
}

// longAnswer is the token count of answers that last long after their first token.
const longAnswer = 400

// TestSlowVersionShowsByItsFirstTokens guards against detecting a slow version only when its
// answers end. Here they end long after the version must be contained.
func TestSlowVersionShowsByItsFirstTokens(t *testing.T) {
	slowLong := func(random *rand.Rand, r requestInfo) response {
		resp := slow(healthy(random, r), 8)
		resp.tokens = longAnswer
		return resp
	}
	runContainmentCases(t, "slow, long answers", slowLong)
}

// runContainmentCases runs a case under each seed, with the log up and down.
func runContainmentCases(t *testing.T, name string, answer behaviour) {
	for _, logDown := range []bool{false, true} {
		for seed := range uint64(caseSeeds) {
			t.Run(fmt.Sprintf("%s/log down %v/seed %d", name, logDown, seed), func(t *testing.T) {
				runContainmentCase(t, answer, logDown, seed)
			})
		}
	}
}

// runContainmentCase runs a move to a faulty version. With logDown, the log is unavailable for
// ten seconds from the first faulty answer on.
func runContainmentCase(t *testing.T, answer behaviour, logDown bool, seed uint64) {
	options := fleetOptions{entries: 4, engines: 4, routes: []string{"press", "desk"}, rate: nominalRate, answer: answer,
		loadTime: 300 * time.Millisecond, seed: seed}
	withFleet(t, options, func(c *qt.C, f *fleet) {
		time.Sleep(3 * time.Second)
		_, err := f.plan(90 * time.Second)
		c.Assert(err, qt.IsNil)
		f.awaitFault(100 * time.Second)
		f.log.setDown(logDown)
		time.Sleep(10 * time.Second)
		f.log.setDown(false)
		move := f.awaitEnd(20 * time.Second)
		c.Assert(move.GetState(), qt.Equals, reversed)
		for route, n := range f.tallies() {
			c.Check(n.unproven*20 <= n.total, qt.IsTrue, qt.Commentf("%s: %d of %d unproven", route, n.unproven, n.total))
			c.Check(n.afterGrace, qt.Equals, 0, qt.Commentf("%s: %d harmed of %d, last %v after the fault", route, n.harmed, n.toNew, f.lastNewRequest.Sub(f.firstFault)))
		}
	})
}
