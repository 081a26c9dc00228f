// Package caller is a client of lagoonlane for the demo, the load generator and the
// experiments. It sends requests as a client account, reads the complete answers, and
// verifies that each answer belongs to its request.
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

// Request headers.
const (
	headerTier           = "X-Lagoonlane-Tier"
	headerTimeout        = "X-Request-Timeout"
	headerIdempotencyKey = "Idempotency-Key"
)

const (
	problemContentType = "application/problem+json"
	maxProblemBytes    = 64 << 10
)

// Outcome is the outcome of a request as observed by its caller.
type Outcome string

// Outcomes. The last three are reported by lagoonlane in the body of a problem.
const (
	// OutcomeWhole means that the answer is complete and has the expected text.
	OutcomeWhole Outcome = "whole"
	// OutcomeWrong means that the answer is complete but doesn't belong to the request.
	OutcomeWrong Outcome = "wrong"
	// OutcomeError means that the backend server responded with an error status.
	OutcomeError Outcome = "error"
	// OutcomeCut means that the answer ended before it was complete, without a problem, or
	// could not be decoded.
	OutcomeCut Outcome = "cut"
	// OutcomeNoAnswer means that no response arrived.
	OutcomeNoAnswer Outcome = "no-answer"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeFailed   Outcome = "failed"
	OutcomeUnknown  Outcome = "unknown"
)

// Client sends the requests of one client account.
type Client struct {
	HTTP *http.Client
	// Key is the API key of the client account. If it is empty, no Authorization header is
	// sent.
	Key string
}

// Chat is a request to a model.
type Chat struct {
	// URL is the base URL of an entry or of an engine.
	URL       string
	Model     string
	Tier      string
	Prompt    string
	MaxTokens int
	Stream    bool
	// Timeout is sent in the request's timeout header. 0 omits the header, and the default
	// of lagoonlane applies.
	Timeout time.Duration
	// User is the field "user" of the request. Engines record their calls under it.
	User string
	// Header holds additional request headers.
	Header http.Header
}

// Operation is a request to a plain service.
type Operation struct {
	// URL is the base URL of an entry.
	URL     string
	Service string
	Method  string
	// Path is the path below the service, with a leading slash.
	Path string
	// ID is the operation id, by which the service counts runs.
	ID string
	// Key is the idempotency key. If it is empty, none is sent.
	Key     string
	Tier    string
	Timeout time.Duration
}

// Result holds the outcome and the measurements of a request.
type Result struct {
	Outcome Outcome
	Status  int
	// Problem is the last component of the problem type, such as "shed".
	Problem    string
	Detail     string
	RetryAfter time.Duration
	// FirstToken is the time to the first token of a streamed answer.
	FirstToken time.Duration
	// Total is the time to the end of the answer.
	Total time.Duration
	// Gaps holds the times between consecutive events of a streamed answer.
	Gaps []time.Duration
	// Tokens and PromptTokens are the numbers of output and prompt tokens that the engine
	// reported.
	Tokens       int
	PromptTokens int
	// Version is the version that answered, if the backend server reported it.
	Version string
	// Run is the ordinal number of the operation's run, as reported by a plain service.
	Run int
}

type problemBody struct {
	Type         string  `json:"type"`
	Outcome      Outcome `json:"outcome"`
	Detail       string  `json:"detail"`
	RetryAfterMS int64   `json:"retry_after_ms"`
}

// setProblem sets the outcome and the details from the body of a problem. A body that
// isn't a problem yields OutcomeError.
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
	// Without GetBody the transport can't resend the request, which would falsify the
	// count of requests.
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

// Operate sends an operation to a plain service and reads the answer.
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

// Chat sends a chat completion request to a model and reads the complete answer.
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

// verifyText compares an answer with the text that an engine generates for the request.
func verifyText(text string, chat Chat, result *Result) {
	result.Outcome = OutcomeWhole
	if text != engine.AnswerText(engine.UserPrompt(chat.Prompt), chat.MaxTokens) {
		result.Outcome = OutcomeWrong
	}
}
