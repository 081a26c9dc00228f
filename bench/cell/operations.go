package cell

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/caller"
)

// Operations of a run: each is sent under a key, and again through another entry.
const (
	operationsPerSecond = 10
	operationTimeout    = 10 * time.Second
)

// OperationReport is the result of the non-idempotent operations of a run.
type OperationReport struct {
	Sent int
	// Whole operations had a whole answer to at least one of their two requests.
	Whole int
	// Doubled operations ran more than once.
	Doubled int
	// Lost operations had a whole answer and never ran.
	Lost int
	// Outcomes of all requests.
	Outcomes map[caller.Outcome]int
}

// DriveOperations sends operations at a steady rate until the end of a window.
func (s *System) DriveOperations(window time.Duration) OperationReport {
	report := OperationReport{Outcomes: map[caller.Outcome]int{}}
	var mu sync.Mutex
	var requests sync.WaitGroup
	answeredByID := map[string]bool{}
	for started := time.Now(); time.Since(started) < window; report.Sent++ {
		n := report.Sent
		id := fmt.Sprintf("operation-%d", n)
		for attempt := range 2 {
			requests.Go(func() {
				result := s.sendOperation(id, n+attempt)
				mu.Lock()
				defer mu.Unlock()
				report.Outcomes[result.Outcome]++
				answeredByID[id] = answeredByID[id] || result.Outcome == caller.OutcomeWhole
			})
		}
		time.Sleep(time.Second / operationsPerSecond)
	}
	requests.Wait()
	runs := s.operationRuns()
	for id, answered := range answeredByID {
		if answered {
			report.Whole++
		}
		if answered && runs[id] == 0 {
			report.Lost++
		}
		if runs[id] > 1 {
			report.Doubled++
		}
	}
	return report
}

func (s *System) sendOperation(id string, n int) caller.Result {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	client := caller.Client{HTTP: s.client, Key: accountKey(0)}
	return client.Operate(ctx, caller.Operation{
		URL: "http://" + s.publicAddresses[n%len(s.publicAddresses)], Service: ServiceName,
		Method: http.MethodPost, Path: "/records", ID: id, Key: "key-" + id,
	})
}

func (s *System) operationRuns() map[string]int {
	total := map[string]int{}
	for _, server := range s.Services {
		for id, n := range server.Runs() {
			total[id] += n
		}
	}
	return total
}
