package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/admission"
	"github.com/lagoonlane/lagoonlane/internal/fleet"
	"github.com/lagoonlane/lagoonlane/internal/rollout"
	"github.com/lagoonlane/lagoonlane/internal/steady"
)

const (
	// maxUnsentAttempts limits the backend servers that can be unreachable, or replaced at their
	// address, for one request.
	maxUnsentAttempts = 4
	// maxRejections limits the retries after rejections by backend servers that did not run the
	// request.
	maxRejections = 2
	// minRetryTime is the minimum time to the deadline for a retry to be useful.
	minRetryTime = 20 * time.Millisecond
	// defaultRetryAfter is the Retry-After if no better estimate is available: the time in which
	// a busy engine usually frees a slot.
	defaultRetryAfter = 300 * time.Millisecond
)

// callProgress is the progress of a call across one or more backend servers.
type callProgress struct {
	relay *relay
	// rolloutSend reports the result of the last send to the service's roll-out, if there is one.
	rolloutSend *rollout.Send
	// tried holds the ids of backend servers that must not be chosen again.
	tried map[string]bool
	// sends counts the requests that left this process; ran counts those that may have run.
	sends, ran int
	// counted is set once the request counts for the retry budget, whether or not a server was reached.
	counted                    bool
	unsentAttempts, rejections int
	mayHaveRun                 bool
	// server is the id of the backend server of the last send.
	server     string
	waited     time.Duration
	firstEvent time.Duration
	// longestPause is the longest time between two events.
	longestPause time.Duration
	status       int
	// lastReply is the last error answer of a backend server.
	lastReply *reply
	// begun is set if the backend server of the last send survived the beginning of its answer.
	begun bool
	// tooManyEvents is set if a stream exceeded the requested number of tokens. The part that
	// the caller has can't be continued by another backend server.
	tooManyEvents bool
	// replacement is the placement in favour of which a stalled send was ended. It has already
	// been charged to the retry budget.
	replacement *placement
	// brokenBy is what ended the last send that may have run. noRetry is why the request wasn't
	// sent to another backend server.
	brokenBy CutCause
	noRetry  string
}

// takeReplacement returns replacement, which may be nil, and clears it.
func (p *callProgress) takeReplacement() *placement {
	placed := p.replacement
	p.replacement = nil
	return placed
}

// verdict is the result class of one send.
type verdict int

const (
	// verdictAnswered: the caller has a complete answer.
	verdictAnswered verdict = iota
	// verdictUnsent: no bytes were sent.
	verdictUnsent
	// verdictRejected: the backend server reports that it hasn't run the request.
	verdictRejected
	// verdictReplaced: the address now belongs to another backend server, which hasn't run the
	// request.
	verdictReplaced
	// verdictFailed: the request may have run, and there is no complete answer.
	verdictFailed
)

func (v verdict) String() string {
	switch v {
	case verdictAnswered:
		return "answered"
	case verdictUnsent:
		return "unsent"
	case verdictRejected:
		return "rejected"
	case verdictReplaced:
		return "replaced"
	}
	return "failed"
}

// run sends a call to backend servers until it is answered. The failure it returns is final.
func (g *Gateway) run(ctx context.Context, call *call, p *callProgress) *Failure {
	p.tried = map[string]bool{}
	defer func() { p.takeReplacement().releaseUnused() }()
	for {
		placed := p.takeReplacement()
		if placed == nil {
			var failure *Failure
			if placed, failure = g.findServer(ctx, call, p); failure != nil {
				p.noRetry = failure.Detail
				return g.finalFailure(ctx, call, p, failure)
			}
		}
		if g.callerProbablyDisconnected(call, p) {
			placed.releaseUnused()
			return g.finalFailure(ctx, call, p, unavailable(KindOverloaded, staleRetryAfter, "placed after the caller's patience was over"))
		}
		if failure := g.checkPrompt(call); failure != nil {
			placed.releaseUnused()
			return g.finalFailure(ctx, call, p, failure)
		}
		if p.ran == 0 {
			if failure := g.checkShutdown(call, 0); failure != nil {
				placed.releaseUnused()
				return g.finalFailure(ctx, call, p, failure)
			}
		}
		outcome, err := g.send(ctx, call, p, placed)
		g.metrics.recordSend(call, outcome)
		if outcome == verdictAnswered {
			return nil
		}
		p.recordFailure(outcome, err)
		g.checkCrash(ctx, call, p, placed.server, outcome)
		g.logger.Info().Str("request_id", call.info.ID).Str("backend_server", placed.server.ID).
			Str("address", placed.server.Address).Int("sends", p.sends).Str("outcome", outcome.String()).Err(err).Func(g.recordBadBytes(call, err)).Msg("send")
		if ctx.Err() != nil || !g.mayRetry(call, p, outcome) {
			p.noRetry = p.noRetryReason(call, outcome)
			return g.finalFailure(ctx, call, p, nil)
		}
	}
}

