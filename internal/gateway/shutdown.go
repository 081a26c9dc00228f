package gateway

import (
	"time"

	"github.com/lagoonlane/lagoonlane/internal/steady"
	"github.com/lagoonlane/lagoonlane/internal/worktime"
)

const (
	// typicalSlotWait is the longest wait for a slot in normal operation.
	typicalSlotWait = time.Second
	// baseServiceTime is the least time that a call is expected to take without its slot wait and its output: the
	// prefill of a long prompt, or twice the time of a plain service's request. slowTokenTime is the same for each output
	// token. What the latest calls of the route took counts if it is more.
	baseServiceTime = 500 * time.Millisecond
	slowTokenTime   = 10 * time.Millisecond
)

// shutdown describes a shutdown in progress. Its times are those of the clock that
// counts suspension.
type shutdown struct {
	// endsAt is when every call must have ended.
	endsAt time.Time
}

// BeginShutdown starts a shutdown that ends after within. From now on, every answer closes its
// connection, and requests that may not end in time are refused.
func (g *Gateway) BeginShutdown(within time.Duration) {
	g.shutdown.Store(&shutdown{endsAt: steady.Now().Add(within)})
	time.AfterFunc(within-typicalSlotWait-baseServiceTime, g.bodyReads.stop)
}

// checkShutdown refuses a call that may not end before this process does. wait is the expected
// time until the call reaches a backend server.
func (g *Gateway) checkShutdown(call *call, wait time.Duration) *Failure {
	stop := g.shutdown.Load()
	if stop == nil || !call.deadline.After(stop.endsAt) {
		return nil
	}
	if work, known := g.longestWork(call); known && steady.Until(stop.endsAt) >= wait+work {
		return nil
	}
	return unavailable(KindNotReady, staleRetryAfter, "this process is about to stop")
}

// longestWork returns an upper limit of the time that a call takes at a backend server, and whether it is known. A call
// of a plain service that may not be repeated has none but its deadline: if it outlasted this process, its caller could
// not know whether it has run. The caller's estimate of the output's length is too unreliable to count.
func (g *Gateway) longestWork(call *call) (time.Duration, bool) {
	tokens := call.info.MaxOutputTokens
	if call.engine == nil && !call.route.Repeatable() || call.engine != nil && !call.info.HasTokens {
		return 0, false
	}
	least := baseServiceTime
	if call.engine != nil {
		least += time.Duration(tokens) * slowTokenTime
	}
	return max(least, g.work.Longest(call.route.Name, tokens)), true
}

// observeWork learns from a call that has run, whole or cut, how long its route's calls take.
func (g *Gateway) observeWork(call *call, result sendResult, took time.Duration) {
	work := worktime.Work{Start: took}
	if result.firstEvent > 0 {
		work = worktime.Work{Start: result.firstEvent, Rest: took - result.firstEvent}
	}
	if call.info.HasTokens {
		work.Tokens = call.info.MaxOutputTokens
	}
	g.work.Observe(call.route.Name, work)
}
