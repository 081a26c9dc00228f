package experiments

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/lagoonlane/lagoonlane/bench/cell"
	"github.com/lagoonlane/lagoonlane/bench/standin/engine"
)

func slowEngine(node *cell.EngineNode) { node.Set(engine.Switches{SlowFactor: slowFactor}) }

const percent = 100

// Print writes the results of one scenario as a table.
func Print(out io.Writer, results []Result) error {
	first := results[0]
	fmt.Fprintf(out, "\n%s, %s: %d engines, capacity %.1f requests/s, %d arrivals in %v, seed %d\n",
		first.Run.Deployment.Name, first.Run.Scenario.Name, len(first.Run.Deployment.Speeds),
		first.Capacity, first.Arrivals, first.Run.Scenario.Window, first.Run.Seed)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := []string{"router"}
	for _, tier := range first.Report.Tiers {
		header = append(header, tier.Name+" %")
	}
	header = append(header, "all %", "good/s", "wasted %", "abandoned %", "repeated %", "of these first copies %", "wasted % after 20 s", "inverted", "overtaken", "without a good end", "")
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, result := range results {
		fmt.Fprintln(w, strings.Join(tableRow(result.Report), "\t")+"\t")
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, result := range results {
		if operations := result.Operations; operations.Sent > 0 {
			fmt.Fprintf(out, "operations: %d sent twice each, %d answered, %d doubled, %d lost; %s\n", operations.Sent,
				operations.Answered, operations.Doubled, operations.Lost, formatCounts(operations.Outcomes))
		}
	}
	return nil
}

func tableRow(report cell.Report) []string {
	columns := []string{report.Router}
	for _, tier := range report.Tiers {
		columns = append(columns, fmt.Sprintf("%.1f", percent*tier.GoodShare()))
	}
	good, offered := report.Good()
	prefill := max(1, float64(report.PrefillTokens))
	return append(columns,
		fmt.Sprintf("%.1f", percent*float64(good)/float64(max(1, offered))),
		fmt.Sprintf("%.1f", report.Goodput()),
		fmt.Sprintf("%.1f", percent*report.WastedShare()),
		fmt.Sprintf("%.1f", percent*float64(report.AbandonedPrefill)/prefill),
		fmt.Sprintf("%.1f", percent*float64(report.RepeatedPrefill)/prefill),
		fmt.Sprintf("%.1f", percent*float64(report.FirstCopies)/prefill),
		fmt.Sprintf("%.1f", percent*report.WarmWastedShare()),
		fmt.Sprint(report.Inverted), fmt.Sprint(report.Overtaken),
		formatCounts(report.Outcomes),
	)
}

// formatCounts formats counts as a list sorted by name.
func formatCounts[K ~string](counts map[K]int) string {
	var parts []string
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	sort.Strings(parts)
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
