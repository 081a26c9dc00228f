package experiments

import (
	"flag"
	"os"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/bench/cell"
)

// Flags of the experiments. Without -full the tests run the small deployment.
var (
	full          = flag.Bool("full", false, "run the experiments at full size")
	nameFilter    = flag.String("only", "", "run only deployments and scenarios whose names contain this")
	skipBaselines = flag.Bool("alone", false, "run without the baselines")
	seedFlag      = flag.Uint64("seed", 1, "seed of the workloads")
	concurrency   = flag.Int("concurrency", 0, "bound in the settings of the engines' sidecars; 0: the engines' batch")
)

// smallWindow is the window of regular test runs.
const smallWindow = 6 * time.Second

// runInBubble executes a run in a synctest bubble. It uses one processor because the
// race detector of go1.26 can fail when timers of a bubble are read by several.
func runInBubble(t *testing.T, run Run) Result {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var result Result
	synctest.Test(t, func(t *testing.T) {
		var err error
		result, err = run.Execute()
		qt.Assert(t, err, qt.IsNil)
	})
	return result
}

// TestRequests checks the invariants that must hold under any load. With -full it also
// compares lagoonlane with the baselines.
func TestRequests(t *testing.T) {
	deployments, scenarios := []Deployment{Small}, smallScenarios()
	if *full {
		deployments, scenarios = []Deployment{Budapest, Ulaanbaatar}, Scenarios
	}
	for _, deployment := range deployments {
		for _, scenario := range scenarios {
			name := deployment.Name + ", " + scenario.Name
			if !strings.Contains(name, *nameFilter) {
				continue
			}
			t.Run(name, func(t *testing.T) { compareRouters(t, deployment, scenario) })
		}
	}
}

func smallScenarios() []Scenario {
	return []Scenario{
		{Name: "2x", Load: 2, Window: smallWindow},
		{Name: "0.7x, one engine is killed", Load: 0.7, Window: smallWindow, Faults: func(c *cell.Cell) []cell.Event {
			return []cell.Event{{At: smallWindow / 2, Do: func() { c.Kill(middleEngine(c)) }}}
		}},
	}
}

func compareRouters(t *testing.T, deployment Deployment, scenario Scenario) {
	run := Run{Deployment: deployment, Scenario: scenario, Seed: *seedFlag, MaxConcurrency: *concurrency}
	results := []Result{runInBubble(t, run)}
	qt.Check(t, results[0].CheckInvariants(), qt.IsNil)
	if !*full && scenario.Load >= overloadFactor {
		qt.Check(t, results[0].Report.Tiers[0].GoodShare() >= targetTopTier, qt.IsTrue)
	}
	if *full && !*skipBaselines {
		for _, policy := range cell.Policies {
			run.Policy = policy
			results = append(results, runInBubble(t, run))
		}
	}
	qt.Assert(t, Print(os.Stdout, results), qt.IsNil)
	PrintTargets(os.Stdout, results)
}