// mayRetry reports whether a call may be sent to another backend server.
func (g *Gateway) mayRetry(call *call, p *callProgress, last verdict) bool {
	if p.tooManyEvents || steady.Until(call.deadline) < minRetryTime {
		return false
	}
	if p.replacement != nil {
		return true
	}
	switch last {
	case verdictUnsent:
		p.unsentAttempts++
		return p.unsentAttempts < maxUnsentAttempts
	case verdictReplaced:
		p.unsentAttempts++
		return p.unsentAttempts < maxUnsentAttempts && g.retryBudget.take(call.service, steady.Now())
	case verdictRejected:
		p.rejections++
		return p.rejections <= maxRejections && g.retryBudget.take(call.service, steady.Now())
	}
	return call.route.Repeatable() && p.ran < call.route.MaxServers && g.retryBudget.take(call.service, steady.Now())
}

// finalFailure returns the final failure of a call without a complete answer, or nil after it
// has forwarded the error answer of a backend server. placementFailure is why no backend server
// was found for the last attempt, or nil.
func (g *Gateway) finalFailure(ctx context.Context, call *call, p *callProgress, placementFailure *Failure) *Failure {
	switch {
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline):
		return cutFailure(ctx, p.mayHaveRun)
	case ctx.Err() != nil && p.mayHaveRun:
		return &Failure{Kind: KindTimeout, Status: http.StatusGatewayTimeout, Detail: "no whole answer at the deadline", CutBy: CutDeadline}
	case ctx.Err() != nil:
		return unavailable(KindTimeout, defaultRetryAfter, "no slot before the deadline")
	case p.lastReply != nil && p.lastReply.forwardable() && !p.relay.started:
		if err := p.relay.writeReply(p.lastReply); err != nil {
			return &Failure{Kind: KindCallerLeft, Status: http.StatusBadGateway, Detail: "the caller left during its answer", CutBy: CutCallerLeft}
		}
		p.status = p.lastReply.status
		return nil
	case p.brokenBy == CutCallerLeft:
		return &Failure{Kind: KindCallerLeft, Status: http.StatusBadGateway, Detail: "the caller left during its answer", CutBy: CutCallerLeft}
	case p.mayHaveRun:
		return &Failure{Kind: KindFailed, Status: http.StatusBadGateway, Detail: "the backend server gave no whole answer", CutBy: p.brokenBy}
	case placementFailure != nil:
		return placementFailure
	case p.rejections > 0:
		return unavailable(KindRejected, defaultRetryAfter, "the backend servers are full")
	}
	return unavailable(KindNoServer, defaultRetryAfter, "no backend server can be reached")
}

// send sends a call once, to the backend server of its placement.
func (g *Gateway) send(ctx context.Context, call *call, p *callProgress, placed *placement) (verdict, error) {
	if p.ran > 0 {
		g.logger.Info().Str("request_id", call.info.ID).Str("before", p.server).Str("backend_server", placed.server.ID).
			Str("from_event", p.relay.resumeFrom()).Str("broken_by", string(p.brokenBy)).Msg("repeat")
	}
	sent := time.Now()
	g.servers.sendStarted(placed.server.ID)
	p.rolloutSend = g.options.Rollouts.BeginSend(placed.server, call.route.Name)
	p.server = placed.server.ID
	p.tried[placed.server.ID] = true
	result := g.exchange(ctx, call, p, placed)
	p.begun = result.begun
	// A disconnected caller or a passed deadline doesn't count against the backend server,
	// unless it had been silent for long.
	cut := ctx.Err() != nil && (result.firstEvent > 0 || time.Since(sent) < call.silenceLimit())
	outcome := admission.Outcome{
		Unsent:       result.verdict == verdictUnsent,
		Sent:         result.verdict == verdictAnswered || result.verdict == verdictFailed,
		Failed:       result.verdict == verdictFailed && !cut,
		FirstToken:   result.firstEvent,
		OutputTokens: result.events,
	}
	if outcome.Sent {
		p.mayHaveRun = true
		p.ran++
	}
	if p.firstEvent == 0 {
		p.firstEvent = result.firstEvent
	}
	if call.engine != nil && call.route.PrefixAffinity && result.firstEvent > 0 {
		g.servers.memory.RecordRead(placed.server.Incarnation(), call.promptParts(), time.Now())
	}
	if outcome.Sent {
		g.observeWork(call, result, time.Since(sent))
	}
	placed.release(outcome)
	p.rolloutSend.End(rollout.SendResult{
		Unsent: result.verdict == verdictUnsent, Rejected: result.verdict == verdictRejected || result.verdict == verdictReplaced,
		Failed: outcome.Failed && result.firstEvent == 0, Broken: outcome.Failed && result.firstEvent > 0, Cancelled: cut,
		FirstEvent: result.firstEvent, Events: result.events,
	})
	g.servers.sendFinished(placed.server.ID, result, time.Since(sent), cut)
	return result.verdict, result.err
}

// stillUsable reports whether a backend server may currently get requests.
func (g *Gateway) stillUsable(server fleet.Server) bool {
	return g.options.Directory.Usable(server.ID, time.Now()) && !g.options.Rollouts.Blocked(server) && !g.blocked(server)
}
