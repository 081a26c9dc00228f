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
	// maxAttempts bounds the attempts of one request that fail for reasons other than capacity.
	maxAttempts = 4
	// maxDeadlineRetries bounds the further sidecars that are tried after one has refused because
	// the deadline can't be met.
	maxDeadlineRetries = 1
	// defaultRetryAfter is the Retry-After sent to callers if the sidecar suggests none.
	defaultRetryAfter = time.Second
)

// attempts is the state of one call over its attempts at several sidecars.
type attempts struct {
	version      string
	triedServers map[string]bool
	failures     int
	// claimDispatchID is the dispatch id of the last claim in force for this call's key, or empty.
	claimDispatchID string
	// shed is set once a sidecar has shed the call.
	shed bool
	// deadlineRefusals counts the refusals because the deadline can't be met.
	deadlineRefusals int
	// lastProblem is the problem of the last attempt. It becomes the answer if no further attempt
	// is possible.
	lastProblem *Problem
}

// run executes a call and returns nil or its final problem. It may try several sidecars, but only
// while no backend server can have received the request.
func (e *Entry) run(ctx context.Context, c *call, r *relay) *Problem {
	defer r.clearWriteDeadline()
	if problem := e.checkFloor(c); problem != nil {
		return problem
	}
	version, err := e.versions.Pick(c.state, c.route, e.containmentFilter())
	if err != nil {
		return noServerProblem(err)
	}
	a := &attempts{version: version, triedServers: map[string]bool{}}
	for {
		if problem := e.checkPrompt(c); problem != nil {
			return problem
		}
		s, problem := e.chooseSlot(c, a)
		if problem != nil {
			return problem
		}
		err := e.claimAndAttempt(ctx, c, a, s, r)
		e.metrics.recordAttempt(c, attemptResult(err))
		e.observePrompt(ctx, c, s, r, err)
		if err == nil {
			e.retries.Succeeded()
			return nil
		}
		problem, final := e.classifyFailure(ctx, c, s, err)
		if final || r.started() {
			return problem
		}
		a.lastProblem = problem
		if !isHolderError(err) {
			a.triedServers[s.target.BackendServer] = true
		}
		a.shed = a.shed || problem.Kind == KindShed
		if !e.prepareRetry(ctx, a, problem) {
			return problem
		}
	}
}

// containmentFilter returns the function that reports contained versions, or nil.
func (e *Entry) containmentFilter() routing.ContainedFunc {
	if e.options.Containment == nil {
		return nil
	}
	return e.options.Containment.Contained
}

// noServerProblem returns the problem of a call for which no version or backend server could be
// chosen.
func noServerProblem(err error) *Problem {
	return notRunProblem(KindNoBackendServer, http.StatusServiceUnavailable, errors.Cause(err).Error()).withRetryAfter(defaultRetryAfter)
}

