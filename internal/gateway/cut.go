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

// Cut names what ended a request that was accepted and has no whole answer.
type Cut string

// What ends requests.
const (
	// CutCallerLeft: the caller closed its connection, or it can't be written to.
	CutCallerLeft Cut = "caller-left"
	// CutStopped: this process ended its grace time while the request ran, or may have run.
	CutStopped Cut = "stopped"
	// CutClosedIdle: this process closed the caller's connection as idle while the request
	// was being read.
	CutClosedIdle Cut = "closed-idle"
	// CutStalled: this process gave the backend server up as it was silent, and the next
	// one didn't take the request.
	CutStalled Cut = "stalled"
	// CutBackendServer: the connection to the backend server broke off.
	CutBackendServer Cut = "backend-server"
	// CutBadAnswer: the backend server gave an answer that can't be passed on.
	CutBadAnswer Cut = "bad-answer"
	// CutMemory: this process had no memory left for the answer.
	CutMemory Cut = "memory"
	// CutDeadline: there was no whole answer at the deadline.
	CutDeadline Cut = "deadline"
	// CutCrashed: handling the request panicked in this process.
	CutCrashed Cut = "crashed"
)

// logCrash writes the line of a call that has none as its handling panics. The panic
// itself goes to the log of the server.
func (g *Gateway) logCrash(call *call) {
	if call.finished {
		return
	}
	failure := &Failure{Kind: KindFailed, Status: http.StatusBadGateway, Detail: "the handler panicked", Cut: CutCrashed}
	elapsed := steady.Since(call.arrived)
	g.metrics.recordRequest(call, &callProgress{}, failure, elapsed)
	g.logRequest(call, &callProgress{}, failure, elapsed)
}

// cutFailure returns the failure of a request that ends before its deadline. Who did that is
// the cause of ctx. mayHaveRun says whether a backend server may have begun with it.
func cutFailure(ctx context.Context, mayHaveRun bool) *Failure {
	var stopped *transport.StoppedError
	var idle *transport.ClosedIdleError
	switch cause := context.Cause(ctx); {
	case errors.As(cause, &stopped) && !mayHaveRun:
		return unavailable(KindStopped, staleRetryAfter, "this process ended its grace time before the request was sent")
	case errors.As(cause, &stopped):
		return &Failure{Kind: KindStopped, Status: http.StatusBadGateway, Detail: "this process ended its grace time", Cut: CutStopped}
	case errors.As(cause, &idle):
		return &Failure{Kind: KindStopped, Status: http.StatusBadGateway, Detail: "this process closed the connection", Cut: CutClosedIdle}
	}
	return &Failure{Kind: KindCallerLeft, Status: http.StatusBadGateway, Detail: "the caller left", Cut: CutCallerLeft}
}

// recordFailure notes what ended a send that may have run.
func (p *callProgress) recordFailure(outcome verdict, err error) {
	if outcome != verdictFailed {
		return
	}
	var caller *CallerError
	var answer *AnswerError
	var stray *upstream.StrayError
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

// noRetryReason says why a call goes to no further backend server after a send.
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

// started reports whether the caller has part of an answer.
func (p *callProgress) started() bool { return p.relay != nil && p.relay.started }

const (
	// maxListedCuts bounds the requests that are named when a process stops; each has a
	// line of its own besides.
	maxListedCuts = 20
	// idlePollInterval is the time between two looks at the requests that still run.
	idlePollInterval = 5 * time.Millisecond
)

// Requests counts the requests that run at a process, and those that it cut. The zero
// value is ready to use. It is safe for concurrent use.
type Requests struct {
	running atomic.Int64
	// marked counts those that run and began before Split, if that was called.
	marked  atomic.Int64
	markSet atomic.Bool

	mu sync.Mutex
	// cutCount counts the requests that this process ended itself, named holds the ids of the
	// first of them.
	cutCount int
	cutIDs   []string
}

// begin counts a request in. What it returns counts it out.
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

// Split sets the requests that run apart from those that begin later.
func (r *Requests) Split() { r.markSet.Store(true) }

// Running returns the number of requests that wait or run.
func (r *Requests) Running() int64 { return r.running.Load() }

func (r *Requests) recordCut(id string, cut Cut) {
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

// Cut returns how many requests this process has cut as it stops, and the ids of the
// first of them.
func (r *Requests) Cut() (int, []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cutCount, append([]string(nil), r.cutIDs...)
}

// Settle waits until no request runs, so that each has its line, and at most until ctx
// is done.
func (r *Requests) Settle(ctx context.Context) { waitForZero(ctx, &r.running) }

// SettleEarly is Settle for the requests that began before Split.
func (r *Requests) SettleEarly(ctx context.Context) { waitForZero(ctx, &r.marked) }

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
