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
	// maxUnsent bounds the backend servers that could not be reached, or are no longer
	// there, for one request.
	maxUnsent = 4
	// maxRejections bounds the backend servers that rejected one request without running it.
	maxRejections = 2
	// leastRetryTime is the time left below which a further try can't succeed.
	leastRetryTime = 20 * time.Millisecond
	// defaultRetryAfter is told to callers where nothing better is known: the time
	// in which a busy engine usually frees a slot.
	defaultRetryAfter = 300 * time.Millisecond
)

// progress is how far a call has come over one or several backend servers.
type progress struct {
	relay *relay
	// flight tells the roll-out of the service, if there is one, of the last send.
	flight *rollout.Send
	// tried holds the ids of the backend servers that may not be chosen again.
	tried map[string]bool
	// sends counts the requests that left this process, ran those that may have run.
	sends, ran         int
	unsent, rejections int
	mayHaveRun         bool
	// server is the backend server of the last send.
	server     string
	waited     time.Duration
	firstEvent time.Duration
	// longestPause is the longest time between two events.
	longestPause time.Duration
	status       int
	// reply is the last failure that a backend server answered with.
	reply *reply
	// overrun is set when a stream went on past what was asked: what the caller has of it
	// can't be completed by anyone.
	overrun bool
	// next is the place that the last send was given up for. It is paid for from the
	// retry budget already.
	next *placement
	// broken is what ended the last send that may have run, noRetry why the request went
	// to no further backend server.
	broken  Cut
	noRetry string
}

// takeNext returns the place that the last send was given up for, or nil.
func (p *progress) takeNext() *placement {
	at := p.next
	p.next = nil
	return at
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
func (g *Gateway) run(ctx context.Context, one *call, p *progress) *Failure {
	p.tried = map[string]bool{}
	defer func() { p.takeNext().giveBack() }()
	for {
		place := p.takeNext()
		if place == nil {
			var failure *Failure
			if place, failure = g.place(ctx, one, p); failure != nil {
				p.noRetry = failure.Detail
				return g.final(ctx, one, p, failure)
			}
		}
		if g.probablyLeft(one, p) {
			place.release(admission.Outcome{})
			return g.final(ctx, one, p, unavailable(KindOverloaded, staleRetryAfter, "placed after the caller's patience was over"))
		}
		if p.ran == 0 {
			if failure := g.mayFinish(one, 0); failure != nil {
				place.giveBack()
				return g.final(ctx, one, p, failure)
			}
		}
		outcome, err := g.send(ctx, one, p, place)
		g.metrics.sent(one, outcome)
		if outcome == verdictAnswered {
			return nil
		}
		p.sendFailed(outcome, err)
		g.logger.Info().Str("request_id", one.info.ID).Str("backend_server", place.server.ID).
			Str("address", place.server.Address).Int("sends", p.sends).Str("outcome", outcome.String()).Err(err).Func(g.describeBad(one, err)).Msg("send")
		if ctx.Err() != nil || !g.mayTryAgain(one, p, outcome) {
			p.noRetry = p.whyNoRetry(one, outcome)
			return g.final(ctx, one, p, nil)
		}
	}
}

// mayTryAgain reports whether a call may go to another backend server.
func (g *Gateway) mayTryAgain(one *call, p *progress, last verdict) bool {
	if p.overrun || steady.Until(one.deadline) < leastRetryTime {
		return false
	}
	if p.next != nil {
		return true
	}
	switch last {
	case verdictUnsent:
		p.unsent++
		return p.unsent < maxUnsent
	case verdictReplaced:
		p.unsent++
		return p.unsent < maxUnsent && g.retries.take(one.service, g.options.Entries(), steady.Now())
	case verdictRejected:
		p.rejections++
		return p.rejections <= maxRejections && g.retries.take(one.service, g.options.Entries(), steady.Now())
	}
	return one.route.Repeatable() && p.ran < one.route.MaxServers && g.retries.take(one.service, g.options.Entries(), steady.Now())
}

// final returns the last word on a call that has no whole answer. Refused is why it
// could not be placed (again), or nil.
func (g *Gateway) final(ctx context.Context, one *call, p *progress, refused *Failure) *Failure {
	switch {
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline):
		return cutOff(ctx, p.mayHaveRun)
	case ctx.Err() != nil && p.mayHaveRun:
		return &Failure{Kind: KindTimeout, Status: http.StatusGatewayTimeout, Detail: "no whole answer at the deadline", Cut: CutDeadline}
	case ctx.Err() != nil:
		return unavailable(KindTimeout, defaultRetryAfter, "no slot before the deadline")
	case p.reply != nil && p.reply.passable() && !p.relay.started:
		if err := p.relay.whole(p.reply); err != nil {
			return &Failure{Kind: KindCallerLeft, Status: http.StatusBadGateway, Detail: "the caller left during its answer", Cut: CutCallerLeft}
		}
		p.status = p.reply.status
		return nil
	case p.broken == CutCallerLeft:
		return &Failure{Kind: KindCallerLeft, Status: http.StatusBadGateway, Detail: "the caller left during its answer", Cut: CutCallerLeft}
	case p.mayHaveRun:
		return &Failure{Kind: KindFailed, Status: http.StatusBadGateway, Detail: "the backend server gave no whole answer", Cut: p.broken}
	case refused != nil:
		return refused
	case p.rejections > 0:
		return unavailable(KindRejected, defaultRetryAfter, "the backend servers are full")
	}
	return unavailable(KindNoServer, defaultRetryAfter, "no backend server can be reached")
}

// send sends a call to the backend server that it was placed at, once.
func (g *Gateway) send(ctx context.Context, one *call, p *progress, at *placement) (verdict, error) {
	if p.ran > 0 {
		g.logger.Info().Str("request_id", one.info.ID).Str("before", p.server).Str("backend_server", at.server.ID).
			Str("from_event", p.relay.resumeFrom()).Str("broken_by", string(p.broken)).Msg("repeat")
	}
	sent := time.Now()
	g.servers.begin(at.server.ID)
	p.flight = g.options.Rollouts.BeginSend(at.server, one.route.Name)
	p.server = at.server.ID
	p.tried[at.server.ID] = true
	result := g.exchange(ctx, one, p, at)
	// A caller that leaves, or a deadline, says nothing of the backend server unless that
	// was silent for long.
	cut := ctx.Err() != nil && (result.firstEvent > 0 || time.Since(sent) < one.silenceLimit())
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
	at.release(outcome)
	p.flight.End(rollout.SendResult{
		Unsent: result.verdict == verdictUnsent, Rejected: result.verdict == verdictRejected || result.verdict == verdictReplaced,
		Failed: outcome.Failed && result.firstEvent == 0, Broken: outcome.Failed && result.firstEvent > 0, Cancelled: cut,
		FirstEvent: result.firstEvent, Events: result.events,
	})
	g.servers.finished(at.server.ID, result, time.Since(sent), cut)
	return result.verdict, result.err
}

// stillUsable reports whether a backend server may get a request now.
func (g *Gateway) stillUsable(server fleet.Server) bool {
	return g.options.Directory.Usable(server.ID, time.Now()) && !g.options.Rollouts.Blocked(server)
}
