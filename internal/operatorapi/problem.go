package operatorapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonlane/lagoonlane/internal/logstream"
)

// Outcomes of a failed operator request.
const (
	// OutcomeNotRun means that the request changed nothing and will change nothing.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that the request may have taken effect. Repeating it with the same
	// operation id returns the actual result.
	OutcomeUnknown = "unknown"
)

const (
	problemContentType = "application/problem+json"
	problemTypePrefix  = "urn:lagoonlane:problem:"
	// retryAfterSeconds is the Retry-After of responses that report an unavailable log or service
	// (503) or an unknown result (504).
	retryAfterSeconds = 2
)

// Winner describes the earlier change that a request conflicts with.
type Winner struct {
	Operator string    `json:"operator"`
	Offset   uint64    `json:"offset"`
	Time     time.Time `json:"time"`
	Entity   string    `json:"entity"`
	Action   string    `json:"action"`
}

// Problem is the body of every error response (RFC 9457).
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail,omitempty"`
	// Winner is set if another change came first.
	Winner *Winner `json:"winner,omitempty"`
	// OperationID is set for conflicts and unknown results, to identify the request.
	OperationID string `json:"operation_id,omitempty"`
	// EarliestFinish is set for a move that can't finish by the requested time but could finish
	// later.
	EarliestFinish *time.Time `json:"earliest_finish,omitempty"`
}

// Infeasible is implemented by errors that report why a move can't be planned.
type Infeasible interface {
	error
	// Earliest returns the earliest time by which the move could finish, or zero if it never can.
	Earliest() time.Time
}

// WriteProblem writes an error response for err.
func WriteProblem(w http.ResponseWriter, err error) {
	problem := NewProblem(err)
	if problem.Status == http.StatusServiceUnavailable || problem.Status == http.StatusGatewayTimeout {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	if problem.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.Header().Set("Content-Type", problemContentType)
	w.WriteHeader(problem.Status)
	_ = json.NewEncoder(w).Encode(problem)
}

// NewProblem converts an error to the body of an error response.
func NewProblem(err error) *Problem {
	var conflict *logstream.ConflictError
	if errors.As(err, &conflict) {
		return conflictProblem(conflict)
	}
	var unknown *logstream.ResultUnknownError
	if errors.As(err, &unknown) {
		p := problem(err, "result-unknown", http.StatusGatewayTimeout, OutcomeUnknown)
		p.OperationID = unknown.OperationID
		return p
	}
	var infeasible Infeasible
	if errors.As(err, &infeasible) {
		p := problem(err, "infeasible", http.StatusUnprocessableEntity, OutcomeNotRun)
		if earliest := infeasible.Earliest(); !earliest.IsZero() {
			p.EarliestFinish = &earliest
		}
		return p
	}
	return problemByErrorType(err)
}

// problemByErrorType converts the errors that need no additional fields. Unknown errors become
// status 503.
func problemByErrorType(err error) *Problem {
	switch {
	case hasType[*logstream.InvalidError](err), hasType[*logstream.OperationReusedError](err):
		return problem(err, "invalid", http.StatusUnprocessableEntity, OutcomeNotRun)
	case hasType[*logstream.LogUnavailableError](err):
		return problem(err, "log-unavailable", http.StatusServiceUnavailable, OutcomeNotRun)
	case hasType[*UnauthorizedError](err):
		return problem(err, "unauthorized", http.StatusUnauthorized, OutcomeNotRun)
	case hasType[*NotFoundError](err):
		return problem(err, "not-found", http.StatusNotFound, OutcomeNotRun)
	case hasType[*BadRequestError](err), hasType[*NameMismatchError](err):
		return problem(err, "bad-request", http.StatusBadRequest, OutcomeNotRun)
	case hasType[*PreconditionRequiredError](err):
		return problem(err, "precondition-required", http.StatusPreconditionRequired, OutcomeNotRun)
	}
	return problem(err, "unavailable", http.StatusServiceUnavailable, OutcomeNotRun)
}

// hasType reports whether err is or wraps an error of type T.
func hasType[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// problem returns a problem of a kind with the text of err as its detail.
func problem(err error, kind string, status int, outcome string) *Problem {
	return &Problem{
		Type:    problemTypePrefix + kind,
		Title:   http.StatusText(status),
		Status:  status,
		Outcome: outcome,
		Detail:  err.Error(),
	}
}

// conflictProblem converts a conflict and includes the change that came first.
func conflictProblem(conflict *logstream.ConflictError) *Problem {
	p := problem(conflict, "conflict", http.StatusConflict, OutcomeNotRun)
	p.OperationID = conflict.Entry.GetOperationId()
	if winner := conflict.Winner; winner != nil {
		p.Winner = &Winner{
			Operator: winner.GetOperator(),
			Offset:   winner.GetOffset(),
			Time:     time.UnixMilli(winner.GetUnixMs()).UTC(),
			Entity:   winner.GetEntity(),
			Action:   winner.GetAction(),
		}
	}
	return p
}
