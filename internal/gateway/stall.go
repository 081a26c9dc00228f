package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lagoonlane/lagoonlane/internal/steady"
)

const (
	// minSilence and silenceObjectives, the longer of the two, are how long a backend
	// server may say nothing before that counts against it.
	minSilence        = 400 * time.Millisecond
	silenceObjectives = 2
	// streamStallObjectives is how long a stream that may be resumed waits for its first
	// event before it goes elsewhere, in objectives. For plain requests that may be repeated
	// it is the longer of plainStallObjectives, which leaves time for an answer in time, and
	// plainStallTimes mean answer times of the service's servers.
	streamStallObjectives = 1.0
	plainStallObjectives  = 0.5
	plainStallTimes       = 3
	// stallGaps is how long a stream that may be resumed may pause, in its longest usual
	// pauses, and at least minStallGap.
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

// stallWatch ends a send whose backend server is silent for too long. The zero value
// watches nothing.
type stallWatch struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
	// first is how long the first event may take, gap how long a pause between two.
	first, gap time.Duration
	// heard is when the last event came (Unix nanoseconds), or when the request was sent;
	// events counts them.
	heard, events atomic.Int64
}

// watchStall watches a send that may be repeated elsewhere. Others are left alone: the
// silence of a backend server is no reason to end an answer that nobody else can give.
func (g *Gateway) watchStall(ctx context.Context, one *call, p *progress) (context.Context, *stallWatch) {
	if !one.route.Repeatable() || p.ran+1 >= one.route.MaxServers {
		return ctx, &stallWatch{}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	w := &stallWatch{cancel: cancel, first: g.firstStall(one), gap: max(minStallGap, stallGaps*one.route.MaxEventGap)}
	w.heard.Store(time.Now().UnixNano())
	server := p.server
	w.timer = time.AfterFunc(w.first, func() {
		leaves := g.mayLeaveStalled(one, p)
		g.logStall(one, w, server, leaves)
		if leaves {
			p.stalled.Store(true)
			cancel(errStalled)
		}
	})
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

// mayLeaveStalled reports whether there is another backend server to go to, and takes
// the repeat from the retry budget.
func (g *Gateway) mayLeaveStalled(one *call, p *progress) bool {
	now := time.Now()
	if steady.Until(one.deadline) < one.route.Objective || len(g.options.Directory.Ready(one.service, now)) < 2 {
		return false
	}
	return g.retries.take(one.service, g.options.Entries(), now)
}

// logStall writes a line for a pause that was too long. Whether another backend server
// took the request is told by the lines that follow: "repeat", or no_retry of "request".
func (g *Gateway) logStall(one *call, w *stallWatch, server string, leaves bool) {
	outcome, limit, events := "waits on", w.gap, w.events.Load()
	if leaves {
		outcome = "given up"
	}
	if events == 0 {
		limit = w.first
	}
	g.logger.Info().Str("request_id", one.info.ID).Str("backend_server", server).Int64("events", events).
		Dur("pause_ms", time.Since(time.Unix(0, w.heard.Load()))).Dur("limit_ms", limit).
		Dur("time_left_ms", steady.Until(one.deadline)).Int("ready", len(g.options.Directory.Ready(one.service, time.Now()))).
		Str("outcome", outcome).Msg("stall")
}

// progress says that an event has come.
func (w *stallWatch) progress() {
	w.heard.Store(time.Now().UnixNano())
	w.events.Add(1)
	if w.timer != nil && w.timer.Stop() {
		w.timer.Reset(w.gap)
	}
}

func (w *stallWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
		w.cancel(nil)
	}
}
