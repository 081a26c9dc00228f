package main

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/lagoonlane/lagoonlane/bench/caller"
	"github.com/lagoonlane/lagoonlane/bench/deploy"
)

// printTable prints the results by deployment and kind of request.
func printTable(out io.Writer, deployments []*deploy.Deployment, tallies []*tally) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nDEPLOYMENT\tREQUESTS\tSENT\tWHOLE\tOTHER")
	for i, d := range deployments {
		for _, kind := range kinds {
			whole, sent := 0, 0
			for outcome, n := range tallies[i].outcomes[kind] {
				sent += n
				if outcome == caller.OutcomeWhole {
					whole += n
				}
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", d.Spec.Name, kind, sent, whole, sent-whole)
		}
	}
	fmt.Fprintln(w, "\nDEPLOYMENT\tOPERATIONS\tRUN ONCE\tANSWERS BY VERSION")
	for i, d := range deployments {
		n := len(tallies[i].operations)
		fmt.Fprintf(w, "%s\t%d, each sent twice\t%d\t%s\n", d.Spec.Name, n, n, versionList(tallies[i].versions))
	}
	// Write errors are ignored; the exit code reports the result.
	_ = w.Flush()
}

func versionList(versions map[string]int) string {
	var parts []string
	for version, n := range versions {
		parts = append(parts, fmt.Sprintf("%s: %d", version, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

// printHowTo prints the addresses of a deployment and example commands.
func printHowTo(out io.Writer, bin string, d *deploy.Deployment) {
	fmt.Fprintf(out, "\n%s\n", d.Spec.Name)
	for _, p := range d.Processes() {
		public := ""
		if p.Public != "" {
			public = ", callers and operators at " + p.Public
		}
		fmt.Fprintf(out, "  %-22s %s%s\n", p.Name, p.Address, public)
	}
	url, account := d.EntryURLs()[0], d.Spec.Accounts[0]
	fmt.Fprintf(out, "\n  # as the client account %s\n", account)
	fmt.Fprintf(out, "  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n", url, d.AccountKeys[account])
	fmt.Fprintf(out, "    -d '{\"model\":%q,\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n",
		d.Spec.ModelRoute)
	fmt.Fprintf(out, "  curl %s/services/%s/records -H 'Authorization: Bearer %s' \\\n", url, d.Spec.ServiceName, d.AccountKeys[account])
	fmt.Fprintf(out, "    -H 'Idempotency-Key: k-1' -d '{\"operation\":\"record-1\"}'\n")
	fmt.Fprintf(out, "  # as the operator %s\n", deploy.OperatorName)
	fmt.Fprintf(out, "  export %s\n", strings.Join(d.CtlEnv(url), " "))
	fmt.Fprintf(out, "  %s/lagoonctl status\n", bin)
	fmt.Fprintln(out, "  # a move is taken back by its time when no requests prove the new version: send some meanwhile")
	fmt.Fprintf(out, "  %s/lagoonctl move plan --id m-1 --pool %s --from v1 --to v2 --finish-by 40s --confirm\n", bin, d.Spec.EnginePool)
	fmt.Fprintf(out, "  %s/lagoonctl move watch m-1\n", bin)
}
