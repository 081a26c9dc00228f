package gateway

import (
	"context"
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
	// gap is how long a pause between two events may be.
	gap time.Duration
}

// watchStall watches a send that may be repeated elsewhere. Others are left alone: the
// silence of a backend server is no reason to end an answer that nobody else can give.
func (g *Gateway) watchStall(ctx context.Context, one *call, p *progress) (context.Context, *stallWatch) {
	if !one.route.Repeatable() || p.ran+1 >= one.route.MaxServers {
		return ctx, &stallWatch{}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	w := &stallWatch{cancel: cancel, gap: max(minStallGap, stallGaps*one.route.MaxEventGap)}
	w.timer = time.AfterFunc(g.firstStall(one), func() {
		if g.mayLeaveStalled(one, p) {
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

// progress says that an event has come.
func (w *stallWatch) progress() {
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
