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
	g      *Gateway
	one    *call
	parent context.Context
	cancel context.CancelCauseFunc
	// tried holds the backend servers that may not be chosen.
	tried map[string]bool
	// server is the backend server that is watched.
	server string
	// first is how long the first event may take, gap how long a pause between two.
	first, gap time.Duration

	mu    sync.Mutex
	timer *time.Timer
	// heard is when the last event came, or when the request was sent.
	heard time.Time
	// events counts the signs of progress. A place that was looked for before the last
	// one is given back.
	events int
	// endLook ends the look that is going on.
	endLook context.CancelFunc
	ended   bool
	// next is the place that the send was ended for.
	next *placement
}

// watchStall watches a send that may be repeated elsewhere.
func (g *Gateway) watchStall(ctx context.Context, one *call, p *progress) (context.Context, *stallWatch) {
	if !one.route.Repeatable() || p.ran+1 >= one.route.MaxServers {
		return ctx, &stallWatch{}
	}
	w := &stallWatch{
		g: g, one: one, parent: ctx, tried: maps.Clone(p.tried),
		server: p.server, first: g.firstStall(one), gap: max(minStallGap, stallGaps*one.route.MaxEventGap),
		heard: time.Now(),
	}
	ctx, w.cancel = context.WithCancelCause(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.first, w.look)
	return ctx, w
}

// firstStall returns how long a request waits for the first sign of an answer.
func (g *Gateway) firstStall(one *call) time.Duration {
	if one.stream() {
		return time.Duration(streamStallObjectives * float64(one.route.Objective))
	}
	typical := g.servers.typicalTime(g.options.Directory.Ready(one.service, time.Now()))
	return max(time.Duration(plainStallObjectives*float64(one.route.Objective)), plainStallTimes*typical)
}

// look seeks another place and moves the request there, unless its backend server goes
// on in the meantime. Without a place it looks again later.
func (w *stallWatch) look() {
	if steady.Until(w.one.deadline) < w.one.route.Objective {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.log().Str("outcome", "kept").Str("reason", "too little time is left for another answer").Msg("stall")
		return
	}
	ctx, cancel := context.WithCancel(w.parent)
	defer cancel()
	w.mu.Lock()
	w.endLook = cancel
	events, ended := w.events, w.ended
	w.mu.Unlock()
	if ended {
		return
	}
	at, failure := w.g.placeElsewhere(ctx, w.one, w.tried)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.events != events {
		at.giveBack()
		return
	}
	if failure == nil && !w.g.retries.take(w.one.service, w.g.options.Entries(), steady.Now()) {
		at.giveBack()
		failure = errNoRepeat
	}
	if failure != nil {
		w.log().Str("outcome", "kept").Str("reason", failure.Detail).Msg("stall")
		w.timer.Reset(w.gap)
		return
	}
	w.log().Str("outcome", "moved").Str("to", at.server.ID).Msg("stall")
	w.ended, w.next = true, at
	w.cancel(errStalled)
}

// log begins the line for a pause that was too long. The caller holds mu.
func (w *stallWatch) log() *zerolog.Event {
	limit := w.gap
	if w.events == 0 {
		limit = w.first
	}
	return w.g.logger.Info().Str("request_id", w.one.info.ID).Str("backend_server", w.server).Int("events", w.events).
		Dur("pause_ms", time.Since(w.heard)).Dur("limit_ms", limit).Dur("time_left_ms", steady.Until(w.one.deadline))
}

// errNoRepeat is why a stalled request stays although there is a place for it.
var errNoRepeat = unavailable(KindNoServer, defaultRetryAfter, "the retry budget is used up")

// placeElsewhere waits for a slot at a backend server that wasn't tried.
func (g *Gateway) placeElsewhere(ctx context.Context, one *call, tried map[string]bool) (*placement, *Failure) {
	now := time.Now()
	if !g.retries.left(one.service, g.options.Entries(), steady.Now()) {
		return nil, errNoRepeat
	}
	ready := g.options.Rollouts.Choose(one.service, one.route.Name, g.options.Directory.Ready(one.service, now), true, now).Preferred
	list := g.servers.usable(ready, tried, now)
	if len(list) == 0 {
		return nil, unavailable(KindNoServer, defaultRetryAfter, "the service has no other backend server")
	}
	return g.placeAt(ctx, one, list, placeTerms{granted: true})
}

// giveBack frees a slot that isn't used.
func (at *placement) giveBack() {
	if at != nil {
		at.release(admission.Outcome{})
	}
}

// progress says that an event has come.
func (w *stallWatch) progress() {
	if w.timer == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.events++
	w.heard = time.Now()
	if w.endLook != nil {
		w.endLook()
		w.endLook = nil
	}
	w.timer.Reset(w.gap)
}

// stop ends the watch. It returns the place that the request goes on at, or nil.
func (w *stallWatch) stop() *placement {
	if w.timer == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
	if w.endLook != nil {
		w.endLook()
	}
	w.cancel(nil)
	return w.next
}
