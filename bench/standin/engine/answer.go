package engine

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
)

// AnswerText returns the text that an engine generates for a prompt. It depends
// only on its arguments, so a caller can verify that it received the complete
// answer to its own request.
func AnswerText(prompt string, maxTokens int) string {
	return strings.Join(answerTokens(prompt, maxTokens), "")
}

// answerTokens generates the tokens of AnswerText from a hash of the prompt.
func answerTokens(prompt string, maxTokens int) []string {
	hash := fnv.New64a()
	// Hash writes never fail.
	_, _ = hash.Write([]byte(prompt))
	state := hash.Sum64()
	tokens := make([]string, maxTokens)
	for i := range tokens {
		// The constants are those of Knuth's MMIX linear congruential generator.
		state = state*6364136223846793005 + 1442695040888963407
		tokens[i] = fmt.Sprintf("%04x ", state>>48)
	}
	return tokens
}

// usage holds the token counts of a completion, as in the OpenAI API.
type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func newUsage(c *call) *usage {
	return &usage{
		PromptTokens: c.promptTokens, CompletionTokens: c.outputTokens, TotalTokens: c.promptTokens + c.outputTokens,
		PromptDetails: promptDetails{CachedTokens: c.cachedTokens},
	}
}

// mustJSON encodes a value whose type always encodes; it panics on an error.
func mustJSON(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// encodeEvent encodes a value as one server-sent event.
func encodeEvent(value any) []byte {
	data := mustJSON(value)
	return append(append([]byte("data: "), data...), '\n', '\n')
}

// encodeChunk encodes an event with the given tokens. It appends the JSON text
// directly because it runs for every event of every stream.
func encodeChunk(c *call, tokens []string) []byte {
	out := make([]byte, 0, 192)
	out = append(out, `data: {"id":`...)
	out = strconv.AppendQuote(out, c.id)
	out = append(out, `,"object":"chat.completion.chunk","model":`...)
	out = strconv.AppendQuote(out, c.version)
	out = append(out, `,"choices":[{"index":0,"delta":{"role":"assistant","content":"`...)
	for _, token := range tokens {
		out = append(out, token...)
	}
	return append(out, "\"},\"finish_reason\":null}]}\n\n"...)
}

// encodeFinalEvents returns the events that end a stream: the finish reason, the
// usage and [DONE].
func encodeFinalEvents(c *call) []byte {
	reason := "stop"
	out := encodeEvent(completion{
		ID: c.id, Object: "chat.completion.chunk", Model: c.version,
		Choices: []choice{{Delta: &message{Role: "assistant"}, FinishReason: &reason}},
	})
	out = append(out, encodeEvent(completion{
		ID: c.id, Object: "chat.completion.chunk", Model: c.version, Choices: []choice{}, Usage: newUsage(c),
	})...)
	return append(out, "data: [DONE]\n\n"...)
}

// encodeCompletion returns the body of a completion that isn't streamed.
func encodeCompletion(c *call) []byte {
	reason := "stop"
	text := strings.Join(c.answer[:c.outputTokens], "")
	return mustJSON(completion{
		ID: c.id, Object: "chat.completion", Model: c.version,
		Choices: []choice{{Message: &message{Role: "assistant", Content: text}, FinishReason: &reason}},
		Usage:   newUsage(c),
	})
}
