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
	// CutStopped: this process ended its grace time while the request ran.
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

// crashed writes the line of a call that has none as its handling panics. The panic
// itself goes to the log of the server.
func (g *Gateway) crashed(one *call) {
	if one.concluded {
		return
	}
	failure := &Failure{Kind: KindFailed, Status: http.StatusBadGateway, Detail: "the handler panicked", Cut: CutCrashed}
	took := steady.Since(one.arrived)
	g.metrics.concluded(one, &progress{}, failure, took)
	g.log(one, &progress{}, failure, took)
}

// cutOff returns the failure of a request whose connection to the caller is ended. Who
// did that is the cause of ctx.
func cutOff(ctx context.Context) *Failure {
	var stopped *transport.StoppedError
	var idle *transport.ClosedIdleError
	switch cause := context.Cause(ctx); {
	case errors.As(cause, &stopped):
		return &Failure{Kind: KindStopped, Status: http.StatusBadGateway, Detail: "this process ended its grace time", Cut: CutStopped}
	case errors.As(cause, &idle):
		return &Failure{Kind: KindStopped, Status: http.StatusBadGateway, Detail: "this process closed the connection", Cut: CutClosedIdle}
	}
	return &Failure{Kind: KindCallerLeft, Status: http.StatusBadGateway, Detail: "the caller left", Cut: CutCallerLeft}
}

// sendFailed notes what ended a send that may have run.
func (p *progress) sendFailed(outcome verdict, err error) {
	if outcome != verdictFailed {
		return
	}
	var caller *CallerError
	var answer *AnswerError
	var stray *upstream.StrayError
	bad, _, _ := badBytes(err)
	switch {
	case errors.As(err, &caller):
		p.broken = CutCallerLeft
	case p.next != nil:
		p.broken = CutStalled
	case bad == badMemory:
		p.broken = CutMemory
	case bad != "", errors.As(err, &answer), errors.As(err, &stray):
		p.broken = CutBadAnswer
	default:
		p.broken = CutBackendServer
	}
}

// whyNoRetry says why a call goes to no further backend server after a send.
func (p *progress) whyNoRetry(one *call, last verdict) string {
	switch {
	case steady.Until(one.deadline) < leastRetryTime:
		return "no time left"
	case p.overrun:
		return "the answer has more events than it may have"
	case last == verdictFailed && !one.route.Repeatable():
		return "the request may run once only"
	case last == verdictFailed && p.ran >= one.route.MaxServers:
		return "it ran at as many backend servers as the route allows"
	case p.rejections > maxRejections || p.unsent >= maxUnsent:
		return "too many backend servers did not take it"
	}
	return "the retry budget is used up"
}

// started reports whether the caller has part of an answer.
func (p *progress) started() bool { return p.relay != nil && p.relay.started }

const (
	// maxNamedCuts bounds the requests that are named when a process stops; each has a
	// line of its own besides.
	maxNamedCuts = 20
	// settleInterval is the time between two looks at the requests that still run.
	settleInterval = 5 * time.Millisecond
)

// Requests counts the requests that run at a process, and those that it cut. The zero
// value is ready to use. It is safe for concurrent use.
type Requests struct {
	running atomic.Int64

	mu sync.Mutex
	// cut counts the requests that this process ended itself, named holds the ids of the
	// first of them.
	cut   int
	named []string
}

func (r *Requests) begin() { r.running.Add(1) }

func (r *Requests) end() { r.running.Add(-1) }

// Running returns the number of requests that wait or run.
func (r *Requests) Running() int64 { return r.running.Load() }

func (r *Requests) cutOff(id string, cut Cut) {
	if cut != CutStopped && cut != CutClosedIdle {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut++
	if len(r.named) < maxNamedCuts {
		r.named = append(r.named, id)
	}
}

// Cut returns how many requests this process has cut as it stops, and the ids of the
// first of them.
func (r *Requests) Cut() (int, []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut, append([]string(nil), r.named...)
}

// Settle waits until no request runs, so that each has its line, and at most until ctx
// is done.
func (r *Requests) Settle(ctx context.Context) {
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for r.Running() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
