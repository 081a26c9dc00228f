package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

// classifyFailure converts the error of a failed attempt to a problem. It reports final if the
// call must not be retried at another backend server, and records failures of the backend server
// in the routing table.
func (e *Entry) classifyFailure(ctx context.Context, c *call, s slot, err error) (problem *Problem, final bool) {
	var refused *RefusedError
	if errors.As(err, &refused) {
		if refused.Reason == lanepb.RefusalReason_REFUSAL_REASON_UNHEALTHY {
			e.table.Fail(s.target.BackendServer, time.Now())
		}
		return refusalProblem(refused), false
	}
	if problem := claimProblem(err); problem != nil {
		return problem, true
	}
	if isUnreachable(err) {
		if ctx.Err() != nil {
			return deadlineProblem(ctx, OutcomeNotRun), true
		}
		e.table.Fail(s.target.BackendServer, time.Now())
		return notRunProblem(KindNoBackendServer, http.StatusServiceUnavailable, "the sidecar can't be reached").withRetryAfter(defaultRetryAfter), false
	}
	return e.dispatchedProblem(ctx, c, s, err), true
}

// dispatchedProblem converts the error of a dispatched call, which may have run, to a problem.
func (e *Entry) dispatchedProblem(ctx context.Context, c *call, s slot, err error) *Problem {
	outcome := c.incompleteOutcome()
	if ctx.Err() != nil {
		return deadlineProblem(ctx, outcome)
	}
	var disconnected *CallerWriteError
	if errors.As(err, &disconnected) {
		return &Problem{Kind: KindDeadline, Status: http.StatusGatewayTimeout, Outcome: outcome, Detail: "the caller did not take the answer"}
	}
	if !isHolderError(err) {
		e.table.Fail(s.target.BackendServer, time.Now())
	}
	problem := &Problem{Kind: KindAnswerLost, Status: http.StatusBadGateway, Outcome: outcome, Detail: errors.Cause(err).Error()}
	var fault *FaultError
	var bad *BadAnswerError
	if errors.As(err, &fault) || errors.As(err, &bad) {
		problem.Kind = KindBackendFailed
	}
	if outcome == OutcomeFailed {
		problem.RetryAfter = defaultRetryAfter
	}
	return problem
}

// deadlineProblem returns the problem of a call whose context ended, by its deadline, by the
// caller or with this process.
func deadlineProblem(ctx context.Context, outcome Outcome) *Problem {
	var stopped *StoppedError
	if errors.As(context.Cause(ctx), &stopped) {
		if outcome == OutcomeNotRun {
			return notRunProblem(KindDraining, http.StatusServiceUnavailable, stopped.Error()).withRetryAfter(drainRetryAfter)
		}
		return &Problem{Kind: KindAnswerLost, Status: http.StatusBadGateway, Outcome: outcome, Detail: stopped.Error()}
	}
	detail := "the deadline has passed"
	if errors.Is(ctx.Err(), context.Canceled) {
		detail = "the caller has left"
	}
	return &Problem{Kind: KindDeadline, Status: http.StatusGatewayTimeout, Outcome: outcome, Detail: detail}
}

// refusalProblem converts the refusal of a sidecar to a problem.
func refusalProblem(refused *RefusedError) *Problem {
	retry := refused.RetryAfter
	if retry <= 0 {
		retry = defaultRetryAfter
	}
	switch refused.Reason {
	case lanepb.RefusalReason_REFUSAL_REASON_SHED:
		return notRunProblem(KindShed, http.StatusServiceUnavailable, "higher tiers need the backend servers").withRetryAfter(retry)
	case lanepb.RefusalReason_REFUSAL_REASON_DEADLINE:
		return notRunProblem(KindDeadline, http.StatusGatewayTimeout, "the deadline can't be met").withRetryAfter(retry)
	}
	return notRunProblem(KindNoBackendServer, http.StatusServiceUnavailable, refused.Detail).withRetryAfter(retry)
}
