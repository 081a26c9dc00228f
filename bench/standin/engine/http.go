package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lagoonlane/lagoonlane/bench/standin/control"
	"github.com/lagoonlane/lagoonlane/internal/platform"
)

const (
	maxPromptBytes   = 8 << 20
	defaultMaxTokens = 64
	maxOutputTokens  = 16384
)

// completionRequest holds the supported fields of a chat completion request.
type completionRequest struct {
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	User      string    `json:"user"`
}

// prompt returns the messages as one text: a line "role: content" for each.
func (r completionRequest) prompt() string {
	var text strings.Builder
	for _, m := range r.Messages {
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(m.Content)
		text.WriteString("\n")
	}
	return text.String()
}

// UserPrompt returns the prompt of a request with a single user message.
func UserPrompt(content string) string {
	return completionRequest{Messages: []message{{Role: "user", Content: content}}}.prompt()
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPromptBytes))
	if err != nil {
		control.WriteError(w, http.StatusBadRequest, "%v", err)
		return
	}
	var request completionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		control.WriteError(w, http.StatusBadRequest, "%v", err)
		return
	}
	c, status := e.enqueue(r, request)
	if status != http.StatusOK {
		control.WriteError(w, status, "%s", http.StatusText(status))
		return
	}
	e.streamAnswer(w, r, c, 0)
}

// enqueue adds a call to the queue. It returns a status other than 200 if it
// rejects the call.
func (e *Engine) enqueue(r *http.Request, request completionRequest) (*call, int) {
	id, version := r.Header.Get(platform.HeaderCallID), r.Header.Get(platform.HeaderVersion)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Calls++
	if id == "" {
		id = "local-" + strconv.FormatUint(e.stats.Calls, 10)
	}
	e.runsByCallID[id]++
	if request.User != "" {
		e.runsByUser[request.User]++
	}
	if deadly := e.switches.DeadlyPrompt; deadly != "" && strings.Contains(request.prompt(), deadly) {
		panic(http.ErrAbortHandler)
	}
	if version == "" && len(e.versions) > 0 {
		version = e.versions[0]
	}
	if !slices.Contains(e.versions, version) {
		return nil, http.StatusNotFound
	}
	fault := e.activeFault(version, r.Header.Get(platform.HeaderRoute))
	if fault.Kind == FaultFail {
		return nil, http.StatusInternalServerError
	}
	c := newCall(id, version, request, fault)
	e.removeExpiredCalls()
	e.calls[id] = c
	e.waiting = append(e.waiting, c)
	e.wakeLoop()
	return c, http.StatusOK
}

func newCall(id, version string, request completionRequest, fault Fault) *call {
	maxTokens := request.MaxTokens
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	maxTokens = min(maxTokens, maxOutputTokens)
	prompt := request.prompt()
	c := &call{
		id: id, user: request.User, version: version, stream: request.Stream,
		promptTokens: PromptTokens(prompt), maxTokens: maxTokens,
		blocks: blockHashes(version, prompt), answer: answerTokens(prompt, maxTokens),
		slowFactor: 1, changed: make(chan struct{}), receivedAt: time.Now(),
	}
	switch fault.Kind {
	case FaultSlow:
		c.slowFactor = max(1, fault.Factor)
	case FaultCut:
		c.cutAfterTokens = max(1, maxTokens/2)
	case FaultWrong:
		c.answer = answerTokens(prompt+version, maxTokens)
	}
	return c
}

// removeExpiredCalls removes calls whose resume window after their end has passed.
// The caller holds e.mu.
func (e *Engine) removeExpiredCalls() {
	for id, c := range e.calls {
		c.mu.Lock()
		expired := c.state != callActive && time.Since(c.endedAt) > defaultResumeWindow
		c.mu.Unlock()
		if expired {
			delete(e.calls, id)
		}
	}
}

// streamAnswer writes the output of a call from a byte offset on, until the call
// ends or the client disconnects.
func (e *Engine) streamAnswer(w http.ResponseWriter, r *http.Request, c *call, offset int) {
	c.addReader()
	defer c.removeReader(e.options.OrphanTime, func() { e.cancelCall(c) })
	e.writeHeader(w, c)
	flusher := http.NewResponseController(w)
	for {
		data, state, changed := c.outputFrom(offset)
		if len(data) > 0 {
			if _, err := w.Write(data); err != nil {
				return
			}
			offset += len(data)
		}
		// A writer that doesn't support flushing receives the output when the handler returns.
		_ = flusher.Flush()
		switch state {
		case callFinished:
			return
		case callBroken, callCancelled:
			control.Abort()
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) writeHeader(w http.ResponseWriter, c *call) {
	contentType := "application/json"
	if c.stream {
		contentType = "text/event-stream"
	}
	w.Header().Set("Content-Type", contentType)
	w.Header().Set(platform.HeaderCallID, c.id)
	w.Header().Set(platform.HeaderVersion, c.version)
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.Atoi(r.FormValue("from_byte"))
	if err != nil || offset < 0 {
		control.WriteError(w, http.StatusBadRequest, "from_byte is needed")
		return
	}
	c := e.findCall(r.PathValue("id"))
	if c == nil {
		control.WriteError(w, http.StatusNotFound, "no such call")
		return
	}
	e.streamAnswer(w, r, c, offset)
}

func (e *Engine) findCall(id string) *call {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[id]
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	c := e.findCall(r.PathValue("id"))
	if c == nil {
		control.WriteError(w, http.StatusNotFound, "no such call")
		return
	}
	e.cancelCall(c)
	w.WriteHeader(http.StatusNoContent)
}

// cancelCall cancels an active call and counts its prefill as wasted.
func (e *Engine) cancelCall(c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.end(callCancelled, nil) {
		e.stats.Cancelled++
		e.stats.WastedPrefillTokens += uint64(c.prefillDone)
		e.reportEndedCall(c)
	}
}

func (e *Engine) handleRuns(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, http.StatusOK, e.Runs())
}

// handleUsers returns the number of received requests for each value of the field "user".
func (e *Engine) handleUsers(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	users := make(map[string]int, len(e.runsByUser))
	for user, n := range e.runsByUser {
		users[user] = n
	}
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, users)
}

func (e *Engine) handleStats(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, http.StatusOK, e.Stats())
}
