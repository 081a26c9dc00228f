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
	// minSilence and silenceObjectives, the longer of the two, are how long a backend
	// server may say nothing before that counts against it.
	minSilence        = 400 * time.Millisecond
	silenceObjectives = 2
	// streamStallObjectives is how long a stream that may be resumed waits for its first
	// event before it looks for another place, in objectives. For plain requests that may be repeated
	// it is the longer of plainStallObjectives, which leaves time for an answer in time, and
	// plainStallTimes mean answer times of the service's servers.
	streamStallObjectives = 1.0
	plainStallObjectives  = 0.5
	plainStallTimes       = 3
	// stallGaps is how long a stream that may be resumed may pause before it looks for
	// another place, in its longest usual pauses, and at least minStallGap. It is also the
	// time between two such looks.
	stallGaps   = 2
	minStallGap = 500 * time.Millisecond
)

// silenceLimit is how long a backend server may say nothing at all of a request.
func (c *call) silenceLimit() time.Duration {
	return max(minSilence, silenceObjectives*c.route.Objective)
}

// StalledError says that a request went to another backend server, as this one was silent.
type StalledError struct{}

func (*StalledError) Error() string { return "the backend server stalled" }

var errStalled = &StalledError{}

// stallWatch looks for another place for a send whose backend server is silent for too
// long. The send goes on meanwhile: it is ended only once there is a place, so that the
// silence of a backend server never costs an answer that nobody else can give. The zero
// value watches nothing.
type stallWatch struct {
	gateway *Gateway
	call    *call
	parent  context.Context
	cancel  context.CancelCauseFunc
	// tried holds the backend servers that may not be chosen.
	tried map[string]bool
	// server is the backend server that is watched.
	server string
	// firstLimit is how long the first event may take, gap how long a pause between two.
	firstLimit, gapLimit time.Duration

	mu    sync.Mutex
	timer *time.Timer
	// lastProgress is when the last event came, or when the request was sent.
	lastProgress time.Time
	// events counts the signs of progress. A place that was looked for before the last
	// one is given back.
	events int
	// cancelSearch ends the look that is going on.
	cancelSearch context.CancelFunc
	stopped      bool
	// replacement is the place that the send was ended for.
	replacement *placement
}

// watchStall watches a send that may be repeated elsewhere.
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

// firstEventLimit returns how long a request waits for the first sign of an answer.
func (g *Gateway) firstEventLimit(call *call) time.Duration {
	if call.stream() {
		return time.Duration(streamStallObjectives * float64(call.route.Objective))
	}
	typical := g.serverStats.typicalTime(g.options.Directory.Ready(call.service, time.Now()))
	return max(time.Duration(plainStallObjectives*float64(call.route.Objective)), plainStallTimes*typical)
}

// tryMove seeks another place and moves the request there, unless its backend server goes
// on in the meantime. Without a place it looks again later.
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
	events, ended := w.events, w.stopped
	w.mu.Unlock()
	if ended {
		return
	}
	placed, failure := w.gateway.findOtherServer(ctx, w.call, w.tried)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.events != events {
		placed.releaseUnused()
		return
	}
	if failure == nil && !w.gateway.retryBudget.take(w.call.service, w.gateway.options.Entries(), steady.Now()) {
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

// logStall begins the line for a pause that was too long. The caller holds mu.
func (w *stallWatch) logStall() *zerolog.Event {
	limit := w.gapLimit
	if w.events == 0 {
		limit = w.firstLimit
	}
	return w.gateway.logger.Info().Str("request_id", w.call.info.ID).Str("backend_server", w.server).Int("events", w.events).
		Dur("pause_ms", time.Since(w.lastProgress)).Dur("limit_ms", limit).Dur("time_left_ms", steady.Until(w.call.deadline))
}

// errRetryBudgetUsed is why a stalled request stays although there is a place for it.
var errRetryBudgetUsed = unavailable(KindNoServer, defaultRetryAfter, "the retry budget is used up")

// findOtherServer waits for a slot at a backend server that wasn't tried.
func (g *Gateway) findOtherServer(ctx context.Context, call *call, tried map[string]bool) (*placement, *Failure) {
	now := time.Now()
	if !g.retryBudget.available(call.service, g.options.Entries(), steady.Now()) {
		return nil, errRetryBudgetUsed
	}
	ready := g.options.Rollouts.Choose(call.service, call.route.Name, g.options.Directory.Ready(call.service, now), true, now).First
	list := g.serverStats.usable(ready, tried, now)
	if len(list) == 0 {
		return nil, unavailable(KindNoServer, defaultRetryAfter, "the service has no other backend server")
	}
	return g.findServerIn(ctx, call, list, placementOptions{requireSlot: true})
}

// releaseUnused frees a slot that isn't used.
func (p *placement) releaseUnused() {
	if p != nil {
		p.release(admission.Outcome{})
	}
}

// recordProgress says that an event has come.
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

// stop ends the watch. It returns the place that the request goes on at, or nil.
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
