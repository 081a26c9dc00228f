package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/platform"
)

func startEngine(c *qt.C, options Options) (*Engine, *platform.HTTPEngine) {
	if options.Speed == 0 {
		options.Speed = 50
	}
	if options.Versions == nil {
		options.Versions = []string{"v1"}
	}
	e := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(ctx)
	}()
	server := httptest.NewServer(e)
	c.Cleanup(func() {
		server.Close()
		cancel()
		<-done
	})
	return e, platform.NewHTTPEngine(server.URL, server.Client())
}

func chat(id, content string, maxTokens int, stream bool) platform.Call {
	body := fmt.Sprintf(`{"messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%v}`,
		content, maxTokens, stream)
	return platform.Call{
		ID: id, Method: http.MethodPost, Path: "/v1/chat/completions",
		Version: "v1", Body: strings.NewReader(body),
	}
}

// parseStream returns the text of a streamed answer and whether [DONE] ended it.
func parseStream(body string) (text string, complete bool) {
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var chunk completion
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
		}
	}
	return text, false
}

func TestCompletionAndResume(t *testing.T) {
	c := qt.New(t)
	_, client := startEngine(c, Options{})
	answer, err := client.Do(t.Context(), chat("c-1", "how many pegs?", 20, true))
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(answer.Body)
	c.Assert(err, qt.IsNil)
	answer.Body.Close()
	text, complete := parseStream(string(body))
	c.Assert(complete, qt.IsTrue)
	c.Assert(text, qt.Equals, AnswerText(UserPrompt("how many pegs?"), 20))

	resumed, err := client.Resume(t.Context(), "c-1", 100)
	c.Assert(err, qt.IsNil)
	defer resumed.Body.Close()
	rest, err := io.ReadAll(resumed.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(rest), qt.Equals, string(body[100:]))

	_, err = client.Resume(t.Context(), "c-2", 0)
	var notFound *platform.NotFoundError
	c.Assert(errors.As(err, &notFound), qt.IsTrue, qt.Commentf("%v", err))
}

func TestCancelStopsCall(t *testing.T) {
	c := qt.New(t)
	e, client := startEngine(c, Options{Speed: 1})
	answer, err := client.Do(t.Context(), chat("c-1", "a long report", 10_000, true))
	c.Assert(err, qt.IsNil)
	defer answer.Body.Close()
	c.Assert(client.Cancel(t.Context(), "c-1"), qt.IsNil)
	_, err = io.ReadAll(answer.Body)
	var broken *platform.BrokenCallError
	c.Assert(errors.As(err, &broken), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(e.Stats().Cancelled, qt.Equals, uint64(1))
	c.Assert(client.Cancel(t.Context(), "none"), qt.IsNil)
}

func TestPrefixIsCached(t *testing.T) {
	c := qt.New(t)
	e, client := startEngine(c, Options{})
	prompt := strings.Repeat("stock of anchors ", 200)
	for i := range 2 {
		answer, err := client.Do(t.Context(), chat(fmt.Sprint(i), prompt, 1, false))
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, answer.Body)
		c.Assert(err, qt.IsNil)
		answer.Body.Close()
	}
	tokens := uint64(PromptTokens(UserPrompt(prompt)))
	stats := e.Stats()
	c.Assert(stats.CachedTokens, qt.Equals, tokens/BlockTokens*BlockTokens)
	c.Assert(stats.PrefillTokens, qt.Equals, 2*tokens-stats.CachedTokens)
}

func TestBadVersions(t *testing.T) {
	c := qt.New(t)
	e, client := startEngine(c, Options{})
	e.Set(Switches{Faults: []Fault{{Version: "v1", Kind: FaultFail, Route: "press"}}})
	call := chat("c-1", "x", 4, false)
	call.Header = http.Header{platform.HeaderRoute: {"press"}}
	answer, err := client.Do(t.Context(), call)
	c.Assert(err, qt.IsNil)
	answer.Body.Close()
	c.Assert(answer.Status, qt.Equals, http.StatusInternalServerError)

	e.Set(Switches{Faults: []Fault{{Version: "v1", Kind: FaultCut}}})
	answer, err = client.Do(t.Context(), chat("c-2", "x", 8, true))
	c.Assert(err, qt.IsNil)
	_, err = io.ReadAll(answer.Body)
	answer.Body.Close()
	c.Assert(err, qt.Not(qt.IsNil))

	e.Set(Switches{Faults: []Fault{{Version: "v1", Kind: FaultWrong}}})
	answer, err = client.Do(t.Context(), chat("c-3", "x", 8, true))
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(answer.Body)
	answer.Body.Close()
	c.Assert(err, qt.IsNil)
	text, complete := parseStream(string(body))
	c.Assert(complete, qt.IsTrue)
	c.Assert(text, qt.Not(qt.Equals), AnswerText(UserPrompt("x"), 8))
}

func TestOrders(t *testing.T) {
	for _, checkFencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks %v", checkFencing), func(t *testing.T) {
			c := qt.New(t)
			_, client := startEngine(c, Options{CheckFencing: checkFencing})
			order := platform.Order{ID: "o-1", Kind: platform.OrderLoad, Version: "v2", Artifact: "a", Fencing: 7}
			status, err := client.Order(t.Context(), order)
			c.Assert(err, qt.IsNil)
			c.Assert(status.State, qt.Equals, platform.OrderDone)
			load, err := client.Load(t.Context())
			c.Assert(err, qt.IsNil)
			c.Assert(load.Versions, qt.DeepEquals, []string{"v1", "v2"})

			staleOrder := platform.Order{ID: "o-2", Kind: platform.OrderUnload, Version: "v2", Fencing: 6}
			_, err = client.Order(t.Context(), staleOrder)
			var fenced *platform.FencedError
			c.Assert(errors.As(err, &fenced), qt.Equals, checkFencing, qt.Commentf("%v", err))
		})
	}
}
