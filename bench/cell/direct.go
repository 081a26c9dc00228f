package cell

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/caller"
	"github.com/lagoonlane/lagoonlane/internal/platform"
)

// Router sends a request and returns its result.
type Router interface {
	Send(ctx context.Context, arrival Arrival) caller.Result
}

// Policy is the rule by which a direct router selects an engine.
type Policy string

// Policies of direct routers. None of them queues requests; engines admit them in
// order of arrival.
const (
	// PolicyRoundRobin selects the engines in turn.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastReported selects the engine with the lowest load in its delayed report.
	PolicyLeastReported Policy = "least-reported-load"
	// PolicyFIFO selects the engine with the fewest requests in flight relative to its
	// speed, by an exact count. The engine serves them first in, first out.
	PolicyFIFO Policy = "fifo"
)

// Policies lists the policies of the baselines.
var Policies = []Policy{PolicyRoundRobin, PolicyLeastReported, PolicyFIFO}

// cancelTimeout is the timeout for cancelling the call of a disconnected caller.
const cancelTimeout = time.Second

// directRouter is a baseline that sends requests directly to engines.
type directRouter struct {
	cell   *Cell
	policy Policy
	client *caller.Client

	mu         sync.Mutex
	nextEngine int
	inFlight   []int
}

// NewDirect returns a router that sends requests directly to the engines of a cell.
func NewDirect(c *Cell, policy Policy) Router {
	return &directRouter{
		cell: c, policy: policy, client: &caller.Client{HTTP: c.Client()}, inFlight: make([]int, len(c.Engines)),
	}
}

// Send implements Router. At the deadline it disconnects and cancels the call in the
// engine.
func (d *directRouter) Send(ctx context.Context, arrival Arrival) caller.Result {
	selected, ok := d.selectEngine()
	if !ok {
		return caller.Result{Outcome: caller.OutcomeNotRun, Detail: "every engine has failed"}
	}
	defer d.addInFlight(selected, -1)
	target := d.cell.Engines[selected]
	deadlineCtx, cancel := context.WithTimeout(ctx, arrival.Deadline)
	defer cancel()
	result := d.client.Chat(deadlineCtx, caller.Chat{
		URL: "http://" + target.Address, Prompt: arrival.Prompt(), MaxTokens: arrival.OutputTokens, Stream: true,
		User: arrival.ID, Header: http.Header{platform.HeaderCallID: {arrival.ID}},
	})
	if deadlineCtx.Err() != nil {
		d.cancel(target, arrival.ID)
	}
	return result
}

func (d *directRouter) cancel(target *EngineNode, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	engine := platform.NewHTTPEngine("http://"+target.Address, d.client.HTTP)
	// An unreachable engine was killed and runs no calls.
	_ = engine.Cancel(ctx, id)
}

func (d *directRouter) addInFlight(engine, delta int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight[engine] += delta
}

// selectEngine returns the index of the engine with the lowest score and counts the
// request as in flight there. It reports false if every engine has failed.
func (d *directRouter) selectEngine() (selected int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	selected = -1
	best := 0.0
	// Starting at the next engine breaks ties by round robin.
	for i := range d.cell.Engines {
		candidate := (d.nextEngine + i) % len(d.cell.Engines)
		if d.cell.Engines[candidate].failureVisible() {
			continue
		}
		if load := d.loadScore(candidate); selected < 0 || load < best {
			selected, best = candidate, load
		}
	}
	if selected < 0 {
		return 0, false
	}
	d.nextEngine = selected + 1
	d.inFlight[selected]++
	return selected, true
}

// loadScore returns the policy's score of an engine; the lowest is selected.
func (d *directRouter) loadScore(i int) float64 {
	node := d.cell.Engines[i]
	switch d.policy {
	case PolicyLeastReported:
		load := node.Load()
		return float64(load.Running + load.Waiting)
	case PolicyFIFO:
		return float64(d.inFlight[i]+1) / node.Speed
	}
	return 0
}
