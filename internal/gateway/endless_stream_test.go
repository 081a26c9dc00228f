package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// incompleteStream sends some events, then endless bytes that complete no event. They are sent
// in chunks, at full speed or one chunk per pause.
type incompleteStream struct {
	events         int
	prefix, repeat string
	pause          time.Duration
	calls, closed  atomic.Int64
}

func (e *incompleteStream) serve(request *http.Request, conn net.Conn) {
	e.calls.Add(1)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s1\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"))
	block := strings.Repeat(e.repeat, 1+4096/len(e.repeat))
	if e.pause > 0 {
		block = e.repeat
	}
	text := ""
	for i := 1; i <= e.events; i++ {
		text += fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
	}
	if text += e.prefix; text == "" {
		text = block
	}
	for sent := 0; sent < endlessBytes; sent += len(text) {
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			e.closed.Add(1)
			return
		}
		text = block
		if e.pause > 0 {
			time.Sleep(e.pause)
		}
	}
	time.Sleep(longPause)
}

// incompleteStreams returns patterns of endless bytes that complete no event, by name.
func incompleteStreams() map[string]*incompleteStream {
	return map[string]*incompleteStream{
		"line":           {repeat: "x"},
		"event":          {prefix: "id: 3\n", repeat: "data: x\n"},
		"event line":     {prefix: "id: 3\ndata: ", repeat: "x"},
		"blank lines":    {repeat: "\n"},
		"comments":       {repeat: ": still here\n\n"},
		"comment line":   {prefix: ":", repeat: "x"},
		"unknown fields": {repeat: "x: y\n\n"},
	}
}

// An endless event, or bytes that form no event, are abandoned at a limit, and the stream is
// resumed on another server.
func TestStreamWithoutEventsGoesOnElsewhere(t *testing.T) {
	for name, pattern := range incompleteStreams() {
		for _, before := range []int{0, 2} {
			for _, pause := range []time.Duration{0, dripPause} {
				runInVirtualTime(t, func(t *testing.T) {
					bad := &incompleteStream{events: before, prefix: pattern.prefix, repeat: pattern.repeat, pause: pause}
					s := func(request *http.Request, conn net.Conn) {
						if bad.calls.Load() == 0 {
							bad.serve(request, conn)
							return
						}
						respondEvents(request, conn, before+1, 3, false)
					}
					w := newVirtualTimeEntry(t, s, s)
					start := time.Now()
					_, body, err := w.call("POST", "/resumable/x", "p")
					w.c.Assert(err, qt.IsNil)
					w.c.Assert(body, qt.Equals, threeEvents)
					w.c.Assert(time.Since(start) < responseLimit(pause), qt.IsTrue, qt.Commentf("%v", time.Since(start)))
					assertReachesOne(w.c, &bad.closed)
				}, name, " ", before, " ", pause)
			}
		}
	}
}

// If no other server may resume it, the caller's connection is closed at once.
func TestStreamWithoutEventsIsCut(t *testing.T) {
	for name, pattern := range incompleteStreams() {
		for _, before := range []int{0, 2} {
			runInVirtualTime(t, func(t *testing.T) {
				bad := &incompleteStream{events: before, prefix: pattern.prefix, repeat: pattern.repeat}
				w := newVirtualTimeEntry(t, bad.serve)
				start := time.Now()
				response, _, err := w.call("POST", "/stream/x", "p")
				w.c.Assert(time.Since(start) < fullSpeedLimit, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
				if before > 0 {
					w.c.Assert(err, qt.Not(qt.IsNil))
				} else {
					w.c.Assert(err, qt.IsNil)
					w.c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
				}
				w.c.Assert(bad.calls.Load(), qt.Equals, int64(1))
				assertReachesOne(w.c, &bad.closed)
			}, name, " ", before)
		}
	}
}

// endlessEvents sends events in a format in which N is replaced by the event's number, from 1
// on, until the connection is closed or a million have been sent.
func endlessEvents(sent *atomic.Int64, format string) connHandler {
	return func(request *http.Request, conn net.Conn) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s1\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"))
		for i := 1; i < 1_000_000; i++ {
			text := fmt.Sprintf(strings.ReplaceAll(format, "N", "%[1]d"), i)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
				return
			}
			sent.Store(int64(i))
		}
		fmt.Fprint(conn, "0\r\n\r\n")
	}
}

