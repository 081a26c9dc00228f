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
	// defaultOutputTokens is the output of a request on a route that names none.
	defaultOutputTokens = 256
	// maxOutputTokens bounds what a request may ask for.
	maxOutputTokens = 1 << 20
)

// chatRequest is the part of a chat completion that the entry reads.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           *int64        `json:"max_tokens"`
	MaxCompletionTokens *int64        `json:"max_completion_tokens"`
}

// chatMessage is one message. Its content is a string or a list of parts.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parseChat reads a chat completion.
func (e *Entry) parseChat(w http.ResponseWriter, r *http.Request, hold *membudget.Hold) (*call, *Problem) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		return nil, notRunProblem(KindMethod, http.StatusMethodNotAllowed, chatPath+" takes POST only")
	}
	one, problem := e.newCall(r)
	if problem != nil {
		return nil, problem
	}
	body, problem := readBody(w, r, maxEngineBodyBytes(one.state), hold)
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
	route := one.state.GetRoutes()[chat.Model]
	if route == nil || route.GetKind() != configpb.BackendKind_BACKEND_KIND_ENGINE {
		return nil, notRunProblem(KindNotFound, http.StatusNotFound, "no model is named "+strconv.Quote(chat.Model))
	}
	if limit := bodyLimit(route); uint64(len(body)) > limit {
		return nil, notRunProblem(KindTooLarge, http.StatusRequestEntityTooLarge,
			"the body is larger than "+strconv.FormatUint(limit, 10)+" bytes")
	}
	one.idempotent = true
	one.path = chatPath
	one.body = body
	one.stream = chat.Stream
	one.headers = []*lanepb.Header{{Name: "Content-Type", Value: "application/json"}}
	one.outputTokens = chat.outputTokens(route)
	prompt := chat.prompt()
	one.promptTokens = uint32(len(prompt)/prefix.BytesPerToken + 1)
	one.prefixHashes = prefix.Hashes(prompt)
	return one, one.setRoute(route, r)
}

func bodyLimit(route *configpb.Route) uint64 {
	if limit := route.GetMaxBodyBytes(); limit > 0 {
		return limit
	}
	return defaultMaxBodyBytes
}

// maxEngineBodyBytes bounds a body before its model is known.
func maxEngineBodyBytes(state *configpb.State) uint64 {
	var largest uint64
	for _, route := range state.GetRoutes() {
		if route.GetKind() == configpb.BackendKind_BACKEND_KIND_ENGINE {
			largest = max(largest, bodyLimit(route))
		}
	}
	return largest
}

func (c *chatRequest) check() *Problem {
	if c.Model == "" {
		return notRunProblem(KindMalformed, http.StatusBadRequest, "the body names no model")
	}
	if len(c.Messages) == 0 {
		return notRunProblem(KindMalformed, http.StatusBadRequest, "the body has no messages")
	}
	if asked := c.requestedTokens(); asked != nil && (*asked < 1 || *asked > maxOutputTokens) {
		return notRunProblem(KindMalformed, http.StatusBadRequest, "max_tokens must be from 1 to "+strconv.Itoa(maxOutputTokens))
	}
	return nil
}

func (c *chatRequest) requestedTokens() *int64 {
	if c.MaxCompletionTokens != nil {
		return c.MaxCompletionTokens
	}
	return c.MaxTokens
}

// outputTokens returns the output that the request may have, or the one that
// the route assumes.
func (c *chatRequest) outputTokens(route *configpb.Route) uint32 {
	if asked := c.requestedTokens(); asked != nil {
		return uint32(*asked)
	}
	if expected := route.GetExpectedOutputTokens(); expected > 0 {
		return expected
	}
	return defaultOutputTokens
}

// prompt returns the text of all messages, in order.
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
