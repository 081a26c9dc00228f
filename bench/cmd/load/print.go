package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/lagoonlane/lagoonlane/bench/load"
)

const percent = 100

// write prints the result and writes the requested JSON and plot files.
func (p parameters) write(result load.Result) error {
	if err := printResult(result); err != nil {
		return err
	}
	if p.jsonFile != "" {
		data, err := json.MarshalIndent(result, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(p.jsonFile, data, 0o600); err != nil {
			return err
		}
	}
	if p.plotFile == "" {
		return nil
	}
	title := fmt.Sprintf("%s, seed %d, %v", p.deployment, p.seed, p.duration)
	return result.WritePlot(p.plotFile, title)
}

func printResult(result load.Result) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "tier\toffered\tgood %\tlate\tfirst token p50 ms\tp99 ms\tinter-token p50 ms\tp99 ms\twhole p50 ms\tp99 ms\t")
	for _, t := range result.Tiers {
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", t.Name, t.Offered,
			percent*float64(t.Good)/float64(max(1, t.Offered)), t.Late, t.FirstToken.P50, t.FirstToken.P99,
			t.InterToken.P50, t.InterToken.P99, t.Total.P50, t.Total.P99)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Printf("%d requests offered, %.1f good a second; wrong %d, without a final answer %d, doubled %d, refused as not run and yet seen %d\n",
		result.Offered, result.GoodPerSecond, result.WrongAnswers, result.NoFinalAnswer, result.Doubled, result.NotRunButDispatched)
	for _, t := range result.Tiers {
		fmt.Printf("%s: %s; problems: %s\n", t.Name, counts(t.Outcomes), counts(t.Problems))
	}
	return nil
}

func counts(byName map[string]int) string {
	var parts []string
	for name, n := range byName {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	sort.Strings(parts)
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
