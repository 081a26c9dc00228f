package gateway

import (
	"time"

	"github.com/lagoonlane/lagoonlane/internal/steady"
)

const (
	// typicalSlotWait is the longest usual wait for a slot.
	typicalSlotWait = time.Second
	// baseServiceTime is what a call takes beside its wait and its output: the prefill of a long
	// prompt, or twice the work of a plain service.
	baseServiceTime = 500 * time.Millisecond
	// slowTokenTime is the time for one output token at a slow engine.
	slowTokenTime = 10 * time.Millisecond
	// cutAllowedWindow is how long after the start of a stop a request may come whose answer the
	// platform lets a process cut when it is still going on at the end of the grace time.
	cutAllowedWindow = 3 * time.Second
)

// shutdown is a stop. Its times are those of the steady clock.
type shutdown struct {
	startedAt time.Time
	// endsAt is when every call must have ended.
	endsAt time.Time
}

// Leave makes every answer from now on close its connection, and refuses requests that
// don't surely end within a time.
func (g *Gateway) Leave(within time.Duration) {
	now := steady.Now()
	g.shutdown.Store(&shutdown{startedAt: now, endsAt: now.Add(within)})
	time.AfterFunc(within-typicalSlotWait-baseServiceTime, g.bodyReads.stop)
}

// checkShutdown refuses a call that may outlive this process. Wait is the time until it
// reaches a backend server.
func (g *Gateway) checkShutdown(call *call, wait time.Duration) *Failure {
	stop := g.shutdown.Load()
	if stop == nil || !call.deadline.After(stop.endsAt) {
		return nil
	}
	if work, known := call.maxServiceTime(steady.Since(stop.startedAt) < cutAllowedWindow); known && steady.Until(stop.endsAt) >= wait+work {
		return nil
	}
	return unavailable(KindNotReady, staleRetryAfter, "this process is about to stop")
}

// maxServiceTime returns how long a call may take at a backend server, if that is known.
// Unless its answer may be cut, the caller's estimate of its length doesn't count: it is
// right as often as not.
func (c *call) maxServiceTime(mayCut bool) (time.Duration, bool) {
	tokens, known := 0, true
	switch {
	case c.engine == nil:
	case mayCut:
		tokens = c.outputTokens()
	default:
		tokens, known = c.info.MaxOutputTokens, c.info.HasTokens
	}
	return baseServiceTime + time.Duration(tokens)*slowTokenTime, known
}
