package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lagoonlane/lagoonlane/internal/sidecar"
)

// dispatchedEvents returns the data of the events that a reader of a stream dispatches.
func dispatchedEvents(stream string) (events []string) {
	data := ""
	for line := range strings.Lines(stream) {
		if !strings.HasSuffix(line, "\n") {
			break
		}
		line = strings.TrimSuffix(line, "\n")
		value, isData := strings.CutPrefix(line, "data: ")
		switch {
		case isData:
			data = value
		case line == "" && data != "":
			events, data = append(events, data), ""
		}
	}
	return events
}

// Guards against a stream that stops inside an event, whose callers get it as complete, or get the event's beginning as a
// whole event.
func TestStreamThatStopsInsideAnEventIsNeverWhole(t *testing.T) {
	const (
		events = ": opening\nevent: token\ndata: {\"n\":1}\n\nretry: 1\n\ndata: {\"n\":2}\nid: 2\n\n"
		ending = "data: [DONE]\nevent: end\n\n"
		after  = "\n|: comment\n|event: ping\n\n|"
	)
	for name, test := range map[string]struct{ kind, head, stream string }{
		"engine":  {sidecar.KindEngine, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n", events + ending + "|" + after},
		"service": {sidecar.KindService, "HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n", "|" + strings.ReplaceAll(events, "\n\n", "\n\n|")},
	} {
		for _, framing := range []string{"connection", "length"} {
			t.Run(name+", "+framing, func(t *testing.T) {
				bubble(t, func(t *testing.T) {
					c := qt.New(t)
					text, ends := "", map[int]bool{}
					for i, part := range strings.Split(test.stream, "|") {
						if i > 0 {
							ends[len(text)] = true
						}
						text += part
					}
					ends[len(": opening\n")] = test.kind == sidecar.KindService
					server, empty := &stoppingServer{}, ""
					server.answer.Store(&empty)
					cluster := newTestCluster(1)
					cluster.addStoppingServer(test.kind, server)
					entry := cluster.startEntry("entry", nil)
					cluster.entries = append(cluster.entries, entry)
					client := &http.Client{Transport: &http.Transport{DialContext: cluster.network.dial, DisableKeepAlives: true}}
					defer cluster.stop()
					target, content := "/services/ledger/loans", "{}"
					if test.kind == sidecar.KindEngine {
						target, content = chatPath, `{"model":"pegs","stream":true,"messages":[{"role":"user","content":"hi"}]}`
					}
					for n := range len(text) + 1 {
						head := test.head
						if framing == "length" {
							head += fmt.Sprintf("Content-Length: %d\r\n", n)
						}
						answer := head + "\r\n" + text[:n]
						server.answer.Store(&answer)
						server.bytes.Store(int64(len(answer)))
						// The entry leaves a backend server alone that has failed.
						time.Sleep(time.Minute)
						request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+entry.address+target, strings.NewReader(content))
						c.Assert(err, qt.IsNil)
						request.Header.Set("Authorization", "Bearer "+testKey)
						response, err := client.Do(request)
						c.Assert(err, qt.IsNil, qt.Commentf("%d bytes", n))
						data, err := io.ReadAll(response.Body)
						response.Body.Close()
						c.Check(err == nil && response.StatusCode == http.StatusOK, qt.Equals, ends[n], qt.Commentf("%d bytes: %d %q", n, response.StatusCode, data))
						whole, problem, isBroken := strings.Cut(string(data), "event: error\n")
						c.Check(dispatchedEvents(whole), qt.DeepEquals, dispatchedEvents(text[:n]), qt.Commentf("%d bytes: %q", n, data))
						c.Check(isBroken, qt.Equals, !ends[n], qt.Commentf("%d bytes", n))
						c.Check(!isBroken || len(dispatchedEvents(problem)) == 1, qt.IsTrue, qt.Commentf("%d bytes: %q", n, data))
					}
				})
			})
		}
	}
}
