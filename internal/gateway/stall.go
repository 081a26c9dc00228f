package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/steady"
)

const (
	// A backend server that is silent for longer than both minSilence and silenceObjectives
	// objectives counts as failed, even if the caller or the deadline ended the request.
	minSilence        = 400 * time.Millisecond
	silenceObjectives = 2
	// streamStallObjectives is how long a resumable stream waits for its first event before
	// another backend server is sought, as a multiple of the objective. For plain repeatable
	// requests it is the longer of plainStallObjectives, which leaves time for an answer within
	// the objective, and plainStallTimes mean answer times of the service's servers.
	streamStallObjectives = 1.0
	plainStallObjectives  = 0.5
	plainStallTimes       = 3
	// stallGaps is how long a resumable stream may pause before another backend server is
	// sought, as a multiple of the route's maximum event gap, and at least minStallGap. It is
	// also the interval between searches.
	stallGaps   = 2
	minStallGap = 500 * time.Millisecond
)

// silenceLimit is how long a backend server may take without any response before it counts as
// failed.
func (c *call) silenceLimit() time.Duration {
	return max(minSilence, silenceObjectives*c.route.Objective)
}

// StalledError reports that a request was moved to another backend server because this one
// stalled.
type StalledError struct{}

func (*StalledError) Error() string { return "the backend server stalled" }

var errStalled = &StalledError{}

// stallWatch looks for another backend server for a send that has stalled. The stalled send
// continues until the other server has granted a slot, so that a pause never loses an answer
// that no other server could give. The zero value does nothing.
type stallWatch struct {
	gateway *Gateway
	call    *call
	parent  context.Context
	cancel  context.CancelCauseFunc
	// tried holds the ids of backend servers that must not be chosen.
	tried map[string]bool
	// server is the id of the watched backend server.
	server string
	// firstLimit is the maximum time to the first event, gapLimit the maximum time between two
	// events.
	firstLimit, gapLimit time.Duration

	mu    sync.Mutex
	timer *time.Timer
	// lastProgress is when the last event was received, or when the request was sent.
	lastProgress time.Time
	// events counts the events received. If it changes during a search, the placement found is
	// released.
	events int
	// cancelSearch ends the search in progress.
	cancelSearch context.CancelFunc
	stopped      bool
	// replacement is the placement in favour of which the send was ended.
	replacement *placement
}

// watchStall starts a stall watch if the request may be sent to another backend server.
func (g *Gateway) watchStall(ctx context.Context, call *call, p *callProgress) (context.Context, *stallWatch) {
	if !call.route.Repeatable() || p.ran+1 >= call.route.MaxServers {
		return ctx, &stallWatch{}
	}
	w := &stallWatch{
		gateway: g, call: call, parent: ctx, tried: maps.Clone(p.tried),
		server: p.server, firstLimit: g.firstEventLimit(call), gapLimit: max(minStallGap, stallGaps*call.route.MaxEventGap),
		lastProgress: time.Now(),
	}
	ctx, w.cancel = context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.firstLimit, w.tryMove)
	return ctx, w
}

// firstEventLimit returns how long to wait for the first event, or for a plain answer.
func (g *Gateway) firstEventLimit(call *call) time.Duration {
	if call.stream() {
		return time.Duration(streamStallObjectives * float64(call.route.Objective))
	}
	typical := g.servers.typicalTime(g.options.Directory.Ready(call.service, time.Now()))
	return max(time.Duration(plainStallObjectives*float64(call.route.Objective)), plainStallTimes*typical)
}

// tryMove searches for another backend server and moves the request there, unless the current
// one makes progress in the meantime. If there is none, it retries after gapLimit.
func (w *stallWatch) tryMove() {
	if steady.Until(w.call.deadline) < w.call.route.Objective {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.logStall().Str("outcome", "kept").Str("reason", "too little time is left for another answer").Msg("stall")
		return
	}
	ctx, cancel := context.WithCancel(w.parent)
	defer cancel()
	w.mu.Lock()
	w.cancelSearch = cancel
	events, stopped := w.events, w.stopped
	w.mu.Unlock()
	if stopped {
		return
	}
	placed, failure := w.gateway.findOtherServer(ctx, w.call, w.tried)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.events != events {
		placed.releaseUnused()
		return
	}
	if failure == nil && !w.gateway.retryBudget.take(w.call.service, steady.Now()) {
		placed.releaseUnused()
		failure = errRetryBudgetUsed
	}
	if failure != nil {
		w.logStall().Str("outcome", "kept").Str("reason", failure.Detail).Msg("stall")
		w.timer.Reset(w.gapLimit)
		return
	}
	w.logStall().Str("outcome", "moved").Str("to", placed.server.ID).Msg("stall")
	w.stopped, w.replacement = true, placed
	w.cancel(errStalled)
}

// logStall starts a log line about a stall. The caller must hold mu.
func (w *stallWatch) logStall() *zerolog.Event {
	limit := w.gapLimit
	if w.events == 0 {
		limit = w.firstLimit
	}
	return w.gateway.logger.Info().Str("request_id", w.call.info.ID).Str("backend_server", w.server).Int("events", w.events).
		Dur("pause_ms", time.Since(w.lastProgress)).Dur("limit_ms", limit).Dur("time_left_ms", steady.Until(w.call.deadline))
}

// errRetryBudgetUsed is the failure when a stalled request can't be moved for lack of retry
// budget.
var errRetryBudgetUsed = unavailable(KindNoServer, defaultRetryAfter, "the retry budget is used up")

// findOtherServer waits for a slot at a backend server that hasn't been tried.
func (g *Gateway) findOtherServer(ctx context.Context, call *call, tried map[string]bool) (*placement, *Failure) {
	now := time.Now()
	if !g.retryBudget.available(call.service, steady.Now()) {
		return nil, errRetryBudgetUsed
	}
	ready, failure := g.accepting(g.options.Directory.Ready(call.service, now))
	if failure != nil {
		return nil, failure
	}
	ready = g.options.Rollouts.Choose(call.service, call.route.Name, ready, true, now).Preferred
	list := g.servers.usable(ready, tried, now)
	if len(list) == 0 {
		return nil, unavailable(KindNoServer, defaultRetryAfter, "the service has no other backend server")
	}
	return g.findServerIn(ctx, call, list, placementOptions{requireSlot: true})
}

// releaseUnused releases a slot that wasn't used. p may be nil.
func (p *placement) releaseUnused() {
	if p != nil {
		p.release(admission.Outcome{Unsent: true})
	}
}

// recordProgress records that an event was received.
func (w *stallWatch) recordProgress() {
	if w.timer == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.events++
	w.lastProgress = time.Now()
	if w.cancelSearch != nil {
		w.cancelSearch()
		w.cancelSearch = nil
	}
	w.timer.Reset(w.gapLimit)
}

// stop ends the watch. It returns the placement that the request was moved to, or nil.
func (w *stallWatch) stop() *placement {
	if w.timer == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	if w.cancelSearch != nil {
		w.cancelSearch()
	}
	w.cancel(nil)
	return w.replacement
}
