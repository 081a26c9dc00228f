package sidecar

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/lagoonlane/lagoonlane/internal/eventstream"
	"github.com/lagoonlane/lagoonlane/internal/platform"
	"github.com/lagoonlane/lagoonlane/internal/rpc/lanepb"
)

const (
	// tailBytes is how much of the end of an engine's answer is retained: enough for the
	// usage object.
	tailBytes = 4 << 10
	// statusOK and statusMultipleChoices are the bounds of the successful HTTP statuses:
	// the first one and the one after the last.
	statusOK              = 200
	statusMultipleChoices = 300
)

var (
	// streamEndMarker is the data of the last event of an engine's stream.
	streamEndMarker = []byte("[DONE]")
	usageKey        = []byte(`"usage":`)
)

// answerCheck determines whether an answer is complete and extracts its token counts.
type answerCheck struct {
	// engine is true if the backend server is an engine.
	engine bool
	// stream is true if the answer is a stream of server-sent events.
	stream bool
	// scanner finds the events of a stream; ended is set if the last one is its end marker.
	scanner eventstream.Scanner
	ended   bool
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
	c.stream = success && strings.HasPrefix(reply.Header.Get("Content-Type"), "text/event-stream")
	if contentLength, err := strconv.ParseInt(reply.Header.Get("Content-Length"), 10, 64); err == nil {
		c.length = contentLength
	}
	return c
}

// observe processes a chunk of the body and returns the number of token events that end in it.
func (c *answerCheck) observe(chunk []byte) int {
	if c.engine {
		c.tail = append(c.tail, chunk...)
	}
	if len(c.tail) > 2*tailBytes {
		c.tail = append(c.tail[:0], c.tail[len(c.tail)-tailBytes:]...)
	}
	if !c.stream {
		return 0
	}
	tokens := 0
	for len(chunk) > 0 {
		n, event := c.scanner.Next(chunk)
		chunk = chunk[n:]
		if event == nil || !event.HasData {
			continue
		}
		if c.ended = bytes.Equal(event.Data, streamEndMarker); !c.ended {
			tokens++
		}
	}
	if !c.engine {
		return 0
	}
	c.events += uint32(tokens)
	return tokens
}

// complete reports whether an answer with total body bytes is complete: the length matches Content-Length, a stream
// doesn't end inside an event, and that of an engine ends with its end marker.
func (c *answerCheck) complete(total uint64) bool {
	if c.length >= 0 && total != uint64(c.length) {
		return false
	}
	return !c.stream || !c.scanner.InEvent() && (c.ended || !c.engine)
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
