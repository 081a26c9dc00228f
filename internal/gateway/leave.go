package gateway

import (
	"time"

	"github.com/lagoonlane/lagoonlane/internal/steady"
)

const (
	// usualWait is the longest usual wait for a slot.
	usualWait = time.Second
	// shortWork is what a call takes beside its wait and its output: the prefill of a long
	// prompt, or twice the work of a plain service.
	shortWork = 500 * time.Millisecond
	// cautiousTokenTime is the time for one output token at a slow engine.
	cautiousTokenTime = 10 * time.Millisecond
	// cutAllowed is how long after the start of a stop a request may come whose answer the
	// platform lets a process cut when it is still going on at the end of the grace time.
	cutAllowed = 3 * time.Second
)

// leave is a stop. Its times are those of the steady clock.
type leave struct {
	began time.Time
	// end is when every call must have ended.
	end time.Time
}

// Leave makes every answer from now on close its connection, and refuses requests that
// don't surely end within a time.
func (g *Gateway) Leave(within time.Duration) {
	now := steady.Now()
	g.leaving.Store(&leave{began: now, end: now.Add(within)})
	time.AfterFunc(within-usualWait-shortWork, g.bodies.stop)
}

// mayFinish refuses a call that may outlive this process. Wait is the time until it
// reaches a backend server.
func (g *Gateway) mayFinish(one *call, wait time.Duration) *Failure {
	stop := g.leaving.Load()
	if stop == nil || !one.deadline.After(stop.end) {
		return nil
	}
	if work, known := one.longestWork(steady.Since(stop.began) < cutAllowed); known && steady.Until(stop.end) >= wait+work {
		return nil
	}
	return unavailable(KindNotReady, staleRetryAfter, "this process is about to stop")
}

// longestWork returns how long a call may take at a backend server, if that is known.
// Unless its answer may be cut, the caller's estimate of its length doesn't count: it is
// right as often as not.
func (c *call) longestWork(mayCut bool) (time.Duration, bool) {
	tokens, known := 0, true
	switch {
	case c.engine == nil:
	case mayCut:
		tokens = c.outputTokens()
	default:
		tokens, known = c.info.MaxOutputTokens, c.info.HasTokens
	}
	return shortWork + time.Duration(tokens)*cautiousTokenTime, known
}
