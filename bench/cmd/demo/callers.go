package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/caller"
	"github.com/lagoonlane/lagoonlane/bench/deploy"
)

// Parameters of the demo's traffic.
const (
	callersPerEntry = 16
	callerPause     = 150 * time.Millisecond
	afterMoveWait   = 1500 * time.Millisecond
	requestTimeout  = 20 * time.Second
	answerTokens    = 12
	// promptBytes is the length of prompts, large enough that the engine's processing dominates
	// the time to the first token.
	promptBytes = 1200
)

// tally counts the results of a deployment's callers.
type tally struct {
	next atomic.Uint64

	mu                 sync.Mutex
	outcomes           map[string]map[caller.Outcome]int
	versions           map[string]int
	versionsSinceReset map[string]int
	operations         []string
	problems           []string
}

func newTally() *tally {
	return &tally{
		outcomes: map[string]map[caller.Outcome]int{}, versions: map[string]int{}, versionsSinceReset: map[string]int{},
	}
}

// kinds lists the kinds of requests in the order of the table.
var kinds = []string{"streamed", "whole", "operation", "query"}

func (t *tally) add(kind string, result caller.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.outcomes[kind] == nil {
		t.outcomes[kind] = map[caller.Outcome]int{}
	}
	t.outcomes[kind][result.Outcome]++
	if kind == "streamed" || kind == "whole" {
		t.versions[result.Version]++
		t.versionsSinceReset[result.Version]++
	}
	if result.Outcome != caller.OutcomeWhole {
		t.problems = append(t.problems,
			fmt.Sprintf("%s: %s %d %s %s", kind, result.Outcome, result.Status, result.Problem, result.Detail))
	}
}

// resetVersions resets the counts by version that recentVersions returns.
func (t *tally) resetVersions() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.versionsSinceReset = map[string]int{}
}

func (t *tally) recentVersions() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.versionsSinceReset
}

// send sends the next request of a deployment through an entry. The request number selects its
// account, tier and kind.
func (t *tally) send(ctx context.Context, d *deploy.Deployment, url string) {
	n := int(t.next.Add(1))
	account := d.Spec.Accounts[n%len(d.Spec.Accounts)]
	tier := d.Spec.Tiers[n%len(d.Spec.Tiers)]
	client := &caller.Client{HTTP: http.DefaultClient, Key: d.AccountKeys[account]}
	chat := caller.Chat{
		URL: url, Model: d.Spec.ModelRoute, Tier: tier, Timeout: requestTimeout,
		Prompt: prompt(d, account, n), MaxTokens: answerTokens,
	}
	kind := kinds[n%len(kinds)]
	switch kind {
	case "streamed":
		chat.Stream = true
		t.add(kind, client.Chat(ctx, chat))
	case "whole":
		t.add(kind, client.Chat(ctx, chat))
	case "operation":
		t.operate(ctx, client, d, url, n)
	case "query":
		t.add(kind, client.Operate(ctx, caller.Operation{
			URL: url, Service: d.Spec.ServiceName, Method: http.MethodGet, Path: "/stock",
			ID: fmt.Sprintf("query-%d", n), Timeout: requestTimeout,
		}))
	}
}

// prompt returns a text that is unique to the request.
func prompt(d *deploy.Deployment, account string, n int) string {
	phrase := fmt.Sprintf("%s request %d of %s. ", d.Spec.Name, n, account)
	return strings.Repeat(phrase, promptBytes/len(phrase))
}

// operate sends a non-idempotent operation, and sends it again under the same idempotency key
// through the first entry, like a caller that has lost the answer.
func (t *tally) operate(ctx context.Context, client *caller.Client, d *deploy.Deployment, url string, n int) {
	operation := caller.Operation{
		URL: url, Service: d.Spec.ServiceName, Method: http.MethodPost, Path: "/records",
		ID: fmt.Sprintf("operation-%d", n), Key: fmt.Sprintf("key-%d", n), Timeout: requestTimeout,
	}
	t.mu.Lock()
	t.operations = append(t.operations, operation.ID)
	t.mu.Unlock()
	t.add("operation", client.Operate(ctx, operation))
	operation.URL = d.EntryURLs()[0]
	t.add("operation", client.Operate(ctx, operation))
}

// sendEachKind sends one request of each kind through each entry.
func sendEachKind(ctx context.Context, d *deploy.Deployment, t *tally) error {
	for _, url := range d.EntryURLs() {
		for range kinds {
			t.send(ctx, d, url)
		}
	}
	return t.problem(d)
}

// startCallers starts callers that send requests through all entries until traffic is done.
// Pending requests continue under ctx.
func startCallers(traffic, ctx context.Context, callers *sync.WaitGroup, d *deploy.Deployment, t *tally) {
	for _, url := range d.EntryURLs() {
		for range callersPerEntry {
			callers.Go(func() {
				for sleep(traffic, callerPause) == nil {
					t.send(ctx, d, url)
				}
			})
		}
	}
}

// problem returns an error if a request did not receive a whole answer.
func (t *tally) problem(d *deploy.Deployment) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.problems) == 0 {
		return nil
	}
	return failed("%s: %d requests without their whole answer; the first: %s", d.Spec.Name, len(t.problems), t.problems[0])
}

// check checks that all answers were whole and that each operation ran exactly once.
func (t *tally) check(ctx context.Context, d *deploy.Deployment) error {
	if err := t.problem(d); err != nil {
		return err
	}
	runs, err := operationRuns(ctx, d)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range t.operations {
		if runs[id] != 1 {
			return failed("%s: %s ran %d times", d.Spec.Name, id, runs[id])
		}
	}
	return nil
}

// operationRuns returns the number of runs of each operation over all plain services.
func operationRuns(ctx context.Context, d *deploy.Deployment) (map[string]int, error) {
	total := map[string]int{}
	for i := range d.Spec.Services {
		runs := map[string]int{}
		if err := d.GetJSON(ctx, fmt.Sprintf("%s-%d", d.Spec.ServiceName, i+1), "/runs", &runs); err != nil {
			return nil, err
		}
		for id, n := range runs {
			total[id] += n
		}
	}
	return total, nil
}
