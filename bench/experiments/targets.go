package experiments

import (
	"fmt"
	"io"
)

// Required results at a load of overloadFactor times the capacity: targetTopTier is
// the minimum fraction of good requests of the highest tier, targetWasted the maximum
// fraction of wasted prefill tokens.
const (
	targetTopTier  = 0.99
	targetWasted   = 0.02
	overloadFactor = 2
)

// PrintTargets prints whether the first result, that of lagoonlane, meets the targets
// and serves at least as many good requests as the best of the other results, those
// of the baselines.
func PrintTargets(out io.Writer, results []Result) {
	system := results[0]
	if system.Run.Scenario.Load >= overloadFactor {
		top := system.Report.Tiers[0].GoodShare()
		printTarget(out, top >= targetTopTier, "top tier %.1f %%, target %.0f %%", percent*top, percent*targetTopTier)
		wasted := system.Report.WastedShare()
		printTarget(out, wasted <= targetWasted, "wasted prefill %.1f %% (%.1f %% after 20 s), target %.0f %%",
			percent*wasted, percent*system.Report.WarmWastedShare(), percent*targetWasted)
	}
	if len(results) < 2 {
		return
	}
	best := results[1]
	for _, baseline := range results[1:] {
		if good, _ := baseline.Report.Good(); good > goodRequests(best) {
			best = baseline
		}
	}
	printTarget(out, goodRequests(system) >= goodRequests(best), "good requests %d, best baseline %d (%s)",
		goodRequests(system), goodRequests(best), best.Report.Router)
}

func goodRequests(result Result) int {
	good, _ := result.Report.Good()
	return good
}

func printTarget(out io.Writer, met bool, format string, args ...any) {
	verdict := "missed"
	if met {
		verdict = "met"
	}
	fmt.Fprintf(out, "target %s: %s\n", verdict, fmt.Sprintf(format, args...))
}
