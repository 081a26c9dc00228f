// Package load is an open-loop load generator for real processes. Each request is sent
// at its scheduled time, regardless of the progress of earlier ones, and its latency
// counts from that time. A slow system therefore can't reduce the offered load or hide
// its own queueing delay.
package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/caller"
	"github.com/lagoonlane/lagoonlane/bench/cell"
)

// progressInterval is the interval of progress lines.
const progressInterval = time.Second

// callerGraceTime is how long a caller waits for the final response after its deadline.
const callerGraceTime = time.Second

// operationTimeout is the timeout of an operation of the plain service.
const operationTimeout = 10 * time.Second

// Account is a client account and its API key.
type Account struct {
	Name string `json:"name"`
	Key  string `json:"key"`
}

// Target holds the addresses, names and client accounts with which requests are sent.
type Target struct {
	// Entries holds the URLs of the entries. Requests are sent to them in turn.
	Entries  []string  `json:"entries"`
	Model    string    `json:"model"`
	Service  string    `json:"service"`
	Tiers    []string  `json:"tiers"`
	Accounts []Account `json:"accounts"`
}

// Options configure a run.
type Options struct {
	Target   Target
	Arrivals []cell.Arrival
	// Window is the period in which requests arrive.
	Window time.Duration
	// OperationEvery turns every n-th request into an operation of the plain service with
	// an idempotency key, instead of a chat. 0 means none.
	OperationEvery int
	// Progress receives a progress line each second.
	Progress io.Writer
	HTTP     *http.Client
}

// runner holds the state of a run.
type runner struct {
	options   Options
	started   time.Time
	sent      atomic.Int64
	completed atomic.Int64
	good      atomic.Int64

	mu           sync.Mutex
	tiers        []*tierStats
	goodBySecond [][]int
	outcomeByID  map[string]caller.Outcome
}

// Run sends all arrivals, waits for their answers and returns the result. If ctx is
// done it sends no further arrivals and cancels those in flight.
func Run(ctx context.Context, options Options) Result {
	r := &runner{options: options, started: time.Now(), outcomeByID: map[string]caller.Outcome{}}
	for _, name := range options.Target.Tiers {
		r.tiers = append(r.tiers, newTierStats(name))
		r.goodBySecond = append(r.goodBySecond, make([]int, int(options.Window/time.Second)+1))
	}
	progressDone := make(chan struct{})
	progress, stop := context.WithCancel(ctx)
	go func() {
		defer close(progressDone)
		r.reportProgress(progress)
	}()
	r.sendAll(ctx)
	stop()
	<-progressDone
	return r.result()
}

func (r *runner) sendAll(ctx context.Context) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for i, arrival := range r.options.Arrivals {
		scheduledAt := r.started.Add(arrival.At)
		select {
		case <-time.After(time.Until(scheduledAt)):
		case <-ctx.Done():
			return
		}
		requests.Go(func() { r.send(ctx, i, arrival, scheduledAt) })
	}
}

func (r *runner) send(ctx context.Context, n int, arrival cell.Arrival, scheduledAt time.Time) {
	ctx, cancel := context.WithDeadline(ctx, scheduledAt.Add(arrival.Deadline+callerGraceTime))
	defer cancel()
	r.sent.Add(1)
	target := r.options.Target
	url := target.Entries[n%len(target.Entries)]
	client := caller.Client{HTTP: r.options.HTTP, Key: target.Accounts[arrival.Account%len(target.Accounts)].Key}
	sendDelay := time.Since(scheduledAt)
	var result caller.Result
	if r.isOperation(n) {
		result = client.Operate(ctx, caller.Operation{
			URL: url, Service: target.Service, Method: http.MethodPost, Path: "/records",
			ID: arrival.ID, Key: "key-" + arrival.ID, Tier: target.Tiers[arrival.Tier], Timeout: operationTimeout,
		})
	} else {
		result = client.Chat(ctx, caller.Chat{
			URL: url, Model: target.Model, Tier: target.Tiers[arrival.Tier], Prompt: arrival.Prompt(),
			MaxTokens: arrival.OutputTokens, Stream: true, Timeout: arrival.Deadline.Round(time.Millisecond), User: arrival.ID,
		})
	}
	// Latencies count from the scheduled time.
	result.Total += sendDelay
	if result.FirstToken > 0 {
		result.FirstToken += sendDelay
	}
	r.recordResult(arrival, result)
}

func (r *runner) isOperation(n int) bool {
	every := r.options.OperationEvery
	return every > 0 && n%every == every-1
}

func (r *runner) recordResult(arrival cell.Arrival, result caller.Result) {
	r.completed.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomeByID[arrival.ID] = result.Outcome
	if !r.tiers[arrival.Tier].add(arrival, result) {
		return
	}
	r.good.Add(1)
	second := int((arrival.At + result.Total) / time.Second)
	if second < len(r.goodBySecond[arrival.Tier]) {
		r.goodBySecond[arrival.Tier][second]++
	}
}

// reportProgress writes progress lines until ctx is done.
func (r *runner) reportProgress(ctx context.Context) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			sent, completed, good := r.sent.Load(), r.completed.Load(), r.good.Load()
			fmt.Fprintf(r.options.Progress, "%6.1fs  sent %d of %d  in flight %d  good %d  other %d\n",
				time.Since(r.started).Seconds(), sent, len(r.options.Arrivals), sent-completed, good, completed-good)
		}
	}
}
