package gateway

import (
	"time"

	"github.com/lagoonlane/lagoonlane/internal/steady"
)

const (
	// typicalSlotWait is the longest wait for a slot in normal operation.
	typicalSlotWait = time.Second
	// baseServiceTime is the time of a call without its slot wait and its output: the prefill of
	// a long prompt, or twice the time of a plain service's request.
	baseServiceTime = 500 * time.Millisecond
	// slowTokenTime is the time per output token of a slow engine.
	slowTokenTime = 10 * time.Millisecond
	// cutAllowedWindow is the time after the start of a shutdown in which a request may be
	// accepted on an estimate of its length. The platform tolerates that such an answer is cut
	// at the end of the grace time.
	cutAllowedWindow = 3 * time.Second
)

// shutdown describes a shutdown in progress. Its times are those of the clock that
// counts suspension.
type shutdown struct {
	startedAt time.Time
	// endsAt is when every call must have ended.
	endsAt time.Time
}

// BeginShutdown starts a shutdown that ends after within. From now on, every answer closes its
// connection, and requests that aren't certain to end in time are refused.
func (g *Gateway) BeginShutdown(within time.Duration) {
	now := steady.Now()
	g.shutdown.Store(&shutdown{startedAt: now, endsAt: now.Add(within)})
	time.AfterFunc(within-typicalSlotWait-baseServiceTime, g.bodyReads.stop)
}

// checkShutdown refuses a call that may not end before this process does. wait is the expected
// time until the call reaches a backend server.
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

// maxServiceTime returns an upper limit of the time that a call takes at a backend server, and
// whether it is known. The caller's estimate of the output length is unreliable, so it is used
// only if the answer may be cut.
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
