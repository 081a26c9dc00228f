package sidecar

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// tailBytes is how much of the end of an engine's answer is retained: enough for the
	// end marker of the stream and the usage object.
	tailBytes = 4 << 10
	// statusOK and statusMultipleChoices are the bounds of the successful HTTP statuses:
	// the first one and the one after the last.
	statusOK              = 200
	statusMultipleChoices = 300
)

var (
	streamEndMarker = []byte("data: [DONE]")
	eventPrefix     = []byte("data:")
	usageKey        = []byte(`"usage":`)
)

// answerCheck determines whether an answer is complete and extracts its token counts.
type answerCheck struct {
	// engine is true if the backend server is an engine.
	engine bool
	// stream is true if an engine answers with a stream of server-sent events.
	stream bool
	// length is the Content-Length in bytes, or -1 without one.
	length int64
	// tail holds at least the last tailBytes bytes of an engine's answer.
	tail []byte
	// events is the number of token events so far.
	events uint32
}

// newAnswerCheck returns the check for an answer whose head is reply.
func newAnswerCheck(engine bool, reply *platform.Answer) answerCheck {
	c := answerCheck{engine: engine, length: -1}
	success := reply.Status >= statusOK && reply.Status < statusMultipleChoices
	c.stream = engine && success && strings.HasPrefix(reply.Header.Get("Content-Type"), "text/event-stream")
	if contentLength, err := strconv.ParseInt(reply.Header.Get("Content-Length"), 10, 64); err == nil {
		c.length = contentLength
	}
	return c
}

// observe processes a chunk of the body and returns the number of token events in it. The
// body is not parsed: an event counts where its "data:" lies within one chunk.
func (c *answerCheck) observe(chunk []byte) int {
	if !c.engine {
		return 0
	}
	c.tail = append(c.tail, chunk...)
	if len(c.tail) > 2*tailBytes {
		c.tail = append(c.tail[:0], c.tail[len(c.tail)-tailBytes:]...)
	}
	if !c.stream {
		return 0
	}
	events := bytes.Count(chunk, eventPrefix) - bytes.Count(chunk, streamEndMarker)
	c.events += uint32(max(0, events))
	return max(0, events)
}

// complete reports whether an answer with total body bytes is complete: the length matches
// Content-Length and an event stream ends with its end marker.
func (c *answerCheck) complete(total uint64) bool {
	if c.length >= 0 && total != uint64(c.length) {
		return false
	}
	return !c.stream || endsStream(c.tail)
}

// endsStream reports whether the last event of a stream is its end marker. The same text inside a token doesn't count,
// and neither does a marker without the blank line that ends its event: readers drop such an event.
func endsStream(tail []byte) bool {
	text := bytes.TrimRight(tail, "\r\n")
	if bytes.Count(tail[len(text):], []byte("\n")) < 2 {
		return false
	}
	rest, found := bytes.CutSuffix(text, streamEndMarker)
	return found && (len(rest) == 0 || rest[len(rest)-1] == '\n')
}

// reportedUsage is the JSON usage object in an engine's answer.
type reportedUsage struct {
	PromptTokens     uint32 `json:"prompt_tokens"`
	CompletionTokens uint32 `json:"completion_tokens"`
	PromptDetails    struct {
		CachedTokens uint32 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// usage returns the token counts that an engine reported, or else the number of token
// events as output tokens. It returns nil for a plain service.
func (c *answerCheck) usage() *lanepb.Usage {
	if !c.engine {
		return nil
	}
	if index := bytes.LastIndex(c.tail, usageKey); index >= 0 {
		var reported reportedUsage
		decoder := json.NewDecoder(bytes.NewReader(c.tail[index+len(usageKey):]))
		if decoder.Decode(&reported) == nil {
			return &lanepb.Usage{
				PromptTokens: reported.PromptTokens,
				CachedTokens: reported.PromptDetails.CachedTokens,
				OutputTokens: reported.CompletionTokens,
			}
		}
	}
	return &lanepb.Usage{OutputTokens: c.events}
}
