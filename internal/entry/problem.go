package entry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome states whether a request without an answer may have run.
type Outcome string

// Outcomes of a request without an answer.
const (
	// OutcomeNotRun means that no backend server has received the request, and none will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeFailed means that the request ran or may have run, and that it is safe to repeat.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that a non-idempotent request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Kind is the kind of a problem.
type Kind string

// Kinds of problems. Each is the last part of the problem's type.
const (
	KindMalformed        Kind = "malformed-request"
	KindUnauthorized     Kind = "unauthorized"
	KindForbidden        Kind = "forbidden"
	KindNotFound         Kind = "no-such-route"
	KindMethodNotAllowed Kind = "method-not-allowed"
	KindBodyTooLarge     Kind = "body-too-large"
	KindBodyTooSlow      Kind = "body-too-slow"
	KindHeaderTooLarge   Kind = "header-too-large"
	KindBadTimeout       Kind = "bad-timeout"
	KindTierNotAllowed   Kind = "tier-not-allowed"
	KindAccountLimit     Kind = "account-limit"
	KindShed             Kind = "shed"
	KindDeadline         Kind = "deadline"
	KindNoBackendServer  Kind = "no-backend-server"
	KindDraining         Kind = "draining"
	KindLogUnavailable   Kind = "log-unavailable"
	KindKeyReused        Kind = "idempotency-key-reused"
	KindAnswerLost       Kind = "answer-lost"
	KindBackendFailed    Kind = "backend-server-failed"
	KindAnswerNotKept    Kind = "answer-not-kept"
	KindPoisoned         Kind = "poisoned"
)

const (
	problemTypePrefix  = "urn:lagoonlane:problem:"
	problemContentType = "application/problem+json"
)

// Problem is the final answer to a request that got no answer from a backend server.
type Problem struct {
	Kind    Kind
	Status  int
	Outcome Outcome
	Detail  string
	// RetryAfter is the delay after which a retry may succeed; 0 omits it.
	RetryAfter time.Duration
}

func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Kind, p.Outcome, p.Detail)
}

// problemBody is the JSON encoding of a Problem (RFC 9457).
type problemBody struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Outcome Outcome `json:"outcome"`
	Detail  string  `json:"detail,omitempty"`
	// RetryAfterMS is the value of the Retry-After header before rounding up to seconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// JSON returns the encoded problem.
func (p *Problem) JSON() []byte {
	body, err := json.Marshal(problemBody{
		Type:         problemTypePrefix + string(p.Kind),
		Title:        http.StatusText(p.Status),
		Status:       p.Status,
		Outcome:      p.Outcome,
		Detail:       p.Detail,
		RetryAfterMS: p.RetryAfter.Milliseconds(),
	})
	if err != nil {
		return []byte("{}")
	}
	return body
}

// write writes the problem as the complete response.
func (p *Problem) write(w http.ResponseWriter) {
	body := p.JSON()
	header := w.Header()
	header.Set("Content-Type", problemContentType)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set("Cache-Control", "no-store")
	if p.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// notRunProblem returns a problem with OutcomeNotRun.
func notRunProblem(kind Kind, status int, detail string) *Problem {
	return &Problem{Kind: kind, Status: status, Outcome: OutcomeNotRun, Detail: detail}
}

// withRetryAfter sets RetryAfter and returns p.
func (p *Problem) withRetryAfter(retry time.Duration) *Problem {
	p.RetryAfter = retry
	return p
}
