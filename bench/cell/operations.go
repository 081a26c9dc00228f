package cell

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/caller"
)

// Operations of a run. Each is sent twice under the same idempotency key, the second
// time through another entry.
const (
	operationsPerSecond = 10
	operationTimeout    = 10 * time.Second
)

// OperationReport holds the results of the non-idempotent operations of a run.
type OperationReport struct {
	Sent int
	// Answered counts operations with a complete answer to at least one of their two
	// requests.
	Answered int
	// Doubled counts operations that ran more than once.
	Doubled int
	// Lost counts operations with a complete answer that never ran.
	Lost int
	// Outcomes counts all requests by outcome.
	Outcomes map[caller.Outcome]int
}

// DriveOperations sends operations at a constant rate until the end of the window and
// compares their answers with the runs that the services counted.
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
			report.Answered++
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
