package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Kind identifies why a request gets no answer from a backend server.
type Kind string

// Kinds of failure.
const (
	KindNotReady     Kind = "not-ready"
	KindMalformed    Kind = "malformed"
	KindNoRoute      Kind = "no-route"
	KindUnauthorized Kind = "unauthorized"
	KindTooLarge     Kind = "too-large"
	KindOverloaded   Kind = "overloaded"
	KindLimit        Kind = "limit"
	KindNoServer     Kind = "no-server"
	KindNoSlot       Kind = "no-slot"
	KindRejected     Kind = "rejected"
	KindRateLimited  Kind = "rate-limited"
	KindFailed       Kind = "failed"
	KindTimeout      Kind = "timeout"
	KindCallerLeft   Kind = "caller-left"
	KindStopped      Kind = "stopped"
	// KindPoisoned: a part of the prompt crashes engines.
	KindPoisoned Kind = "poisoned"
)

// Failure is the final answer to a request that gets none from a backend server.
type Failure struct {
	Kind   Kind
	Status int
	// RetryAfter is when the caller should retry; 0 if unspecified.
	RetryAfter time.Duration
	Detail     string
	// CutBy is what ended an accepted request; empty for a refusal.
	CutBy CutCause
}

func (f *Failure) Error() string { return fmt.Sprintf("%s: %s", f.Kind, f.Detail) }

// Ran reports whether the request may have run.
func (f *Failure) Ran() bool {
	return f.Status == http.StatusBadGateway || f.Status == http.StatusGatewayTimeout
}

func refusal(kind Kind, status int, detail string) *Failure {
	return &Failure{Kind: kind, Status: status, Detail: detail}
}

// unavailable returns a refusal, with a Retry-After, of a request that has not run.
func unavailable(kind Kind, retryAfter time.Duration, detail string) *Failure {
	return &Failure{Kind: kind, Status: http.StatusServiceUnavailable, RetryAfter: retryAfter, Detail: detail}
}

// problem is the body of a failure (RFC 9457).
type problem struct {
	Type    string `json:"type"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
}

// writeFailure sends a failure to the caller.
func (g *Gateway) writeFailure(w http.ResponseWriter, call *call, f *Failure) {
	h := w.Header()
	g.options.Codec.EncodeRefusal(h, call.info.ID)
	h.Set("Content-Type", "application/problem+json")
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64))
	}
	outcome := "not-run"
	if f.Ran() {
		outcome = "failed"
		if call.route != nil && !call.route.Repeatable() {
			outcome = "unknown"
		}
	}
	body, err := json.Marshal(problem{Type: "about:blank#" + string(f.Kind), Status: f.Status, Detail: f.Detail, Outcome: outcome})
	if err != nil {
		g.logger.Error().Str("request_id", call.info.ID).Err(err).Msg("failed to encode the problem document")
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	limitWrite(w, refusalWriteTimeout)
	w.WriteHeader(f.Status)
	_, err = w.Write(body)
	if err == nil {
		// At the end of a shutdown, connections are closed as soon as no handler runs, so the
		// answer must be flushed before.
		err = http.NewResponseController(w).Flush()
	}
	if err != nil {
		g.limitedLogger.Info().Str("request_id", call.info.ID).Int("status", f.Status).Err(err).Msg("the caller disconnected before the refusal was written")
	}
}
