package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/routing"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// maxAttempts bounds the sidecars that one request is tried at.
	maxAttempts = 4
	// maxDeadlineRetries bounds the sidecars that are asked after one has said that the
	// deadline can't be met.
	maxDeadlineRetries = 1
	// defaultRetryAfter is told to callers where the sidecars name no time.
	defaultRetryAfter = time.Second
)

// attempts is the progress of one call over several sidecars.
type attempts struct {
	version  string
	tried    map[string]bool
	failures int
	// claimDispatchID is the dispatch id of this call's last claim; empty: none.
	claimDispatchID string
	// shed is true once a sidecar has shed the call.
	shed bool
	// deadlineRefusals counts the refusals because the deadline can't be met.
	deadlineRefusals int
	// lastProblem is the problem of the last attempt: the final one if there is no other.
	lastProblem *Problem
}

// run answers a call. Every problem it returns is final. It may go to several
// sidecars, but only while no backend server can have seen the request.
func (e *Entry) run(ctx context.Context, one *call, r *relay) *Problem {
	defer r.clearWriteDeadline()
	if problem := e.checkFloor(one); problem != nil {
		return problem
	}
	version, err := e.versions.Pick(one.state, one.route, e.containmentFilter())
	if err != nil {
		return noServerProblem(err)
	}
	a := &attempts{version: version, tried: map[string]bool{}}
	for {
		s, problem := e.chooseSlot(one, a)
		if problem != nil {
			return problem
		}
		err := e.claimAndAttempt(ctx, one, a, s, r)
		e.metrics.recordAttempt(one, attemptResult(err))
		if err == nil {
			e.retries.Succeeded()
			return nil
		}
		problem, final := e.classifyFailure(ctx, one, s, err)
		if final || r.started() {
			return problem
		}
		a.lastProblem = problem
		if !isHolderError(err) {
			a.tried[s.target.BackendServer] = true
		}
		a.shed = a.shed || problem.Kind == KindShed
		if !e.prepareRetry(ctx, a, problem) {
			return problem
		}
	}
}

func (e *Entry) containmentFilter() routing.Contained {
	if e.options.Containment == nil {
		return nil
	}
	return e.options.Containment.Contained
}

func noServerProblem(err error) *Problem {
	return notRunProblem(KindUnavailable, http.StatusServiceUnavailable, errors.Cause(err).Error()).withRetryAfter(defaultRetryAfter)
}

// chooseSlot picks the next backend server. A version that no backend server
// can serve gives way to a proven one.
func (e *Entry) chooseSlot(one *call, a *attempts) (slot, *Problem) {
	id := newDispatchID()
	if a.shed || a.deadlineRefusals > 0 {
		target, err := e.table.ChooseBeforeRefusal(one.routingRequest(id, a), time.Now())
		if err != nil && a.shed {
			e.announceFloor(one)
		}
		if err != nil {
			return slot{}, a.lastProblem
		}
		return slot{target: target, dispatchID: id}, nil
	}
	target, err := e.table.Choose(one.routingRequest(id, a), time.Now())
	if err != nil {
		version, fallback := e.versions.Fallback(one.state, one.route, a.version, e.containmentFilter())
		if fallback == nil && version != a.version {
			a.version = version
			target, err = e.table.Choose(one.routingRequest(id, a), time.Now())
		}
	}
	if err != nil && a.lastProblem != nil {
		return slot{}, a.lastProblem
	}
	if err != nil {
		return slot{}, noServerProblem(err)
	}
	return slot{target: target, dispatchID: id}, nil
}

func (c *call) routingRequest(id string, a *attempts) routing.Request {
	return routing.Request{
		ID:           id,
		Pool:         c.route.GetPool(),
		Version:      a.version,
		Rank:         c.tier.GetRank(),
		PromptTokens: c.promptTokens,
		OutputTokens: c.outputTokens,
		Prefixes:     c.prefixes(a.version),
		Budget:       time.Until(c.deadline),
		KeepPrefix:   !a.shed,
		Exclude:      a.tried,
	}
}

