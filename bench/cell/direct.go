package cell

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/caller"
	"github.com/lagoonlane/lagoonlane/internal/platform"
)

// Router sends one request and returns how it ended.
type Router interface {
	Send(ctx context.Context, arrival Arrival) caller.Result
}

// Policy is how a direct router chooses an engine.
type Policy string

// Policies of direct routers. All leave the order to the engines, which admit
// requests as they arrive.
const (
	// PolicyRoundRobin takes the engines in turn.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastReported takes the engine whose lagging report shows the least load.
	PolicyLeastReported Policy = "least-reported-load"
	// PolicyFIFO takes the engine with the fewest requests in flight for its
	// speed, by an exact count, and so is first in first out at a well-chosen engine.
	PolicyFIFO Policy = "fifo"
)

// Policies lists the baselines.
var Policies = []Policy{PolicyRoundRobin, PolicyLeastReported, PolicyFIFO}

// cancelTimeout bounds the cancelling of a call whose caller has left.
const cancelTimeout = time.Second

// directRouter sends requests straight to engines.
type directRouter struct {
	cell   *Cell
	policy Policy
	client *caller.Client

	mu         sync.Mutex
	nextEngine int
	inFlight   []int
}

// NewDirect returns a baseline.
func NewDirect(c *Cell, policy Policy) Router {
	return &directRouter{
		cell: c, policy: policy, client: &caller.Client{HTTP: c.Client()}, inFlight: make([]int, len(c.Engines)),
	}
}

// Send implements Router. A caller whose deadline passes leaves, and its call is
// cancelled in the engine.
func (d *directRouter) Send(ctx context.Context, arrival Arrival) caller.Result {
	selected := d.selectEngine()
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
	// An engine that can't be reached runs nothing.
	_ = engine.Cancel(ctx, id)
}

func (d *directRouter) addInFlight(engine, delta int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight[engine] += delta
}

func (d *directRouter) selectEngine() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	selected, best := -1, 0.0
	// Starting at the next engine breaks ties in turn.
	for i := range d.cell.Engines {
		candidate := (d.nextEngine + i) % len(d.cell.Engines)
		if d.cell.Engines[candidate].failureVisible() {
			continue
		}
		if load := d.loadScore(candidate); selected < 0 || load < best {
			selected, best = candidate, load
		}
	}
	d.nextEngine = selected + 1
	d.inFlight[selected]++
	return selected
}

// loadScore returns what the policy compares; the lowest wins.
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