// A stream that exceeds the requested tokens is cut soon after them, and isn't resumed on
// another server.
func TestStreamPastWhatWasAskedIsCut(t *testing.T) {
	for name, format := range map[string]string{
		"numbered":   "id: N\ndata: x\n\n",
		"unnumbered": "data: N\n\n",
		"repeated":   "id: 1\ndata: N\n\n",
		"words":      "id: aN\ndata: x\n\n",
	} {
		for _, path := range []string{"/stream/x", "/resumable/x"} {
			runInVirtualTime(t, func(t *testing.T) {
				var sent atomic.Int64
				var calls atomic.Int64
				s := func(request *http.Request, conn net.Conn) { calls.Add(1); endlessEvents(&sent, format)(request, conn) }
				w := newVirtualTimeEntry(t, s, s)
				request, err := http.NewRequest("POST", w.front.URL+path, strings.NewReader("p"))
				w.c.Assert(err, qt.IsNil)
				for key, value := range map[string]string{"Id": fmt.Sprint("r", lastRequestNumber.Add(1)), "Key": "key", "Tokens": "50"} {
					request.Header.Set(key, value)
				}
				start := time.Now()
				response, err := w.client.Do(request)
				var body []byte
				if err == nil {
					body, err = io.ReadAll(response.Body)
					response.Body.Close()
				}
				// Only a broken connection signals that the stream is incomplete.
				w.c.Assert(err, qt.Not(qt.IsNil))
				w.c.Assert(time.Since(start) < fullSpeedLimit, qt.IsTrue)
				w.c.Assert(strings.Count(string(body), "data:") <= 66, qt.IsTrue)
				w.c.Assert(calls.Load(), qt.Equals, int64(1))
			}, name, path)
		}
	}
}

// After an event with an id, only a few events without one are accepted, such as a closing
// event.
func TestStreamThatGoesOnWithoutNumbersIsCut(t *testing.T) {
	var calls atomic.Int64
	unnumbered := 2
	s := func(request *http.Request, conn net.Conn) {
		calls.Add(1)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s1\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"))
		text := "id: 1\ndata: x\n\n" + strings.Repeat("data: done\n\n", unnumbered)
		fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(text), text)
	}
	w := newTestEntry(t, s)
	_, body, err := w.call("POST", "/stream/x", "p")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(strings.Count(body, "done"), qt.Equals, 2)
	unnumbered = 100
	_, _, err = w.call("POST", "/stream/x", "p")
	w.c.Assert(err, qt.Not(qt.IsNil))
}

// Comments and blank lines between events, and after the last one, are forwarded unchanged.
func TestCommentsAreForwarded(t *testing.T) {
	text := ": hello\n\n\nid: 1\n: inside\ndata: a\n\n: between\n\nid: 2\ndata: b\r\n\r\n: bye\n\n"
	w := newTestEntry(t, func(request *http.Request, conn net.Conn) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s1\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"))
		fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(text), text)
	})
	_, body, err := w.call("POST", "/stream/x", "p")
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(body, qt.Equals, text)
}

// A line longer than the read buffer still belongs to one event.
func TestLongLineIsOneLine(t *testing.T) {
	for size := 4080; size < 4110; size++ {
		text := "id: 1\ndata: " + strings.Repeat("x", size) + "\n\nid: 2\ndata: b\n\n"
		w := newTestEntry(t, func(request *http.Request, conn net.Conn) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s1\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"))
			fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(text), text)
		})
		_, body, err := w.call("POST", "/stream/x", "p")
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(body, qt.Equals, text)
	}
}
