package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/lagoonlane/lagoonlane/internal/membudget"
	"github.com/lagoonlane/lagoonlane/internal/prefix"
	"github.com/lagoonlane/lagoonlane/internal/rpc/configpb"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	chatPath = "/v1/chat/completions"
	// defaultOutputTokens is the expected output of a request that sets no maximum, on a route
	// that configures no expected output.
	defaultOutputTokens = 256
	// maxOutputTokens is the largest max_tokens that a request may set.
	maxOutputTokens = 1 << 20
)

// chatRequest holds the fields of a chat completion request that the entry uses.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           *int64        `json:"max_tokens"`
	MaxCompletionTokens *int64        `json:"max_completion_tokens"`
}

// chatMessage is one message of a chat completion request. Content is a JSON string or a list of
// content parts.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parseChat authenticates, reads and validates a chat completion request.
func (e *Entry) parseChat(w http.ResponseWriter, r *http.Request, reservation *membudget.Reservation) (*call, *Problem) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		return nil, notRunProblem(KindMethodNotAllowed, http.StatusMethodNotAllowed, chatPath+" takes POST only")
	}
	c, problem := e.newCall(r)
	if problem != nil {
		return nil, problem
	}
	body, problem := readBody(w, r, maxEngineBodyBytes(c.state), reservation)
	if problem != nil {
		return nil, problem
	}
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return nil, notRunProblem(KindMalformed, http.StatusBadRequest, "the body is not a chat completion request: "+err.Error())
	}
	if problem := chat.check(); problem != nil {
		return nil, problem
	}
	route := c.state.GetRoutes()[chat.Model]
	if route == nil || route.GetKind() != configpb.BackendKind_BACKEND_KIND_ENGINE {
		return nil, notRunProblem(KindNotFound, http.StatusNotFound, "no model is named "+strconv.Quote(chat.Model))
	}
	if limit := bodyLimit(route); uint64(len(body)) > limit {
		return nil, notRunProblem(KindBodyTooLarge, http.StatusRequestEntityTooLarge,
			"the body is larger than "+strconv.FormatUint(limit, 10)+" bytes")
	}
	c.idempotent = true
	c.path = chatPath
	c.body = body
	c.stream = chat.Stream
	c.headers = []*lanepb.Header{{Name: "Content-Type", Value: "application/json"}}
	c.outputTokens = chat.outputTokens(route)
	prompt := chat.prompt()
	c.promptTokens = uint32(len(prompt)/prefix.BytesPerToken + 1)
	c.prefixHashes = prefix.Hashes(prompt)
	return c, c.setRoute(route, r)
}

// bodyLimit returns the maximum size in bytes of a request body on a route.
func bodyLimit(route *configpb.Route) uint64 {
	if limit := route.GetMaxBodyBytes(); limit > 0 {
		return limit
	}
	return defaultMaxBodyBytes
}

// maxEngineBodyBytes returns the largest body limit of all engine routes. It bounds the body
// before the model, which is named in the body, is known.
func maxEngineBodyBytes(state *configpb.State) uint64 {
	var largest uint64
	for _, route := range state.GetRoutes() {
		if route.GetKind() == configpb.BackendKind_BACKEND_KIND_ENGINE {
			largest = max(largest, bodyLimit(route))
		}
	}
	return largest
}

// check validates the model, the messages and the requested number of output tokens.
func (c *chatRequest) check() *Problem {
	if c.Model == "" {
		return notRunProblem(KindMalformed, http.StatusBadRequest, "the body names no model")
	}
	if len(c.Messages) == 0 {
		return notRunProblem(KindMalformed, http.StatusBadRequest, "the body has no messages")
	}
	if requested := c.requestedTokens(); requested != nil && (*requested < 1 || *requested > maxOutputTokens) {
		return notRunProblem(KindMalformed, http.StatusBadRequest, "max_tokens must be from 1 to "+strconv.Itoa(maxOutputTokens))
	}
	return nil
}

// requestedTokens returns max_completion_tokens if it is set, otherwise max_tokens, which may be
// nil.
func (c *chatRequest) requestedTokens() *int64 {
	if c.MaxCompletionTokens != nil {
		return c.MaxCompletionTokens
	}
	return c.MaxTokens
}

// outputTokens returns the maximum output that the request sets, or else the expected output of
// the route.
func (c *chatRequest) outputTokens(route *configpb.Route) uint32 {
	if requested := c.requestedTokens(); requested != nil {
		return uint32(*requested)
	}
	if expected := route.GetExpectedOutputTokens(); expected > 0 {
		return expected
	}
	return defaultOutputTokens
}

// prompt returns the roles and contents of all messages, in order and separated by newlines. It is
// the input of the prefix hashes.
func (c *chatRequest) prompt() []byte {
	size := 0
	for i := range c.Messages {
		size += len(c.Messages[i].Role) + len(c.Messages[i].Content) + 2
	}
	text := make([]byte, 0, size)
	for i := range c.Messages {
		text = append(text, c.Messages[i].Role...)
		text = append(text, '\n')
		text = append(text, c.Messages[i].Content...)
		text = append(text, '\n')
	}
	return text
}
