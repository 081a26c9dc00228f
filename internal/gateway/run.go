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
	// maxUnsentAttempts bounds the backend servers that could not be reached, or are no longer
	// there, for one request.
	maxUnsentAttempts = 4
	// maxRejections bounds the backend servers that rejected one request without running it.
	maxRejections = 2
	// minRetryTime is the time left below which a further try can't succeed.
	minRetryTime = 20 * time.Millisecond
	// defaultRetryAfter is told to callers where nothing better is known: the time
	// in which a busy engine usually frees a slot.
	defaultRetryAfter = 300 * time.Millisecond
)

// callProgress is how far a call has come over one or several backend servers.
type callProgress struct {
	relay *relay
	// flight tells the roll-out of the service, if there is one, of the last send.
	flight *rollout.Flight
	// tried holds the ids of the backend servers that may not be chosen again.
	tried map[string]bool
	// sends counts the requests that left this process, ran those that may have run.
	sends, ran                 int
	unsentAttempts, rejections int
	mayHaveRun                 bool
	// server is the backend server of the last send.
	server     string
	waited     time.Duration
	firstEvent time.Duration
	// longestPause is the longest time between two events.
	longestPause time.Duration
	status       int
	// lastReply is the last failure that a backend server answered with.
	lastReply *reply
	// tooManyEvents is set when a stream went on past what was asked: what the caller has of it
	// can't be completed by anyone.
	tooManyEvents bool
	// replacement is the place that the last send was given up for. It is paid for from the
	// retry budget already.
	replacement *placement
	// brokenBy is what ended the last send that may have run, noRetry why the request went
	// to no further backend server.
	brokenBy Cut
	noRetry  string
}

// takeReplacement returns the place that the last send was given up for, or nil.
func (p *callProgress) takeReplacement() *placement {
	placed := p.replacement
	p.replacement = nil
	return placed
}

// verdict says what became of one send.
type verdict int

const (
	// verdictAnswered: the caller has a whole answer.
	verdictAnswered verdict = iota
	// verdictUnsent: no byte left this process.
	verdictUnsent
	// verdictRejected: the backend server says that it hasn't run the request.
	verdictRejected
	// verdictReplaced: another backend server has the address; it hasn't run the request.
	verdictReplaced
	// verdictFailed: the request may have run, and there is no whole answer.
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

// run answers a call. Every failure it returns is final.
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
			placed.release(admission.Outcome{})
			return g.finalFailure(ctx, call, p, unavailable(KindOverloaded, staleRetryAfter, "placed after the caller's patience was over"))
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
		g.logger.Info().Str("request_id", call.info.ID).Str("backend_server", placed.server.ID).
			Str("address", placed.server.Address).Int("sends", p.sends).Str("outcome", outcome.String()).Err(err).Func(g.recordBadBytes(call, err)).Msg("send")
		if ctx.Err() != nil || !g.mayRetry(call, p, outcome) {
			p.noRetry = p.noRetryReason(call, outcome)
			return g.finalFailure(ctx, call, p, nil)
		}
	}
}

// mayRetry reports whether a call may go to another backend server.
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
		return p.unsentAttempts < maxUnsentAttempts && g.retryBudget.take(call.service, g.options.Entries(), steady.Now())
	case verdictRejected:
		p.rejections++
		return p.rejections <= maxRejections && g.retryBudget.take(call.service, g.options.Entries(), steady.Now())
	}
	return call.route.Repeatable() && p.ran < call.route.MaxServers && g.retryBudget.take(call.service, g.options.Entries(), steady.Now())
}

// finalFailure returns the last word on a call that has no whole answer. Refused is why it
// could not be placed (again), or nil.
func (g *Gateway) finalFailure(ctx context.Context, call *call, p *callProgress, placementFailure *Failure) *Failure {
	switch {
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline):
		return cutFailure(ctx, p.mayHaveRun)
	case ctx.Err() != nil && p.mayHaveRun:
		return &Failure{Kind: KindTimeout, Status: http.StatusGatewayTimeout, Detail: "no whole answer at the deadline", Cut: CutDeadline}
	case ctx.Err() != nil:
		return unavailable(KindTimeout, defaultRetryAfter, "no slot before the deadline")
	case p.lastReply != nil && p.lastReply.forwardable() && !p.relay.started:
		if err := p.relay.writeReply(p.lastReply); err != nil {
			return &Failure{Kind: KindCallerLeft, Status: http.StatusBadGateway, Detail: "the caller left during its answer", Cut: CutCallerLeft}
		}
		p.status = p.lastReply.status
		return nil
	case p.brokenBy == CutCallerLeft:
		return &Failure{Kind: KindCallerLeft, Status: http.StatusBadGateway, Detail: "the caller left during its answer", Cut: CutCallerLeft}
	case p.mayHaveRun:
		return &Failure{Kind: KindFailed, Status: http.StatusBadGateway, Detail: "the backend server gave no whole answer", Cut: p.brokenBy}
	case placementFailure != nil:
		return placementFailure
	case p.rejections > 0:
		return unavailable(KindRejected, defaultRetryAfter, "the backend servers are full")
	}
	return unavailable(KindNoServer, defaultRetryAfter, "no backend server can be reached")
}

// send sends a call to the backend server that it was placed at, once.
func (g *Gateway) send(ctx context.Context, call *call, p *callProgress, placed *placement) (verdict, error) {
	if p.ran > 0 {
		g.logger.Info().Str("request_id", call.info.ID).Str("before", p.server).Str("backend_server", placed.server.ID).
			Str("from_event", p.relay.resumeFrom()).Str("broken_by", string(p.brokenBy)).Msg("repeat")
	}
	sent := time.Now()
	g.serverStats.sendStarted(placed.server.ID)
	p.flight = g.options.Rollouts.Begin(placed.server, call.route.Name)
	p.server = placed.server.ID
	p.tried[placed.server.ID] = true
	result := g.exchange(ctx, call, p, placed)
	// A caller that leaves, or a deadline, says nothing of the backend server unless that
	// was silent for long.
	cut := ctx.Err() != nil && (result.firstEvent > 0 || time.Since(sent) < call.silenceLimit())
	outcome := admission.Outcome{
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
	placed.release(outcome)
	p.flight.End(rollout.Landing{
		Unsent: result.verdict == verdictUnsent, Rejected: result.verdict == verdictRejected || result.verdict == verdictReplaced,
		Failed: outcome.Failed && result.firstEvent == 0, Broken: outcome.Failed && result.firstEvent > 0, Cut: cut,
		FirstEvent: result.firstEvent, Events: result.events,
	})
	g.serverStats.sendFinished(placed.server.ID, result, time.Since(sent), cut)
	return result.verdict, result.err
}

// stillUsable reports whether a backend server may get a request now.
func (g *Gateway) stillUsable(server fleet.Server) bool {
	return g.options.Directory.Usable(server.ID, time.Now()) && !g.options.Rollouts.Stopped(server)
}
