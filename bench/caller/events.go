package caller

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"
)

const eventBufferBytes = 16 << 10

// completion holds the decoded fields of an answer or of one event of a stream.
type completion struct {
	Model   string `json:"model"`
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	}
}

// setUsage copies the version and, if present, the token counts.
func (r *Result) setUsage(c completion) {
	r.Version = c.Model
	if c.Usage != nil {
		r.Tokens, r.PromptTokens = c.Usage.CompletionTokens, c.Usage.PromptTokens
	}
}

// readCompletion reads an answer that isn't streamed.
func readCompletion(body io.Reader, chat Chat, result *Result) {
	var answer completion
	if err := json.NewDecoder(body).Decode(&answer); err != nil || len(answer.Choices) != 1 {
		result.Outcome = OutcomeCut
		return
	}
	result.setUsage(answer)
	verifyText(answer.Choices[0].Message.Content, chat, result)
}

// readEvents reads server-sent events up to [DONE], to an error event with a problem,
// or to the end of the stream.
func readEvents(body io.Reader, chat Chat, started time.Time, result *Result) {
	reader := bufio.NewReaderSize(body, eventBufferBytes)
	var text strings.Builder
	lastEvent := started
	isError := false
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			result.Outcome, result.Detail = OutcomeCut, err.Error()
			return
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "event: error" {
			isError = true
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
			continue
		case isError:
			result.setProblem([]byte(data))
			return
		case data == "[DONE]":
			verifyText(text.String(), chat, result)
			return
		}
		var event completion
		if json.Unmarshal([]byte(data), &event) != nil {
			result.Outcome = OutcomeCut
			return
		}
		result.setUsage(event)
		if len(event.Choices) == 0 || event.Choices[0].Delta.Content == "" {
			continue
		}
		text.WriteString(event.Choices[0].Delta.Content)
		lastEvent = result.recordEvent(started, lastEvent)
	}
}

// recordEvent records the time to the first event, or the gap since the previous one. It
// returns the current time.
func (r *Result) recordEvent(started, previous time.Time) time.Time {
	now := time.Now()
	if r.FirstToken == 0 {
		r.FirstToken = now.Sub(started)
		return now
	}
	r.Gaps = append(r.Gaps, now.Sub(previous))
	return now
}
