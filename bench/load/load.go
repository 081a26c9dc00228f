// Package load drives real processes with an open loop: each request is sent at
// its time, whatever became of those before it, and its latency counts from that
// time, so that a slow system can't slow down the load that measures it.
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

// progressInterval is the time between two progress lines.
const progressInterval = time.Second

// callerGraceTime is how long after its deadline a caller waits for a last word.
const callerGraceTime = time.Second

// operationTimeout is the deadline of an operation of the plain service.
const operationTimeout = 10 * time.Second

// Account is a client account and its key.
type Account struct {
	Name string `json:"name"`
	Key  string `json:"key"`
}

// Target says where and as whom to send.
type Target struct {
	// Entries are the URLs of the entries; requests take them in turn.
	Entries  []string  `json:"entries"`
	Model    string    `json:"model"`
	Service  string    `json:"service"`
	Tiers    []string  `json:"tiers"`
	Accounts []Account `json:"accounts"`
}

// Options of a run.
type Options struct {
	Target   Target
	Arrivals []cell.Arrival
	// Window is the time over which requests arrive.
	Window time.Duration
	// OperationEvery makes every n-th request a keyed operation of the plain
	// service instead of a chat; 0: none.
	OperationEvery int
	// Progress takes a line each second.
	Progress io.Writer
	HTTP     *http.Client
}

// runner is one run.
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

// Run sends all arrivals and waits for the last answer. It ends early with ctx.
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
		r.report(progress)
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
	// Latencies count from the time when the request was due.
	result.Total += sendDelay
	if result.FirstToken > 0 {
		result.FirstToken += sendDelay
	}
	r.add(arrival, result)
}

func (r *runner) isOperation(n int) bool {
	every := r.options.OperationEvery
	return every > 0 && n%every == every-1
}

func (r *runner) add(arrival cell.Arrival, result caller.Result) {
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

// report writes progress lines until ctx ends.
func (r *runner) report(ctx context.Context) {
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
