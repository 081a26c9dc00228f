// Package caller is a caller of the system: it sends requests as a client
// account, reads whole answers, and checks that an answer is its own. The demo,
// the load tool and the experiments use it.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/standin/engine"
	"github.com/lagoonlane/lagoonlane/bench/standin/service"
)

// Headers of requests.
const (
	headerTier           = "X-Lagoonlane-Tier"
	headerTimeout        = "X-Request-Timeout"
	headerIdempotencyKey = "Idempotency-Key"
)

const (
	problemContentType = "application/problem+json"
	maxProblemBytes    = 64 << 10
)

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes. The last three are those of a problem that the system reports.
const (
	// OutcomeWhole is the caller's own whole answer.
	OutcomeWhole Outcome = "whole"
	// OutcomeWrong is a whole answer with another text than that of the request.
	OutcomeWrong Outcome = "wrong"
	// OutcomeError is an answer of the backend server with an error status.
	OutcomeError Outcome = "error"
	// OutcomeCut is an answer that broke off without a final word.
	OutcomeCut Outcome = "cut"
	// OutcomeNoAnswer is a request without any answer.
	OutcomeNoAnswer Outcome = "no-answer"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeFailed   Outcome = "failed"
	OutcomeUnknown  Outcome = "unknown"
)

// Client sends the requests of one client account.
type Client struct {
	HTTP *http.Client
	// Key is the key of the client account; empty: no Authorization is sent.
	Key string
}

// Chat is a request to a model.
type Chat struct {
	// URL of an entry, or of an engine.
	URL       string
	Model     string
	Tier      string
	Prompt    string
	MaxTokens int
	Stream    bool
	// Timeout is told to the system; 0: its default.
	Timeout time.Duration
	// User is the field "user" of the request, by which an engine's records name it.
	User string
	// Header holds further headers.
	Header http.Header
}

// Operation is a request to a plain service.
type Operation struct {
	// URL of an entry.
	URL     string
	Service string
	Method  string
	// Path below the service.
	Path string
	// ID names the operation, so that its runs can be counted.
	ID string
	// Key is the idempotency key; empty: none.
	Key     string
	Tier    string
	Timeout time.Duration
}

// Result is how a request ended.
type Result struct {
	Outcome Outcome
	Status  int
	// Problem is the last part of a problem's type, such as "shed".
	Problem    string
	Detail     string
	RetryAfter time.Duration
	// FirstToken is the time to the first token of a streamed answer.
	FirstToken time.Duration
	// Total is the time to the end.
	Total time.Duration
	// Gaps are the times between two events of a streamed answer.
	Gaps []time.Duration
	// Tokens of the answer, and of the prompt as the engine counts it.
	Tokens       int
	PromptTokens int
	// Version that answered, where the backend server says so.
	Version string
	// Run is the count of runs that a plain service answered with.
	Run int
}

type problemBody struct {
	Type         string  `json:"type"`
	Outcome      Outcome `json:"outcome"`
	Detail       string  `json:"detail"`
	RetryAfterMS int64   `json:"retry_after_ms"`
}

// setProblem takes the fields of a problem into a result.
func (r *Result) setProblem(body []byte) {
	var problem problemBody
	if json.Unmarshal(body, &problem) != nil || problem.Outcome == "" {
		r.Outcome = OutcomeError
		return
	}
	r.Outcome = problem.Outcome
	r.Detail = problem.Detail
	r.Problem = problem.Type[strings.LastIndexByte(problem.Type, ':')+1:]
	r.RetryAfter = time.Duration(problem.RetryAfterMS) * time.Millisecond
}

func (c *Client) send(
	ctx context.Context, method, url string, body []byte, tier string, timeout time.Duration, header http.Header,
) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// A retry by the transport itself would spoil the count of requests.
	req.GetBody = nil
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", "application/json")
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if tier != "" {
		req.Header.Set(headerTier, tier)
	}
	if timeout > 0 {
		req.Header.Set(headerTimeout, timeout.String())
	}
	return c.HTTP.Do(req)
}

// Operate sends a request to a plain service.
func (c *Client) Operate(ctx context.Context, op Operation) Result {
	started := time.Now()
	header := http.Header{service.HeaderOperation: {op.ID}}
	if op.Key != "" {
		header.Set(headerIdempotencyKey, op.Key)
	}
	body := []byte(`{"operation":` + strconv.Quote(op.ID) + `}`)
	url := op.URL + "/services/" + op.Service + op.Path
	resp, err := c.send(ctx, op.Method, url, body, op.Tier, op.Timeout, header)
	if err != nil {
		return Result{Outcome: OutcomeNoAnswer, Detail: err.Error(), Total: time.Since(started)}
	}
	defer resp.Body.Close()
	result := operationResult(op, resp)
	result.Total = time.Since(started)
	return result
}

func operationResult(op Operation, resp *http.Response) Result {
	result := Result{Status: resp.StatusCode}
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	if err != nil {
		result.Outcome, result.Detail = OutcomeCut, err.Error()
		return result
	}
	if resp.StatusCode != http.StatusOK {
		result.setProblem(reply)
		return result
	}
	var answer service.Answer
	if err := json.Unmarshal(reply, &answer); err != nil {
		result.Outcome, result.Detail = OutcomeCut, err.Error()
		return result
	}
	result.Outcome, result.Version, result.Run = OutcomeWhole, answer.Version, answer.Run
	if answer.Operation != op.ID {
		result.Outcome = OutcomeWrong
	}
	return result
}

// Chat sends a request to a model and reads the answer to its end.
func (c *Client) Chat(ctx context.Context, chat Chat) Result {
	started := time.Now()
	body, err := json.Marshal(map[string]any{
		"model": chat.Model, "max_tokens": chat.MaxTokens, "stream": chat.Stream, "user": chat.User,
		"messages": []map[string]string{{"role": "user", "content": chat.Prompt}},
	})
	if err != nil {
		return Result{Outcome: OutcomeNoAnswer, Detail: err.Error()}
	}
	resp, err := c.send(ctx, http.MethodPost, chat.URL+"/v1/chat/completions", body, chat.Tier, chat.Timeout, chat.Header)
	if err != nil {
		return Result{Outcome: OutcomeNoAnswer, Detail: err.Error(), Total: time.Since(started)}
	}
	defer resp.Body.Close()
	result := Result{Status: resp.StatusCode}
	switch {
	case resp.StatusCode != http.StatusOK:
		reply, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
		if err != nil {
			reply = nil
		}
		result.setProblem(reply)
	case chat.Stream:
		readEvents(resp.Body, chat, started, &result)
	default:
		readCompletion(resp.Body, chat, &result)
	}
	result.Total = time.Since(started)
	return result
}

// verifyText compares an answer with the one that belongs to the request.
func verifyText(text string, chat Chat, result *Result) {
	result.Outcome = OutcomeWhole
	if text != engine.AnswerText(engine.UserPrompt(chat.Prompt), chat.MaxTokens) {
		result.Outcome = OutcomeWrong
	}
}