// chooseSlot selects the next backend server and a new dispatch id. If no backend server can serve
// the chosen version, it falls back to a proven version. After a refusal for lack of capacity it
// selects only backend servers that may still accept the rank of the call.
func (e *Entry) chooseSlot(c *call, a *attempts) (slot, *Problem) {
	id := newDispatchID()
	if a.shed || a.deadlineRefusals > 0 {
		target, err := e.table.ChooseAfterRejection(c.routingRequest(id, a), time.Now())
		if err != nil && a.shed {
			e.announceFloor(c)
		}
		if err != nil {
			return slot{}, a.lastProblem
		}
		return slot{target: target, dispatchID: id}, nil
	}
	target, err := e.table.Choose(c.routingRequest(id, a), time.Now())
	if err != nil {
		version, fallbackErr := e.versions.Fallback(c.state, c.route, a.version, e.containmentFilter())
		if fallbackErr == nil && version != a.version {
			a.version = version
			target, err = e.table.Choose(c.routingRequest(id, a), time.Now())
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

// routingRequest returns the input for the choice of a backend server.
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
		Exclude:      a.triedServers,
	}
}

// claimAndAttempt makes one attempt, after claiming the idempotency key if the call needs a claim.
// If another attempt holds the key, it relays the answer of that attempt.
func (e *Entry) claimAndAttempt(ctx context.Context, c *call, a *attempts, s slot, r *relay) error {
	if !c.needsClaim() {
		return e.attempt(ctx, c, a.version, s, r)
	}
	claimedSlot, holder, err := e.claim(ctx, c, a, s)
	if err != nil {
		e.table.Acknowledge(s.target.BackendServer, s.dispatchID)
		return err
	}
	if holder != nil {
		e.table.Acknowledge(s.target.BackendServer, s.dispatchID)
		return e.relayHolderAnswer(ctx, c, a, holder, r)
	}
	err = e.attempt(ctx, c, a.version, claimedSlot, r)
	if err != nil && isNotRun(err) {
		e.release(claimedSlot)
	}
	return err
}

// attempt reserves a slot, dispatches the body once and relays the answer.
func (e *Entry) attempt(ctx context.Context, c *call, version string, s slot, r *relay) error {
	s, err := e.reserve(ctx, c, version, s)
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		e.release(s)
		return errors.WithStack(&UnreachableError{Cause: ctx.Err()})
	}
	if !e.inService(c.route, version) {
		e.release(s)
		return errors.WithStack(&RefusedError{Reason: lanepb.RefusalReason_REFUSAL_REASON_VERSION, Detail: "the version was taken out of service"})
	}
	observer := e.newDispatchObserver(c, version)
	stream := e.openAnswer(ctx, c, s)
	defer stream.close()
	err = e.relayFrames(ctx, stream, r, observer)
	if err == nil {
		e.table.Succeed(s.target.BackendServer)
	}
	observer.finish(ctx, c, r, err)
	if err != nil && c.forEngine() && !isNotRun(err) {
		e.cancel(s)
	}
	return err
}

// inService reports whether a version may still receive requests of a route.
func (e *Entry) inService(route *configpb.Route, version string) bool {
	if version == "" {
		return true
	}
	if contained := e.containmentFilter(); contained != nil && contained(route.GetPool(), version, route.GetName()) {
		return false
	}
	current := e.options.Config.Current().GetVersions()[route.GetPool()+"/"+version]
	return current.GetState() != configpb.VersionState_VERSION_STATE_CONTAINED
}

// relayFrames forwards the frames of an answer to r until the end frame.
func (e *Entry) relayFrames(ctx context.Context, stream *answerStream, r *relay, observer *dispatchObserver) error {
	for {
		received, err := stream.read(ctx)
		if err != nil {
			return err
		}
		switch part := received.GetPart().(type) {
		case *lanepb.Frame_Head:
			err = r.setHead(part.Head)
		case *lanepb.Frame_Chunk:
			err = r.addChunk(part.Chunk, stream.buffered())
			observer.observeChunk(r)
		case *lanepb.Frame_End:
			e.observe(part.End.GetLoad())
			return r.finish(part.End, stream.nextSequence)
		}
		if err != nil {
			return err
		}
	}
}

// isNotRun reports whether an attempt is certain not to have reached a backend server.
func isNotRun(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) || isUnreachable(err)
}

// prepareRetry decides whether the call is retried after an attempt that did not run, and waits
// for the retry delay. A call that was refused for lack of capacity is retried immediately and
// without using the retry budget; its attempts are bounded by the number of backend servers that
// queue lower tiers and by maxDeadlineRetries.
func (e *Entry) prepareRetry(ctx context.Context, a *attempts, problem *Problem) bool {
	if ctx.Err() != nil {
		return false
	}
	if problem.Kind == KindDeadline {
		a.deadlineRefusals++
	}
	if a.shed && (problem.Kind == KindShed || problem.Kind == KindDeadline) {
		return true
	}
	if problem.Kind == KindDeadline {
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