// claimAndAttempt makes one attempt, after a claim where the call needs one.
func (e *Entry) claimAndAttempt(ctx context.Context, one *call, a *attempts, s slot, r *relay) error {
	if !one.needsClaim() {
		return e.attempt(ctx, one, a.version, s, r)
	}
	claimed, held, err := e.claim(ctx, one, a, s)
	if err != nil {
		e.table.Settle(s.target.BackendServer, s.dispatchID)
		return err
	}
	if held != nil {
		e.table.Settle(s.target.BackendServer, s.dispatchID)
		return e.relayHolderAnswer(ctx, one, a, held, r)
	}
	err = e.attempt(ctx, one, a.version, claimed, r)
	if err != nil && isNotRun(err) {
		e.release(claimed)
	}
	return err
}

// attempt reserves a slot, dispatches the body once, and relays the answer.
func (e *Entry) attempt(ctx context.Context, one *call, version string, s slot, r *relay) error {
	s, err := e.reserve(ctx, one, version, s)
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		e.release(s)
		return errors.WithStack(&UnreachableError{Cause: ctx.Err()})
	}
	if !e.inService(one.route, version) {
		e.release(s)
		return errors.WithStack(&RefusedError{Reason: lanepb.RefusalReason_REFUSAL_REASON_VERSION, Detail: "the version was taken out of service"})
	}
	observer := e.newDispatchObserver(one, version)
	stream := e.openAnswer(ctx, one, s)
	defer stream.close()
	err = e.relayFrames(ctx, stream, r, observer)
	if err == nil {
		e.table.Succeed(s.target.BackendServer)
	}
	observer.end(ctx, one, r, err)
	if err != nil && one.forEngine() && !isNotRun(err) {
		e.cancel(s)
	}
	return err
}

// inService reports whether a version may still get the requests of a route.
func (e *Entry) inService(route *configpb.Route, version string) bool {
	if version == "" {
		return true
	}
	if contained := e.containmentFilter(); contained != nil && contained(route.GetPool(), version, route.GetName()) {
		return false
	}
	held := e.options.Config.Current().GetVersions()[route.GetPool()+"/"+version]
	return held.GetState() != configpb.VersionState_VERSION_STATE_CONTAINED
}

// relayFrames passes an answer on until its end.
func (e *Entry) relayFrames(ctx context.Context, stream *answerStream, r *relay, observer *dispatchObserver) error {
	for {
		one, err := stream.read(ctx)
		if err != nil {
			return err
		}
		switch part := one.GetPart().(type) {
		case *lanepb.Frame_Head:
			err = r.setHead(part.Head)
		case *lanepb.Frame_Chunk:
			err = r.addChunk(part.Chunk, stream.buffered())
			observer.progress(r)
		case *lanepb.Frame_End:
			e.observe(part.End.GetLoad())
			return r.finish(part.End, stream.nextSequence)
		}
		if err != nil {
			return err
		}
	}
}

// isNotRun reports whether an attempt certainly reached no backend server.
func isNotRun(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) || isUnreachable(err)
}

// prepareRetry prepares another attempt after one that did not run. It reports
// false when the call has to be given up. A call that was refused for want of
// capacity goes on at once, without the retry budget: the backend servers that hold
// lower tiers bound its attempts, and maxDeadlineRetries.
func (e *Entry) prepareRetry(ctx context.Context, a *attempts, last *Problem) bool {
	if ctx.Err() != nil {
		return false
	}
	if last.Kind == KindDeadline {
		a.deadlineRefusals++
	}
	if a.shed && (last.Kind == KindShed || last.Kind == KindDeadline) {
		return true
	}
	if last.Kind == KindDeadline {
		return a.deadlineRefusals <= maxDeadlineRetries
	}
	a.failures++
	if a.failures >= maxAttempts {
		return false
	}
	allowed := e.retries.Take()
	e.metrics.recordRetry(allowed)
	if !allowed {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(routing.RetryDelay(a.failures - 1)):
		return true
	}
}
