// Package e2e tests the real binaries as separate processes on loopback, and kills, pauses and
// disconnects them.
package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/bench/caller"
	"github.com/lagoonlane/lagoonlane/bench/deploy"
)

// readyTimeout bounds the start of a deployment, operationTimeout a single request.
const (
	readyTimeout     = 30 * time.Second
	operationTimeout = 8 * time.Second
)

// ledgerLatency is long enough that operations are running whenever a fault is injected.
const ledgerLatency = 150 * time.Millisecond

// binDir is the directory of the binaries under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "lagoonlane-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	packages := []string{"./cmd/lagoonlane", "./cmd/lagoonctl", "./bench/cmd/standin"}
	if err := deploy.Build(context.Background(), dir, packages...); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	binDir = dir
	return m.Run()
}

// site is a running deployment with an applied configuration.
type site struct {
	*deploy.Deployment
	c      *qt.C
	client *caller.Client
}

// newSite starts the small Budapest deployment and applies its configuration.
func newSite(t *testing.T) *site { return newSiteWithLatency(t, ledgerLatency) }

// newSiteWithLatency is newSite with another duration of an operation.
func newSiteWithLatency(t *testing.T, latency time.Duration) *site {
	c := qt.New(t)
	spec := deploy.Budapest(binDir, c.TempDir())
	spec.ServiceLatency = latency
	d, err := deploy.Start(t.Context(), spec)
	c.Assert(err, qt.IsNil)
	c.Cleanup(d.Close)
	s := &site{Deployment: d, c: c}
	s.client = s.newClient()
	c.Cleanup(s.client.HTTP.CloseIdleConnections)
	s.configure()
	return s
}

// newClient returns a client with the key of the first client account.
func (s *site) newClient() *caller.Client {
	return &caller.Client{
		HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		Key:  s.AccountKeys[s.Spec.Accounts[0]],
	}
}

func (s *site) configure() {
	ctx, cancel := context.WithTimeout(s.c.Context(), readyTimeout)
	defer cancel()
	out, err := s.Configure(ctx)
	s.c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	s.waitServing()
}

// waitServing waits until each entry has served one request of each kind.
func (s *site) waitServing() {
	for i, url := range s.EntryURLs() {
		s.eventually("entry serves", func() bool {
			chat := s.client.Chat(s.c.Context(), caller.Chat{URL: url, Model: "assistant", Prompt: "ready?", MaxTokens: 1, Timeout: operationTimeout})
			operation := s.client.Operate(s.c.Context(), s.operation(url, http.MethodGet, "ready-"+strconv.Itoa(i), ""))
			return chat.Outcome == caller.OutcomeWhole && operation.Outcome == caller.OutcomeWhole
		})
	}
}

// eventually polls until done returns true. It fails the test after readyTimeout.
func (s *site) eventually(what string, done func() bool) {
	deadline := time.Now().Add(readyTimeout)
	for !done() {
		if time.Now().After(deadline) {
			s.c.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(pollInterval)
	}
}

const pollInterval = 50 * time.Millisecond

func (s *site) operation(url, method, id, key string) caller.Operation {
	return caller.Operation{
		URL: url, Service: "ledger", Method: method, Path: "/loans", ID: id, Key: key, Timeout: operationTimeout,
	}
}

// runs returns the number of runs of each operation, over all ledgers.
func (s *site) runs() map[string]int {
	total := map[string]int{}
	for i := range s.Spec.Services {
		var runs map[string]int
		s.c.Assert(s.GetJSON(s.c.Context(), "ledger-"+strconv.Itoa(i+1), "/runs", &runs), qt.IsNil)
		for id, n := range runs {
			total[id] += n
		}
	}
	return total
}

// operationResult is the result of one request for an operation.
type operationResult struct {
	id     string
	result caller.Result
}

// history collects results from concurrent callers.
type history struct {
	mu      sync.Mutex
	results []operationResult
}

func (h *history) add(id string, result caller.Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.results = append(h.results, operationResult{id, result})
}

// counts returns the number of results by outcome.
func (h *history) counts() map[caller.Outcome]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := map[caller.Outcome]int{}
	for _, result := range h.results {
		counts[result.result.Outcome]++
	}
	return counts
}

// check asserts the guarantees for operations that must not be repeated: no operation ran twice,
// an operation with a whole answer ran exactly once, and an operation that was refused as not run
// did not run.
func (h *history) check(c *qt.C, runs map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	whole := map[string]bool{}
	notRun := map[string]bool{}
	for _, operation := range h.results {
		switch operation.result.Outcome {
		case caller.OutcomeWhole:
			whole[operation.id] = true
		case caller.OutcomeNotRun:
			notRun[operation.id] = true
		case caller.OutcomeWrong:
			c.Errorf("operation %s got the answer of another: %+v", operation.id, operation.result)
		}
	}
	for id, n := range runs {
		if n > 1 {
			c.Errorf("operation %s ran %d times", id, n)
		}
	}
	for id := range whole {
		if runs[id] != 1 {
			c.Errorf("operation %s has a whole answer and %d runs", id, runs[id])
		}
	}
	for id := range notRun {
		if !whole[id] && !h.mayHaveRun(id) && runs[id] != 0 {
			c.Errorf("operation %s was refused as not run and ran %d times", id, runs[id])
		}
	}
}

// mayHaveRun reports whether a request for the operation had an outcome other than not-run. The
// caller must hold mu.
func (h *history) mayHaveRun(id string) bool {
	for _, operation := range h.results {
		if operation.id == id && operation.result.Outcome != caller.OutcomeNotRun {
			return true
		}
	}
	return false
}
