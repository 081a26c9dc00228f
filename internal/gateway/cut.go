package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/steady"
	"github.com/lagoonlane/lagoonlane/internal/transport"
	"github.com/lagoonlane/lagoonlane/internal/upstream"
)

// CutCause identifies what ended an accepted request before its answer was complete.
type CutCause string

// Causes of incomplete answers.
const (
	// CutCallerLeft: the caller closed its connection, or writing to it failed.
	CutCallerLeft CutCause = "caller-left"
	// CutStopped: the grace time of this process ended while the request ran or may have run.
	CutStopped CutCause = "stopped"
	// CutClosedIdle: this process closed the caller's connection as idle while the request was
	// arriving.
	CutClosedIdle CutCause = "closed-idle"
	// CutStalled: this process gave up on a stalled backend server, and the next one did not run
	// the request.
	CutStalled CutCause = "stalled"
	// CutBackendServer: the connection to the backend server broke.
	CutBackendServer CutCause = "backend-server"
	// CutBadAnswer: the backend server sent an answer that can't be forwarded.
	CutBadAnswer CutCause = "bad-answer"
	// CutMemory: the memory limit of this process didn't allow buffering the answer.
	CutMemory CutCause = "memory"
	// CutDeadline: there was no complete answer by the deadline.
	CutDeadline CutCause = "deadline"
	// CutCrashed: the handler panicked.
	CutCrashed CutCause = "crashed"
)

// logCrash writes the log line of a call whose handler panics. net/http logs the panic itself.
func (g *Gateway) logCrash(call *call) {
	if call.finished {
		return
	}
	failure := &Failure{Kind: KindFailed, Status: http.StatusBadGateway, Detail: "the handler panicked", CutBy: CutCrashed}
	elapsed := steady.Since(call.arrived)
	g.metrics.recordRequest(call, &callProgress{}, failure, elapsed)
	g.logRequest(call, &callProgress{}, failure, elapsed)
}

// cutFailure returns the failure of a request that ended before its deadline, by the cause of
// ctx. mayHaveRun says whether a backend server may have started the request.
func cutFailure(ctx context.Context, mayHaveRun bool) *Failure {
	var stopped *transport.StoppedError
	var idle *transport.ClosedIdleError
	switch cause := context.Cause(ctx); {
	case errors.As(cause, &stopped) && !mayHaveRun:
		return unavailable(KindStopped, staleRetryAfter, "this process ended its grace time before the request was sent")
	case errors.As(cause, &stopped):
		return &Failure{Kind: KindStopped, Status: http.StatusBadGateway, Detail: "this process ended its grace time", CutBy: CutStopped}
	case errors.As(cause, &idle):
		return &Failure{Kind: KindStopped, Status: http.StatusBadGateway, Detail: "this process closed the connection", CutBy: CutClosedIdle}
	}
	return &Failure{Kind: KindCallerLeft, Status: http.StatusBadGateway, Detail: "the caller left", CutBy: CutCallerLeft}
}

// recordFailure records what ended a send of a request that may have run.
func (p *callProgress) recordFailure(outcome verdict, err error) {
	if outcome != verdictFailed {
		return
	}
	var caller *CallerWriteError
	var answer *AnswerError
	var stray *upstream.StrayAnswerError
	bad, _, _ := classifyBadBytes(err)
	switch {
	case errors.As(err, &caller):
		p.brokenBy = CutCallerLeft
	case p.replacement != nil:
		p.brokenBy = CutStalled
	case bad == badMemory:
		p.brokenBy = CutMemory
	case bad != "", errors.As(err, &answer), errors.As(err, &stray):
		p.brokenBy = CutBadAnswer
	default:
		p.brokenBy = CutBackendServer
	}
}

// noRetryReason returns why a call isn't sent to another backend server after a failed send.
func (p *callProgress) noRetryReason(call *call, last verdict) string {
	switch {
	case steady.Until(call.deadline) < minRetryTime:
		return "no time left"
	case p.tooManyEvents:
		return "the answer has more events than it may have"
	case last == verdictFailed && !call.route.Repeatable():
		return "the request may run once only"
	case last == verdictFailed && p.ran >= call.route.MaxServers:
		return "it ran at as many backend servers as the route allows"
	case p.rejections > maxRejections || p.unsentAttempts >= maxUnsentAttempts:
		return "too many backend servers did not take it"
	}
	return "the retry budget is used up"
}

// started reports whether part of an answer has been sent to the caller.
func (p *callProgress) started() bool { return p.relay != nil && p.relay.started }

const (
	// maxListedCuts limits the request ids listed in the log line of a shutdown. Every cut
	// request also has a log line of its own.
	maxListedCuts = 20
	// idlePollInterval is the time between checks whether requests are still running.
	idlePollInterval = 5 * time.Millisecond
)

// Requests counts the running requests of a process, and the requests it cut during shutdown.
// The zero value is ready to use. It is safe for concurrent use.
type Requests struct {
	running atomic.Int64
	// marked counts the running requests that began before MarkRunning; before MarkRunning is
	// called, all of them.
	marked  atomic.Int64
	markSet atomic.Bool

	mu sync.Mutex
	// cutCount counts the requests that this process ended itself; cutIDs lists the ids of the
	// first maxListedCuts of them.
	cutCount int
	cutIDs   []string
}

// begin adds a running request and returns a function that removes it.
func (r *Requests) begin() (end func()) {
	r.running.Add(1)
	r.marked.Add(1)
	if r.markSet.Load() {
		r.marked.Add(-1)
		return func() { r.running.Add(-1) }
	}
	return func() {
		r.marked.Add(-1)
		r.running.Add(-1)
	}
}

// MarkRunning separates the requests that are running now from those that begin later.
func (r *Requests) MarkRunning() { r.markSet.Store(true) }

// Running returns the number of requests that wait or run.
func (r *Requests) Running() int64 { return r.running.Load() }

func (r *Requests) recordCut(id string, cut CutCause) {
	if cut != CutStopped && cut != CutClosedIdle {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutCount++
	if len(r.cutIDs) < maxListedCuts {
		r.cutIDs = append(r.cutIDs, id)
	}
}

// CutRequests returns how many requests this process cut during shutdown, and the ids of the
// first ones.
func (r *Requests) CutRequests() (int, []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cutCount, append([]string(nil), r.cutIDs...)
}

// WaitIdle waits until no request is running, and thus every request is logged, or until ctx is
// done.
func (r *Requests) WaitIdle(ctx context.Context) { waitForZero(ctx, &r.running) }

// WaitMarked waits until all requests that began before MarkRunning have ended, or until ctx is
// done.
func (r *Requests) WaitMarked(ctx context.Context) { waitForZero(ctx, &r.marked) }

func waitForZero(ctx context.Context, running *atomic.Int64) {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for running.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
